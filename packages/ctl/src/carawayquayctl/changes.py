"""Conditional writes of documents to the store, with read-back after a lost answer."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.changes import (
    Change,
    Committed,
    DocumentVersion,
    DrainEdit,
    NotApplied,
    Superseded,
    merge_conflict,
    parse_document_version,
    resolve_write,
    stored_object,
    with_drain,
)
from carawayquay.documents import parse_document
from carawayquay.errors import (
    CarawayquayError,
    ConflictError,
    DocumentError,
    StoreError,
    UnconfirmedWriteError,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayquay.changes import WriteOutcome
    from carawayquay_wire.store import StoreClient

__all__ = ["ConcurrentChangeError", "DocumentStore", "UnknownServiceError", "WriteResult"]

_KIND = "documents"
_WRITE_ATTEMPTS = 4
_EDIT_ATTEMPTS = 5
_RETRY_SECONDS = 0.25


@attrs.frozen
class WriteResult:
    """Result of a document write that succeeded.

    :param change: id of the change that wrote the stored version
    :param replaced: version that the write replaced; 0 if the service was new
    :param confirmed_by: ``answer`` if the store answered, ``read-back`` if its answer was lost
    :param written: False if the stored document already had the wanted drains
    """

    service: str
    version: int
    change: str
    replaced: int
    confirmed_by: str = "answer"
    written: bool = True


class ConcurrentChangeError(CarawayquayError):
    """Another change was written first."""

    def __init__(self, service: str, winner: Superseded, detail: str) -> None:
        change = f'change "{winner.change}"' if winner.change else "a change without an id"
        super().__init__(
            f'document of service "{service}": {change} is stored as version {winner.version}; '
            f"{detail}"
        )
        self.service = service
        self.winner = winner


class UnknownServiceError(CarawayquayError):
    """The store holds no document for a service."""

    def __init__(self, service: str) -> None:
        super().__init__(f'service "{service}" has no document in the store')


class DocumentStore:
    """Reads and writes documents in the platform's store."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def get(self, service: str) -> DocumentVersion:
        """Return the stored document of a service; version 0 if there is none.

        :raises StoreError: if the store does not answer
        """
        stored = await self._store.get(_KIND, service)
        return (
            DocumentVersion()
            if stored is None
            else parse_document_version(stored.version, stored.value)
        )

    async def get_existing(self, service: str) -> DocumentVersion:
        """Return the stored document of a service that must exist.

        :raises UnknownServiceError: if the store holds none
        """
        found = await self.get(service)
        if found.version == 0 or found.document is None:
            raise UnknownServiceError(service)
        return found

    async def list_all(self) -> dict[str, DocumentVersion]:
        """Return the stored documents of all services by name."""
        listing = await self._store.list(_KIND)
        return {
            item.name: parse_document_version(item.version, item.value) for item in listing.objects
        }

    async def apply(self, document: Mapping[str, Any], replaces: int | None = None) -> WriteResult:
        """Validate a document and write it if the stored version is the expected one.

        :param replaces: version that must be stored; None to replace the current one
        :raises DocumentError: if the document is invalid
        :raises ConcurrentChangeError: if another change was written first
        :raises UnconfirmedWriteError: if it is unknown whether the write took effect
        """
        service = parse_document(document).service
        base = await self.get(service)
        if replaces is not None and base.version != replaces:
            winner = Superseded(base.version, base.change, applied=False)
            raise ConcurrentChangeError(service, winner, f"expected version {replaces}")
        return await self._write(service, _new_change(base, document))

    async def drain(self, service: str, edit: DrainEdit) -> WriteResult:
        """Set or lift a drain; after a concurrent change that does not conflict, rebase and retry.

        :raises UnknownServiceError: if the store holds no document for the service
        :raises DocumentError: if the stored document or the edited one is invalid
        :raises ConcurrentChangeError: if a conflicting change was written first, or another change
            was written before each attempt
        :raises UnconfirmedWriteError: if it is unknown whether the write took effect
        """
        base = await self.get_existing(service)
        for _ in range(_EDIT_ATTEMPTS):
            document = _with_edit(base, edit)
            if set(document["drains"]) == set(base.document.get("drains", ())):
                return WriteResult(service, base.version, base.change, base.version, written=False)
            try:
                return await self._write(service, _new_change(base, document))
            except ConcurrentChangeError as cause:
                base = await self._rebase(service, edit, base, cause)
        winner = Superseded(base.version, base.change, applied=False)
        raise ConcurrentChangeError(
            service, winner, f"another change was written before each of {_EDIT_ATTEMPTS} attempts"
        )

    async def _rebase(
        self, service: str, edit: DrainEdit, base: DocumentVersion, cause: ConcurrentChangeError
    ) -> DocumentVersion:
        """Return the current stored document to repeat the edit on.

        :raises ConcurrentChangeError: if the concurrent change conflicts with the edit
        """
        found = await self.get_existing(service)
        conflict = merge_conflict(edit, base, found)
        if conflict is not None:
            raise ConcurrentChangeError(service, cause.winner, conflict) from cause
        return found

    async def _write(self, service: str, change: Change) -> WriteResult:
        """Write a change, retrying until its outcome is known.

        A write whose answer was lost may still reach the store, so it is retried with the same
        change id and expected version: at most one of the attempts can take effect.
        """
        failure: StoreError = StoreError(f"{_KIND}/{service}: not written")
        unconfirmed = False
        for _ in range(_WRITE_ATTEMPTS):
            try:
                version = await self._put(service, change)
                return WriteResult(service, version, change.change, change.base.version)
            except ConflictError as error:
                failure = error
            except UnconfirmedWriteError as error:
                failure = error
                unconfirmed = True
            except StoreError:
                if not unconfirmed:
                    raise
            outcome = await self._read_back(service, change)
            match outcome:
                case Committed(version):
                    base = change.base.version
                    return WriteResult(service, version, change.change, base, "read-back")
                case Superseded():
                    raise ConcurrentChangeError(
                        service, outcome, _describe_outcome(outcome, unconfirmed)
                    ) from failure
                case NotApplied() | None:
                    await curio.sleep(_RETRY_SECONDS)
        raise UnconfirmedWriteError(
            f'change "{change.change}" of service "{service}" may have taken effect, or may '
            f"still do so: {failure}"
        )

    async def _put(self, service: str, change: Change) -> int:
        value = stored_object(change)
        return await self._store.put(_KIND, service, value, replaces=change.base.version)

    async def _read_back(self, service: str, change: Change) -> WriteOutcome | None:
        """Return the outcome of a write by reading it back; None if the store does not answer."""
        try:
            return resolve_write(change, await self.get(service))
        except StoreError:
            return None


def _new_change(base: DocumentVersion, document: Mapping[str, Any]) -> Change:
    return Change(secrets.token_hex(8), base, document)


def _with_edit(base: DocumentVersion, edit: DrainEdit) -> dict[str, Any]:
    """Return a copy of the stored document with the edit applied.

    :raises DocumentError: if the stored document or the result is invalid
    """
    if not isinstance(base.document, dict):
        raise DocumentError(("stored document is not an object",))
    parse_document(base.document)
    document = with_drain(base.document, edit)
    parse_document(document)
    return document


def _describe_outcome(outcome: Superseded, unconfirmed: bool) -> str:
    """Return a message on whether a superseded write took effect."""
    if not unconfirmed or outcome.applied is False:
        return "this change was not applied"
    if outcome.applied:
        return "this change was applied and then replaced"
    return "it is unknown whether this change was applied before it"
