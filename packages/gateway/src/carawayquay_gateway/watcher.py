"""Keeps replicas up to date by watching the store, or by pulling changes from other entry VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import HistoryLostError, StoreError, StoreUnreachableError
from carawayquay.freshness import watch_complete_at
from carawayquay.store_revision import NO_REVISION
from carawayquay.store_watch import snapshot_source
from carawayquay_gateway.replica_puller import ReplicaPuller
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.entry_peers import Holder
    from carawayquay_gateway.replicas import Replica
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.object_changes import ObjectChanges
    from carawayquay_platform.store import PlatformStoreClient

__all__ = ["Watcher"]

_log = EventLog("watcher")

#: Timeout of a watch. A watch that the store never answers is noticed only then, or when another
#: VM reports a change that the watch should have delivered.
_WATCH_TIMEOUT = timedelta(seconds=16)

#: Shorter timeout for a while after a failure, in which calls may be lost without an error.
_CAUTIOUS_WATCH_TIMEOUT = timedelta(seconds=2)
_CAUTIOUS_FOR = timedelta(seconds=10)

_MIN_RETRY_DELAY = timedelta(milliseconds=100)
_MAX_RETRY_DELAY = timedelta(milliseconds=800)

#: Time for which changes collect before the next call, since each call has a cost.
_BATCH_SECONDS = 0.3

#: Delay from the start until a VM lists the store itself instead of pulling from a neighbour:
#: short for the first VM of a domain, which only has to discover its peers, longer for the others.
_FIRST_VM_LIST_DELAY = timedelta(seconds=0.5)
_OTHER_VMS_LIST_DELAY = timedelta(seconds=3)
_NEIGHBOUR_POLL_SECONDS = 0.1

#: Time in which the watch should deliver a change after another VM has reported it.
_LAG_SECONDS = 0.5


class Watcher:
    """Keeps the replica of one kind of object up to date.

    :param watch_timeout: time after which a watch without changes returns
    """

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStoreClient,
        replica: Replica,
        random: Random,
        watch_timeout: timedelta = _WATCH_TIMEOUT,
    ) -> None:
        self._state = state
        self._store = store
        self._replica = replica
        self._watch_timeout = watch_timeout
        self._backoff = Backoff(_MIN_RETRY_DELAY, _MAX_RETRY_DELAY, random)
        self._connected: bool | None = None
        self._must_list = True
        self._handled_pauses = state.pause_count
        self._puller = ReplicaPuller(state, replica)
        self._handled_revision = NO_REVISION
        self._failed_at: timedelta | None = None
        self._last_call_failed = False

    async def run(self) -> None:
        """Follow the store if this VM must watch it, else the VMs that do, until cancelled."""
        await self._list_from_neighbour()
        while True:
            self._must_list = self._must_list or self._state.pause_count != self._handled_pauses
            if not self._must_list and not self._state.must_watch_store():
                await self._follow_peers()
                continue
            called_at = self._state.clock.now()
            try:
                await self._follow_store(called_at)
                self._record_store_call(None, called_at)
            except HistoryLostError:
                self._must_list = True
            except StoreError as error:
                self._note_outage(error, called_at)
                self._record_store_call(error, called_at)
                await self._pull_if_behind()
                await curio.sleep(self._backoff.next().total_seconds())

    async def _list_from_neighbour(self) -> None:
        """Pull the objects from a VM of the domain, unless none has them within the list delay.

        Return at once if callers were refused for lack of a configuration, so that the store is
        listed.
        """
        state = self._state
        started = state.clock.now()
        while not state.refused_unconfigured:
            now = state.clock.now()
            neighbour = snapshot_source(state.identity, state.peers, now)
            if now - started >= (
                _FIRST_VM_LIST_DELAY if neighbour is None else _OTHER_VMS_LIST_DELAY
            ):
                return
            if neighbour is not None and await self._puller.pull(neighbour.host, log_failure=False):
                self._must_list = False
                return
            await curio.sleep(_NEIGHBOUR_POLL_SECONDS)

    async def _follow_peers(self) -> None:
        """Pull changes from the VMs that watch the store, and wait for others or the next tick."""
        self._state.store_answered.pop(self._replica.kind, None)
        self._last_call_failed = False
        await self._pull_if_behind()
        await self._state.ticker.next_or(self._state.changes_reported)

    async def _pull_if_behind(self) -> None:
        """Pull from the VM that is farthest ahead; what it had need not be listed any more."""
        if await self._puller.pull_from_newest():
            self._must_list = self._must_list and self._state.must_watch_store()

    async def _follow_store(self, called_at: timedelta) -> None:
        """Make one list or watch call to the store and apply its result.

        :param called_at: the present time
        :raises StoreError: if the call fails
        """
        if self._must_list:
            self._handled_pauses = self._state.pause_count
            listing = await self._store.list(self._replica.kind)
            if not self._puller.apply_listing(listing):
                raise StoreError(
                    f"listing at revision {listing.revision} is older than the replica's revision "
                    f"{self._replica.revision}"
                )
            self._must_list = False
            self._state.knowledge.confirm_revision(listing.revision, called_at)
            await self._state.announce_departures()
            return
        self._state.store_answered.setdefault(self._replica.kind, True)
        wait = self._current_watch_timeout()
        changes = await self._watch_until_behind(wait)
        if changes is None:
            self._must_list = True
            return
        self._replica.apply_changes(changes)
        self._confirm_watch(changes, called_at, wait)
        await self._state.announce_departures()
        if changes.events:
            await curio.sleep(_BATCH_SECONDS)

    def _confirm_watch(self, changes: ObjectChanges, called_at: timedelta, wait: timedelta) -> None:
        """Record up to when the answer to a watch confirms this VM's knowledge."""
        changed = bool(changes.events)
        now = self._state.clock.now()
        self._state.knowledge.confirm_revision(
            changes.revision, watch_complete_at(called_at, now, wait, changed=changed)
        )

    async def _watch_until_behind(self, wait: timedelta) -> ObjectChanges | None:
        """Return the changes of a watch, or None if it is behind another VM or this VM was paused.

        :param wait: the longest time to wait for a change
        :raises StoreError: if the store does not answer
        """
        async with curio.TaskGroup(wait=any) as group:
            watching = await group.spawn(self._watch, wait)
            await group.spawn(self._wait_until_behind)
        if group.completed is not watching:
            return None
        match watching.result:
            case StoreError() as error:
                raise error
            case changes:
                return changes

    async def _watch(self, wait: timedelta) -> ObjectChanges | StoreError:
        """Return the changes or the error; curio would log an error that ends a task."""
        try:
            return await self._store.watch(self._replica.kind, self._replica.revision, wait)
        except StoreError as error:
            return error

    def _current_watch_timeout(self) -> timedelta:
        now = self._state.clock.now()
        if self._failed_at is not None and now - self._failed_at < _CAUTIOUS_FOR:
            return min(self._watch_timeout, _CAUTIOUS_WATCH_TIMEOUT)
        return self._watch_timeout

    async def _wait_until_behind(self) -> None:
        """Return once the watch is late for a change that another VM has, or this VM was paused."""
        while self._state.pause_count == self._handled_pauses:
            await self._state.ticker.next()
            newest = self._puller.newest_holder()
            if newest is not None and self._watch_missed(newest):
                await curio.sleep(_LAG_SECONDS)
                if self._watch_missed(newest):
                    self._handled_revision = newest.revision
                    return

    def _watch_missed(self, newest: Holder) -> bool:
        """Return whether another VM has a change that this VM neither has nor reacted to."""
        known = self._replica.revision or NO_REVISION
        return newest.revision > max(known, self._handled_revision)

    def _note_outage(self, error: StoreError, called_at: timedelta) -> None:
        """Record that the store was away if a failed call shows it.

        One failure may only mean that a connection broke, for example while a watch waited on it.
        The call after it opens a new connection.
        """
        if not self._last_call_failed and not isinstance(error, StoreUnreachableError):
            return
        before = self._state.store_failed_at
        self._state.store_failed_at = called_at if before is None else max(before, called_at)

    def _record_store_call(self, error: StoreError | None, called_at: timedelta) -> None:
        connected = error is None
        self._last_call_failed = not connected
        if not connected or self._state.must_watch_store():
            self._state.store_answered[self._replica.kind] = connected
        if connected:
            self._backoff.reset()
        else:
            # The store may have dropped changes from its history during the outage.
            self._must_list = True
            self._failed_at = self._state.clock.now()
        if connected is self._connected:
            return
        self._connected = connected
        if connected:
            _log.info(Event.STORE_FOUND, kind=self._replica.kind.name)
        else:
            waited = self._state.clock.now() - called_at
            _log.warning(
                Event.STORE_LOST,
                kind=self._replica.kind.name,
                waited_ms=int(waited.total_seconds() * 1000),
                reason=error,
            )
