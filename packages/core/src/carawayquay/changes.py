"""Changes of a service's document: how they are stored, judged after a lost answer and merged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.documents import parse_document
from carawayquay.errors import DocumentError

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "EARLIER_CHANGES",
    "Change",
    "Committed",
    "DocumentVersion",
    "DrainEdit",
    "NotApplied",
    "Superseded",
    "WriteOutcome",
    "merge_conflict",
    "parse_document_version",
    "resolve_write",
    "stored_object",
    "with_drain",
]

#: How many ids of earlier changes a stored object names.
EARLIER_CHANGES = 16


@attrs.frozen
class DocumentVersion:
    """What the store holds for a service.

    :param version: the version of the object, or 0 if there is none
    :param change: the id of the change that wrote it, or empty if it names none
    :param earlier: the ids of the changes before it, newest first
    :param document: the document as it was written, unchecked
    """

    version: int = 0
    change: str = ""
    earlier: tuple[str, ...] = ()
    document: Any = None


@attrs.frozen
class Change:
    """One conditional write of a document.

    :param change: the id that the writer drew for it
    :param base: what the store held when the change was made
    """

    change: str
    base: DocumentVersion
    document: Mapping[str, Any]


@attrs.frozen
class DrainEdit:
    """A drain that is set or lifted.

    :param place: a region, a failure domain or a target
    :param drained: whether the place is to drain
    """

    place: str
    drained: bool


@attrs.frozen
class Committed:
    """The write took effect and stands."""

    version: int


@attrs.frozen
class Superseded:
    """Another change stands.

    :param applied: whether the write took effect before the other one replaced it; None if the
        stored object does not reach back far enough to tell
    """

    version: int
    change: str
    applied: bool | None


@attrs.frozen
class NotApplied:
    """The write has not taken effect; the version that it names still stands."""

    version: int


WriteOutcome = Committed | Superseded | NotApplied


def parse_document_version(version: int, value: object) -> DocumentVersion:
    """Return what a stored object says, also if it was written by another program.

    >>> parse_document_version(3, {"change": "c2", "earlier": ["c1"], "document": {}}).earlier
    ('c1',)
    >>> parse_document_version(3, {"service": "sledway"}).document
    {'service': 'sledway'}
    """
    if not isinstance(value, dict) or not isinstance(value.get("change"), str):
        return DocumentVersion(version, document=value)
    earlier = value.get("earlier", [])
    names = [name for name in earlier if isinstance(name, str)] if isinstance(earlier, list) else []
    return DocumentVersion(version, value["change"], tuple(names), value.get("document"))


def stored_object(change: Change) -> dict[str, Any]:
    """Return the object that a change writes."""
    base = change.base
    earlier = [name for name in (base.change, *base.earlier) if name]
    return {
        "change": change.change,
        "earlier": earlier[:EARLIER_CHANGES],
        "document": change.document,
    }


def resolve_write(change: Change, stored: DocumentVersion) -> WriteOutcome:
    """Say from what stands now what became of a write whose answer was lost or refused."""
    if stored.change == change.change:
        return Committed(stored.version)
    if stored.version == change.base.version:
        return NotApplied(stored.version)
    return Superseded(stored.version, stored.change, _applied(change, stored))


def _applied(change: Change, stored: DocumentVersion) -> bool | None:
    """Return whether a write that no longer stands took effect, or None if it can't be told."""
    if change.change in stored.earlier:
        return True
    if change.base.change and change.base.change in stored.earlier:
        return False
    return None


def with_drain(document: Mapping[str, Any], edit: DrainEdit) -> dict[str, Any]:
    """Return a copy of a document in which a place drains or no longer does.

    >>> with_drain({"drains": ["a"]}, DrainEdit("b", drained=True))["drains"]
    ['a', 'b']
    """
    drains = set(document.get("drains", ()))
    if edit.drained:
        drains.add(edit.place)
    else:
        drains.discard(edit.place)
    return {**document, "drains": sorted(drains)}


def merge_conflict(edit: DrainEdit, base: DocumentVersion, stored: DocumentVersion) -> str | None:
    """Return why a drain may not be repeated on top of another change, or None if it may.

    Two drains that were decided without knowledge of each other could together leave too little,
    so a change of any drain, target or region's limit conflicts; others do not.
    """
    if not isinstance(stored.document, dict):
        return "the stored object holds no document any more"
    for key in ("drains", "targets", "regions"):
        if base.document.get(key) != stored.document.get(key):
            return f'it changed key "{key}"'
    try:
        parse_document(with_drain(stored.document, edit))
    except DocumentError as error:
        return f"the result would be refused: {error}"
    return None
