"""Keeps the copies of the store's objects current: from the store, else from other entry VMs."""

from __future__ import annotations

from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import HistoryLostError, StoreError
from carawayquay.membership import Address
from carawayquay.watch_duty import neighbour, on_duty
from carawayquay_platform.store import PlatformStore
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.entry_peers import Holder
    from carawayquay_gateway.replicas import Replica
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.store import ObjectChanges, ObjectListing

__all__ = ["Watcher"]

_log = EventLog("watcher")

#: Longest wait of a watch: so long does a watch that the store never answers go unnoticed, unless
#: another VM is seen to have a change that it should have brought.
_WAIT = timedelta(seconds=16)

#: The same for a while after a failure, in which calls may get lost without a word.
_UNSURE_WAIT = timedelta(seconds=2)
_UNSURE_FOR = timedelta(seconds=10)

_FIRST_RETRY = timedelta(milliseconds=100)
_LAST_RETRY = timedelta(milliseconds=800)

#: Time for which further changes are gathered before the next call, as each call has a price.
_GATHER_SECONDS = 0.3

#: Time after the start in which a neighbour may have listed the objects: the first VM of a domain
#: lists them itself as soon as it has heard who is there, the others after the longer time.
_FIRST_LISTS_AFTER = timedelta(seconds=0.5)
_OTHERS_LIST_AFTER = timedelta(seconds=3)
_NEIGHBOUR_SECONDS = 0.1

#: Time in which a change should have come by the watch, after another VM was seen to have it.
_LAG_SECONDS = 0.5

_PEER_TIMEOUT = timedelta(milliseconds=500)


class Watcher:
    """Watches the objects of one kind."""

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStore,
        replica: Replica,
        random: Random,
        wait: timedelta = _WAIT,
    ) -> None:
        self._state = state
        self._store = store
        self._replica = replica
        self._wait = wait
        self._backoff = Backoff(_FIRST_RETRY, _LAST_RETRY, random)
        self._connected: bool | None = None
        self._stale = True
        self._handled_pauses = state.pause_count
        self._index = list(state.replicas).index(replica.kind)
        self._handled = 0
        self._failed_at: timedelta | None = None

    async def run(self) -> None:
        """Follow the store, or those who do, until cancelled."""
        await self._start_from_neighbour()
        while True:
            self._stale = self._stale or self._state.pause_count != self._handled_pauses
            if not self._stale and not self._on_duty():
                await self._follow_peers()
                continue
            try:
                await self._follow_store()
                self._note_connected(None)
            except HistoryLostError:
                self._stale = True
            except StoreError as error:
                self._note_connected(error)
                await self._ask_peer()
                await curio.sleep(self._backoff.next().total_seconds())

    def _on_duty(self) -> bool:
        return on_duty(self._state.identity, self._state.peers, self._state.clock.now())

    async def _start_from_neighbour(self) -> None:
        """Take the objects from a VM of the domain, if one has them before long.

        While callers wait for them, the store is listed at once.
        """
        state = self._state
        started = state.clock.now()
        while not state.refused_unconfigured:
            now = state.clock.now()
            before = neighbour(state.identity, state.peers, now)
            if now - started >= (_FIRST_LISTS_AFTER if before is None else _OTHERS_LIST_AFTER):
                return
            if before is not None and await self._pull(before.host, noted=False):
                self._stale = False
                return
            await curio.sleep(_NEIGHBOUR_SECONDS)

    async def _follow_peers(self) -> None:
        """Take changes from VMs that watch the store, for a short while."""
        self._state.store_answered.pop(self._replica.kind, None)
        await self._ask_peer()
        await self._state.ticker.next()

    async def _follow_store(self) -> None:
        """Make one call of the store.

        :raises StoreError: if it is not answered
        """
        if self._stale:
            self._handled_pauses = self._state.pause_count
            self._apply_listing(await self._store.list(self._replica.kind))
            self._stale = False
            return
        self._state.store_answered.setdefault(self._replica.kind, True)
        changes = await self._watch_until_behind()
        if changes is None:
            self._stale = True
            return
        self._replica.apply_changes(changes)
        if changes.events:
            await curio.sleep(_GATHER_SECONDS)

    async def _watch_until_behind(self) -> ObjectChanges | None:
        """Return the changes, or None once another VM is known to have seen later ones.

        :raises StoreError: if the store does not answer
        """
        async with curio.TaskGroup(wait=any) as group:
            watching = await group.spawn(self._watch)
            await group.spawn(self._wait_behind)
        if group.completed is not watching:
            return None
        match watching.result:
            case StoreError() as error:
                raise error
            case changes:
                return changes

    async def _watch(self) -> ObjectChanges | StoreError:
        """Return the changes; an error is returned too, since curio logs those that end a task."""
        try:
            revision = self._replica.revision
            return await self._store.watch(self._replica.kind, revision, self._present_wait())
        except StoreError as error:
            return error

    def _present_wait(self) -> timedelta:
        now = self._state.clock.now()
        if self._failed_at is not None and now - self._failed_at < _UNSURE_FOR:
            return min(self._wait, _UNSURE_WAIT)
        return self._wait

    async def _wait_behind(self) -> None:
        """Return once another VM has had a later change for a while, or this VM was paused."""
        while self._state.pause_count == self._handled_pauses:
            await self._state.ticker.next()
            newest = self._newest_at_peers()
            if newest is not None and self._missed(newest):
                await curio.sleep(_LAG_SECONDS)
                if self._missed(newest):
                    self._handled = newest.revision
                    return

    def _missed(self, newest: Holder) -> bool:
        """Return whether the watch should have brought a change that another VM has."""
        return newest.revision > max(self._replica.revision or 0, self._handled)

    def _newest_at_peers(self) -> Holder | None:
        """Return who is live and holds the latest changes, near VMs first."""
        peers = self._state.peers
        if peers.newest_revision(self._index) <= (self._replica.revision or 0):
            return None
        holders = peers.holders(self._index, self._state.clock.now())
        return max(holders, key=lambda holder: (holder.revision, holder.near), default=None)

    async def _ask_peer(self) -> None:
        """Take what a live VM knows, if that is more than is known here."""
        newest = self._newest_at_peers()
        if newest is None or newest.revision <= (self._replica.revision or 0):
            return
        if await self._pull(newest.host):
            self._stale = self._stale and self._on_duty()

    async def _pull(self, host: str, *, noted: bool = True) -> bool:
        """Take what another VM knows; return whether it answered.

        :param noted: whether it is worth a log line that it did not
        """
        address = Address(host, self._state.settings.admin.port)
        peer = PlatformStore(address, _PEER_TIMEOUT)
        try:
            await self._pull_from(peer)
        except StoreError as error:
            if noted:
                kind = self._replica.kind.name
                _log.warning(Event.PULL_FAILED, kind=kind, peer=address, reason=error)
            return False
        finally:
            await peer.close()
        return True

    async def _pull_from(self, peer: PlatformStore) -> None:
        """Take what changed, or all objects where the other VM does not remember that.

        :raises StoreError: if it does not answer
        """
        kind, revision = self._replica.kind, self._replica.revision
        if revision is not None:
            with suppress(HistoryLostError):
                changes = await peer.watch(kind, revision, timedelta())
                if changes.revision > revision:
                    self._replica.apply_changes(changes)
                return
        self._apply_listing(await peer.list(kind), from_peer=True)

    def _apply_listing(self, listing: ObjectListing, *, from_peer: bool = False) -> None:
        if self._replica.apply_listing(listing, from_peer=from_peer):
            _log.info(
                Event.OBJECT_ADOPTED,
                kind=self._replica.kind.name,
                revision=listing.revision,
                objects=len(listing.objects),
                source="peer" if from_peer else "store",
            )

    def _note_connected(self, error: StoreError | None) -> None:
        connected = error is None
        if not connected or self._on_duty():
            self._state.store_answered[self._replica.kind] = connected
        if connected:
            self._backoff.reset()
        else:
            # After an outage the watch may have missed what the store forgot meanwhile.
            self._stale = True
            self._failed_at = self._state.clock.now()
            self._state.store_failed_at = self._failed_at
        if connected is self._connected:
            return
        self._connected = connected
        if connected:
            _log.info(Event.STORE_FOUND, kind=self._replica.kind.name)
        else:
            _log.warning(Event.STORE_LOST, kind=self._replica.kind.name, reason=error)
