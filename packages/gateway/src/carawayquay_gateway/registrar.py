"""Registration of this VM in the store, and removal of stale entries of other VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import ConflictError, ObjectError, StoreError
from carawayquay_platform.objects import ObjectKind, entry_vm_spec, parse_entry_vm
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from carawayquay.load_reports import VMIdentity
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.objects import StoredObject
    from carawayquay_platform.store import PlatformStoreClient

__all__ = ["VMRegistrar"]

_log = EventLog("entry")

_Result = TypeVar("_Result")

_MIN_RETRY_DELAY = timedelta(milliseconds=500)
_MAX_RETRY_DELAY = timedelta(seconds=5)

#: Time in which a VM must send a message after its entry was listed, or the entry is stale.
_STALE_SECONDS = 90

#: Time in which seeds answer with other VMs; if none is known then, the store's entries are listed.
_DISCOVERY_SECONDS = 1.5

#: Time after a restore of the store in which its VMs settle which of them watches the store.
_RESTORE_SETTLE_SECONDS = 3.0


class VMRegistrar:
    """Writes this VM's entry, discovers peers from their entries, and deletes stale entries.

    :param stale_seconds: time after listing in which a VM must send a message to keep its entry
    :param discovery_seconds: time in which seeds can answer before the entries are listed
    :param settle_seconds: time from a restore of the store until lost entries are written again
    """

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStoreClient,
        random: Random,
        stale_seconds: float = _STALE_SECONDS,
        discovery_seconds: float = _DISCOVERY_SECONDS,
        settle_seconds: float = _RESTORE_SETTLE_SECONDS,
    ) -> None:
        self._state = state
        self._stale_seconds = stale_seconds
        self._discovery_seconds = discovery_seconds
        self._settle_seconds = settle_seconds
        self._store = store
        self._backoff = Backoff(_MIN_RETRY_DELAY, _MAX_RETRY_DELAY, random)
        self._entry: StoredObject | None = None
        self._checked_era = 0

    @property
    def registered(self) -> bool:
        """Whether the store has confirmed this VM's entry."""
        return self._entry is not None

    async def run(self) -> None:
        """Write this VM's entry, then delete stale entries periodically, until cancelled.

        Entries are listed once the discovery time is over, if no other VM is known then, and later
        in each period in which this VM must watch the store. After a restore of the store that VM
        also writes the entries of its domain that the store has lost.
        """
        await self._retry_until_success(self._write_entry)
        self._checked_era = self._entry.revision.era
        await curio.sleep(self._discovery_seconds)
        found: tuple[StoredObject, ...] = ()
        if self._state.peers.known == 1:
            found = await self._retry_until_success(self._list_entries)
        while True:
            restored = await self._wait_for_restore()
            if not restored:
                await self._delete_stale_entries(found)
            found = ()
            if self._state.must_watch_store():
                found = await self._retry_until_success(self._list_entries)
            if restored:
                await self._write_lost_entries(found)

    async def _wait_for_restore(self) -> bool:
        """Wait for the stale time, or for less if the store is restored; return whether it was."""
        async with curio.ignore_after(self._stale_seconds):
            while self._state.store_history.era <= self._checked_era:
                await self._state.ticker.next()
            await curio.sleep(self._settle_seconds)
            self._checked_era = self._state.store_history.era
            return True
        return False

    async def _write_lost_entries(self, found: tuple[StoredObject, ...]) -> None:
        """Write the entries of live VMs of the own domain that a restored store lacks.

        :param found: all entries, empty if this VM does not watch the store
        """
        if not self._state.must_watch_store():
            return
        stored = {entry.name: entry for entry in found}
        now = self._state.clock.now()
        live = [peer.identity for peer in self._state.peers.domain_peers if peer.live(now)]
        for vm in (self._state.identity, *live):
            if not _is_current(stored.get(vm.name), vm):
                await self._write_lost_entry(vm, stored.get(vm.name))

    async def _write_lost_entry(self, vm: VMIdentity, found: StoredObject | None) -> None:
        spec = entry_vm_spec(vm)
        try:
            if found is None:
                await self._store.create(ObjectKind.ENTRY_VMS, vm.name, spec)
            else:
                await self._store.replace(ObjectKind.ENTRY_VMS, vm.name, spec, found.revision)
        except StoreError as error:
            _log.warning(Event.ENTRY_UNWRITTEN, entry=vm.name, reason=error)
        else:
            _log.info(Event.ENTRY_REWRITTEN, entry=vm.name, era=self._checked_era)

    async def _retry_until_success(self, call: Callable[[], Awaitable[_Result]]) -> _Result:
        """Return the result of a store call, retried with backoff until it succeeds."""
        while True:
            try:
                return await call()
            except StoreError as error:
                _log.warning(Event.ENTRY_UNWRITTEN, reason=error)
                await curio.sleep(self._backoff.next().total_seconds())

    async def _list_entries(self) -> tuple[StoredObject, ...]:
        """List the entries, add their VMs as peers, and return the entries.

        :raises StoreError: if the store does not answer
        """
        listing = await self._store.list(ObjectKind.ENTRY_VMS)
        for stored in listing.objects:
            self._add_peer(stored)
        return listing.objects

    async def deregister(self) -> None:
        """Delete this VM's entry."""
        try:
            try:
                await self._delete_entry(self._entry or await self._find_entry())
            except ConflictError:
                # The store was restored since the entry was written, or another VM wrote it again.
                await self._delete_entry(await self._find_entry())
        except StoreError as error:
            _log.warning(Event.ENTRY_UNWRITTEN, reason=error)

    async def _delete_entry(self, entry: StoredObject | None) -> None:
        """Delete an entry, if there is one.

        :raises StoreError: if the store does not confirm it
        """
        if entry is not None:
            await self._store.delete(ObjectKind.ENTRY_VMS, entry.name, entry.revision)

    async def _find_entry(self) -> StoredObject | None:
        """Return this VM's unconfirmed entry, or None if it was not written.

        :raises StoreError: if the store does not answer
        """
        stored = await self._store.get(ObjectKind.ENTRY_VMS, self._state.identity.name)
        return stored if _is_current(stored, self._state.identity) else None

    async def _write_entry(self) -> None:
        """Create this VM's entry, or replace the one of an earlier incarnation.

        :raises StoreError: if the store does not confirm it
        """
        identity = self._state.identity
        spec = entry_vm_spec(identity)
        try:
            stored = await self._store.create(ObjectKind.ENTRY_VMS, identity.name, spec)
        except ConflictError:
            found = await self._store.get(ObjectKind.ENTRY_VMS, identity.name)
            if found is None:
                raise
            stored = await self._store.replace(
                ObjectKind.ENTRY_VMS, identity.name, spec, found.revision
            )
        self._entry = stored

    def _add_peer(self, stored: StoredObject) -> None:
        try:
            self._state.peers.learn(parse_entry_vm(stored), self._state.clock.now())
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)

    async def _delete_stale_entries(self, entries: tuple[StoredObject, ...]) -> None:
        """Delete stale entries of VMs of the own domain.

        Entries of other domains are left to their own VMs: a partition may hide them from this VM.
        """
        for stored in entries:
            if not self._is_stale(stored):
                continue
            try:
                await self._store.delete(ObjectKind.ENTRY_VMS, stored.name, stored.revision)
            except ConflictError:
                continue
            except StoreError as error:
                _log.warning(Event.ENTRY_UNWRITTEN, entry=stored.name, reason=error)

    def _is_stale(self, stored: StoredObject) -> bool:
        try:
            identity = parse_entry_vm(stored)
        except ObjectError:
            # The entry may have been written by another version of this program.
            return False
        own = self._state.identity
        if identity.name == own.name or identity.domain != own.domain:
            return False
        peer = self._state.peers.get(identity.name)
        return peer is None or peer.last_seen is None


def _is_current(stored: StoredObject | None, vm: VMIdentity) -> bool:
    """Return whether an entry is that of the present incarnation of a VM."""
    return stored is not None and stored.value == entry_vm_spec(vm)
