"""Writes documents to the store and says what became of each write."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.changes import (
    Absent,
    Change,
    Edit,
    Mine,
    Overtaken,
    Standing,
    judge_write,
    merge_conflict,
    read_standing,
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

    from carawayquay.changes import Verdict
    from carawayquay_wire.store import StoreClient

__all__ = ["ConcurrentChangeError", "DocumentStore", "UnknownServiceError", "WriteResult"]

_KIND = "documents"
_WRITE_ATTEMPTS = 4
_EDIT_ATTEMPTS = 5
_RETRY_SECONDS = 0.25


@attrs.frozen
class WriteResult:
    """A document that was written.

    :param replaced: the version that it replaced, or 0
    :param confirmed_by: ``answer`` of the store, or ``read-back`` after the answer was lost
    """

    service: str
    version: int
    change: str
    replaced: int
    confirmed_by: str = "answer"
    written: bool = True


class ConcurrentChangeError(CarawayquayError):
    """Another change of the document came first."""

    def __init__(self, service: str, winner: Overtaken, detail: str) -> None:
        change = f'change "{winner.change}"' if winner.change else "a change without an id"
        super().__init__(
            f'document of service "{service}": {change} stands as version {winner.version}; '
            f"{detail}"
        )
        self.service = service
        self.winner = winner


class UnknownServiceError(CarawayquayError):
    """The store holds no document of a service."""

    def __init__(self, service: str) -> None:
        super().__init__(f'service "{service}" has no document in the store')


class DocumentStore:
    """The documents in the platform's store, as operators change them."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def get(self, service: str) -> Standing:
        """Return what the store holds for a service; version 0 if nothing.

        :raises StoreError: if the store does not answer
        """
        found = await self._store.get(_KIND, service)
        return Standing() if found is None else read_standing(found.version, found.value)

    async def get_existing(self, service: str) -> Standing:
        """Return what the store holds for a service.

        :raises UnknownServiceError: if it holds nothing
        """
        standing = await self.get(service)
        if standing.version == 0 or standing.document is None:
            raise UnknownServiceError(service)
        return standing

    async def list_all(self) -> dict[str, Standing]:
        """Return what the store holds for every service."""
        listing = await self._store.list(_KIND)
        return {item.name: read_standing(item.version, item.value) for item in listing.objects}

    async def apply(self, document: Mapping[str, Any], replaces: int | None = None) -> WriteResult:
        """Check a document and write it in place of one version.

        :param replaces: the version to replace; None for the one that stands now
        :raises DocumentError: if it breaks the rules
        :raises ConcurrentChangeError: if another change came first
        :raises UnconfirmedWriteError: if it can't be told what became of the write
        """
        service = parse_document(document).service
        base = await self.get(service)
        if replaces is not None and base.version != replaces:
            winner = Overtaken(base.version, base.change, applied=False)
            raise ConcurrentChangeError(service, winner, f"version {replaces} was to be replaced")
        return await self._write(service, _new_change(base, document))

    async def drain(self, service: str, edit: Edit) -> WriteResult:
        """Let a place drain or lift its drain; repeat it on top of changes that don't conflict.

        :raises ConcurrentChangeError: if a change that conflicts came first
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
        winner = Overtaken(base.version, base.change, applied=False)
        raise ConcurrentChangeError(
            service, winner, f"{_EDIT_ATTEMPTS} tries each met another change"
        )

    async def _rebase(
        self, service: str, edit: Edit, base: Standing, cause: ConcurrentChangeError
    ) -> Standing:
        """Return what stands now if the edit may be repeated on it."""
        standing = await self.get_existing(service)
        conflict = merge_conflict(edit, base, standing)
        if conflict is not None:
            raise ConcurrentChangeError(service, cause.winner, conflict) from cause
        return standing

    async def _write(self, service: str, change: Change) -> WriteResult:
        """Write a change until it is known what became of it.

        A write whose answer was lost may still be on its way, so it is sent again under the same
        id and condition: of the two at most one can take effect.
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
            verdict = await self._read_back(service, change)
            match verdict:
                case Mine(version):
                    base = change.base.version
                    return WriteResult(service, version, change.change, base, "read-back")
                case Overtaken():
                    raise ConcurrentChangeError(
                        service, verdict, _describe_outcome(verdict, unconfirmed)
                    ) from failure
                case Absent() | None:
                    await curio.sleep(_RETRY_SECONDS)
        raise UnconfirmedWriteError(
            f'change "{change.change}" of service "{service}" may have taken effect or may still '
            f"do so: {failure}"
        )

    async def _put(self, service: str, change: Change) -> int:
        value = stored_object(change)
        return await self._store.put(_KIND, service, value, replaces=change.base.version)

    async def _read_back(self, service: str, change: Change) -> Verdict | None:
        """Return what became of a write, or None if the store does not answer."""
        try:
            return judge_write(change, await self.get(service))
        except StoreError:
            return None


def _new_change(base: Standing, document: Mapping[str, Any]) -> Change:
    return Change(secrets.token_hex(8), base, document)


def _with_edit(base: Standing, edit: Edit) -> dict[str, Any]:
    """Return the document with the edit made.

    :raises DocumentError: if the stored document or the result breaks the rules
    """
    if not isinstance(base.document, dict):
        raise DocumentError(("stored document is not an object",))
    parse_document(base.document)
    document = with_drain(base.document, edit)
    parse_document(document)
    return document


def _describe_outcome(verdict: Overtaken, unconfirmed: bool) -> str:
    """Return in words what became of a write that does not stand."""
    if not unconfirmed or verdict.applied is False:
        return "this change was not applied"
    if verdict.applied:
        return "this change was applied and then replaced"
    return "whether this change was in force before it is unknown"
