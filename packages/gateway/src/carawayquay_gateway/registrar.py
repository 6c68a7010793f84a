"""Registration of this VM in the store, and removal of stale entries of other VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import ConflictError, ObjectError, StoreError
from carawayquay.store_watch import must_watch_store
from carawayquay_platform.objects import ObjectKind, entry_vm_spec, parse_entry_vm
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

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


class VMRegistrar:
    """Writes this VM's entry, discovers peers from their entries, and deletes stale entries.

    :param stale_seconds: time after listing in which a VM must send a message to keep its entry
    :param discovery_seconds: time in which seeds can answer before the entries are listed
    """

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStoreClient,
        random: Random,
        stale_seconds: float = _STALE_SECONDS,
        discovery_seconds: float = _DISCOVERY_SECONDS,
    ) -> None:
        self._state = state
        self._stale_seconds = stale_seconds
        self._discovery_seconds = discovery_seconds
        self._store = store
        self._backoff = Backoff(_MIN_RETRY_DELAY, _MAX_RETRY_DELAY, random)
        self._revision: int | None = None

    @property
    def registered(self) -> bool:
        """Whether the store has confirmed this VM's entry."""
        return self._revision is not None

    async def run(self) -> None:
        """Write this VM's entry, then delete stale entries periodically, until cancelled.

        Entries are listed once the discovery time is over, if no other VM is known then, and later
        in each period in which this VM must watch the store.
        """
        await self._retry_until_success(self._write_entry)
        await curio.sleep(self._discovery_seconds)
        found: tuple[StoredObject, ...] = ()
        if self._state.peers.known == 1:
            found = await self._retry_until_success(self._list_entries)
        while True:
            await curio.sleep(self._stale_seconds)
            await self._delete_stale_entries(found)
            found = ()
            if must_watch_store(self._state.identity, self._state.peers, self._state.clock.now()):
                found = await self._retry_until_success(self._list_entries)

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
            revision = self._revision or await self._find_revision()
            if revision is not None:
                name = self._state.identity.name
                await self._store.delete(ObjectKind.ENTRY_VMS, name, revision)
        except StoreError as error:
            _log.warning(Event.ENTRY_UNWRITTEN, reason=error)

    async def _find_revision(self) -> int | None:
        """Return the revision of this VM's unconfirmed entry, or None if it was not written.

        :raises StoreError: if the store does not answer
        """
        stored = await self._store.get(ObjectKind.ENTRY_VMS, self._state.identity.name)
        own = stored is not None and stored.value == entry_vm_spec(self._state.identity)
        return stored.revision if own else None

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
        self._revision = stored.revision

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
