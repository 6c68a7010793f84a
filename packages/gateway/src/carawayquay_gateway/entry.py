"""This VM's own entry in the store, and the entries of VMs that are gone."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import ConflictError, ObjectError, StoreError
from carawayquay_platform.objects import ObjectKind, entry_vm_spec, parse_entry_vm
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.objects import StoredObject
    from carawayquay_platform.store import PlatformStore

__all__ = ["EntryKeeper"]

_log = EventLog("entry")

_FIRST_RETRY = timedelta(milliseconds=500)
_LAST_RETRY = timedelta(seconds=5)

#: Time in which a VM whose entry is found at the start must be heard of, or its entry goes.
_UNHEARD_SECONDS = 90


class EntryKeeper:
    """Writes this VM's entry, learns others from theirs, and removes those of VMs long gone."""

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStore,
        random: Random,
        unheard_seconds: float = _UNHEARD_SECONDS,
    ) -> None:
        self._state = state
        self._unheard_seconds = unheard_seconds
        self._store = store
        self._backoff = Backoff(_FIRST_RETRY, _LAST_RETRY, random)
        self._revision: int | None = None

    @property
    def written(self) -> bool:
        """Whether the store has confirmed the entry."""
        return self._revision is not None

    async def run(self) -> None:
        """Write the entry, then watch over those that were found."""
        while True:
            try:
                listing = await self._store.list(ObjectKind.ENTRY_VMS)
                await self._write({stored.name: stored for stored in listing.objects})
                break
            except StoreError as error:
                _log.warning(Event.ENTRY_UNWRITTEN, reason=error)
                await curio.sleep(self._backoff.next().total_seconds())
        for stored in listing.objects:
            self._learn(stored)
        await curio.sleep(self._unheard_seconds)
        await self._remove_unheard(listing.objects)

    async def remove(self) -> None:
        """Remove this VM's entry, at a planned stop."""
        try:
            revision = self._revision or await self._find_revision()
            if revision is not None:
                name = self._state.identity.name
                await self._store.delete(ObjectKind.ENTRY_VMS, name, revision)
        except StoreError as error:
            _log.warning(Event.ENTRY_UNWRITTEN, reason=error)

    async def _find_revision(self) -> int | None:
        """Return the revision of an entry whose write was not confirmed, None if there is none.

        :raises StoreError: if the store does not answer
        """
        stored = await self._store.get(ObjectKind.ENTRY_VMS, self._state.identity.name)
        own = stored is not None and stored.value == entry_vm_spec(self._state.identity)
        return stored.revision if own else None

    async def _write(self, entries: dict[str, StoredObject]) -> None:
        """Write the entry in place of the one that was found.

        :raises StoreError: if that failed
        """
        identity = self._state.identity
        spec = entry_vm_spec(identity)
        found = entries.get(identity.name)
        if found is not None:
            written = await self._store.replace(
                ObjectKind.ENTRY_VMS, identity.name, spec, found.revision
            )
        else:
            written = await self._store.create(ObjectKind.ENTRY_VMS, identity.name, spec)
        self._revision = written.revision

    def _learn(self, stored: StoredObject) -> None:
        try:
            self._state.peers.learn(parse_entry_vm(stored), self._state.clock.now())
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)

    async def _remove_unheard(self, entries: tuple[StoredObject, ...]) -> None:
        for stored in entries:
            if stored.name == self._state.identity.name:
                continue
            peer = self._state.peers.get(stored.name)
            if peer is not None and peer.heard is not None:
                continue
            try:
                await self._store.delete(ObjectKind.ENTRY_VMS, stored.name, stored.revision)
            except ConflictError:
                continue
            except StoreError as error:
                _log.warning(Event.ENTRY_UNWRITTEN, entry=stored.name, reason=error)
