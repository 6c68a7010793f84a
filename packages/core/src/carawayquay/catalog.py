"""The documents in force in a process, whose versions only increase."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.documents import VersionedDocument, parse_document
from carawayquay.errors import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.objects import StoredObject

__all__ = ["DocumentCatalog", "StoredDocument"]


@attrs.frozen
class StoredDocument:
    """A document from the store or a peer, before validation.

    :param version: version of the object in the store
    :param change: id of the change that wrote it, empty if unknown
    :param value: the document in JSON types
    """

    service: str
    version: int
    change: str
    value: Any


class DocumentCatalog:
    """The document in force for each service, and the newest refused one."""

    def __init__(self) -> None:
        self._in_force: dict[str, VersionedDocument] = {}
        self._refused: dict[str, tuple[int, DocumentError]] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """The names of all services with a document in force, sorted."""
        return tuple(sorted(self._in_force))

    def __iter__(self) -> Iterator[VersionedDocument]:
        return iter(self._in_force.values())

    def get(self, service: str) -> VersionedDocument | None:
        """Return the document in force for a service, or None."""
        return self._in_force.get(service)

    def version(self, service: str) -> int:
        """Return the version in force for a service, or 0."""
        held = self._in_force.get(service)
        return held.version if held else 0

    def seen_version(self, service: str) -> int:
        """Return the highest version seen for a service, including refused ones, or 0."""
        refused, _ = self._refused.get(service, (0, None))
        return max(self.version(service), refused)

    def refused(self, service: str) -> tuple[int, DocumentError] | None:
        """Return version and error of the refused document, or None if a newer one is in force."""
        refused = self._refused.get(service)
        if refused is None or refused[0] < self.version(service):
            return None
        return refused

    def dump(self) -> dict[str, Any]:
        """Return versions in force and refusals by service, in JSON types."""
        return {
            service: {
                "version": self.version(service),
                "change": self._in_force[service].change if service in self._in_force else "",
                "refused": _refusal(self.refused(service)),
            }
            for service in sorted(self._in_force.keys() | self._refused.keys())
        }

    def adopt_object(self, item: StoredObject) -> None:
        """Put the document of a stored object in force if it is newer and valid.

        The tombstone of a deleted object has no value and is refused like any invalid document: a
        service is removed by a document without targets.

        :raises DocumentError: if the value is not JSON, or the document is newer and invalid
        """
        try:
            stored = json.loads(item.value)
        except (ValueError, RecursionError) as error:
            raise DocumentError((f'document of service "{item.name}" is not JSON',)) from error
        change, value = _unwrap(stored)
        self.adopt(StoredDocument(item.name, item.version, change, value))

    def adopt(self, stored: StoredDocument) -> bool:
        """Put a document in force if it is valid and newer than the one in force.

        An invalid document is recorded as refused, and the last valid one stays in force. A valid
        document older than the refused one is also put in force, so that a process that starts
        while the newest document is invalid gets the last valid one.

        :returns: whether the document was put in force
        :raises DocumentError: if the document is newer and invalid
        """
        if stored.version <= self.version(stored.service):
            return False
        try:
            document = parse_document(stored.value)
            if document.service != stored.service:
                problem = f'document of service "{stored.service}" names "{document.service}"'
                raise DocumentError((problem,))
        except DocumentError as error:
            if stored.version > self.seen_version(stored.service):
                self._refused[stored.service] = (stored.version, error)
            raise
        self._in_force[stored.service] = VersionedDocument(
            stored.version, stored.change, stored.value, document
        )
        return True


def _unwrap(stored: object) -> tuple[str, object]:
    """Return the change id and the document of a stored value."""
    if isinstance(stored, dict) and isinstance(stored.get("change"), str) and "document" in stored:
        return stored["change"], stored["document"]
    return "", stored


def _refusal(refused: tuple[int, DocumentError] | None) -> dict[str, Any] | None:
    if refused is None:
        return None
    version, error = refused
    return {"version": version, "problems": list(error.problems)}
