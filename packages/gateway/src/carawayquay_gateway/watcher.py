"""Keeps replicas up to date by watching the store, or by pulling changes from other entry VMs."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import HistoryLostError, StoreError, StoreUnreachableError
from carawayquay.freshness import watch_complete_at
from carawayquay.report_timing import Distance, report_timing
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

#: Timeout of a watch. One that the store never answers is noticed sooner, by checks.
_WATCH_TIMEOUT = timedelta(seconds=28)

_MIN_RETRY_DELAY = timedelta(milliseconds=100)
_MAX_RETRY_DELAY = timedelta(milliseconds=800)

#: Time for which changes collect before the next call, since each call has a cost.
_BATCH_SECONDS = 0.3

#: Delay from the start until a VM lists the store itself instead of pulling from a neighbour:
#: short for the first VM of a domain, which only has to discover its peers, longer for the others.
_FIRST_VM_LIST_DELAY = timedelta(seconds=0.9)
_OTHER_VMS_LIST_DELAY = timedelta(seconds=3)
_NEIGHBOUR_POLL_SECONDS = 0.1

#: Report intervals after a VM loaded its objects from another one in which it hears whether any
#: VM of its domain watches the store.
_INTERVALS_UNTIL_WATCHING = 2

#: Time in which the watch should deliver a change after another VM has reported it.
_LAG_SECONDS = 0.5


@attrs.frozen
class _Watched:
    """The answer to a watch.

    :param complete_at: up to when the answer is certain to contain every change
    """

    changes: ObjectChanges
    complete_at: timedelta


@attrs.frozen
class _FailedCall:
    """A call to the store that failed.

    :param called_at: when the call began
    """

    error: StoreError
    called_at: timedelta


class _WatchEnd(enum.Enum):
    """Why a watch is ended that the store has not answered."""

    CHANGE_MISSED = "a check found a change"
    CONNECTION_SILENT = "a reused connection to the store did not answer a check"
    NOT_NEEDED = "another VM of the domain watches"


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
        self._puller = ReplicaPuller(state, replica, random)
        self._handled_revision = NO_REVISION
        self._loaded_at: timedelta | None = None
        self._last_call_failed = False

    async def run(self) -> None:
        """Follow the store if this VM must watch it, else the VMs that do, until cancelled."""
        await self._list_from_neighbour()
        while True:
            self._must_list = self._must_list or self._state.pause_count != self._handled_pauses
            if not self._must_list and not self._must_watch():
                await self._follow_peers()
                continue
            match await self._follow_store():
                case None:
                    self._record_success()
                case _FailedCall(HistoryLostError()):
                    self._must_list = True
                case _FailedCall() as failure:
                    self._note_outage(failure)
                    self._record_failure(failure)
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
                self._loaded_at = state.clock.now()
                return
            await curio.sleep(_NEIGHBOUR_POLL_SECONDS)

    def _must_watch(self) -> bool:
        """Return whether this VM must watch the store.

        One that loaded its objects from another VM waits a moment for the report of the VM that
        watches, but not longer than the contact time.
        """
        if self._loaded_at is not None:
            vms = len(self._state.peers.domain_peers)
            interval = report_timing(Distance.DOMAIN, vms).interval
            wait = min(_INTERVALS_UNTIL_WATCHING * interval, self._state.settings.deadlines.contact)
            if self._state.clock.now() - self._loaded_at < wait:
                return False
            self._loaded_at = None
        return self._state.must_watch_store()

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

    async def _follow_store(self) -> _FailedCall | None:
        """List the objects, or wait for changes, and apply the result; return a call that failed.

        The first call of a VM that begins to watch returns at once, so that the VM counts as
        watching only when the store has answered it.
        """
        if self._must_list:
            return await self._list()
        if self._replica.kind not in self._state.store_answered:
            match await self._apply_missed():
                case _FailedCall() as failure:
                    return failure
            return None
        return await self._watch_and_check()

    async def _list(self) -> _FailedCall | None:
        """List the objects and apply the listing, unless it is older than the replica."""
        self._handled_pauses = self._state.pause_count
        called_at = self._state.clock.now()
        try:
            listing = await self._store.list(self._replica.kind)
        except StoreError as error:
            return _FailedCall(error, called_at)
        if not self._puller.apply_listing(listing):
            error = StoreError(
                f"listing at revision {listing.revision} is older than the replica's revision "
                f"{self._replica.revision}"
            )
            return _FailedCall(error, called_at)
        self._must_list = False
        self._state.knowledge.confirm_revision(listing.revision, called_at)
        await self._state.announce_changes()
        return None

    async def _watch_and_check(self) -> _FailedCall | None:
        """Apply the changes of a watch, or what a check shows that the watch missed.

        List the objects next if the watch is behind another VM, or this VM was paused.
        """
        async with curio.TaskGroup(wait=any) as group:
            watching = await group.spawn(self._watch)
            checking = await group.spawn(self._check_watch)
            await group.spawn(self._wait_until_behind)
        if group.completed is watching:
            return await self._apply_watched(watching.result)
        if group.completed is checking:
            return self._handle_unanswered(checking.result)
        self._must_list = True
        return None

    async def _watch(self) -> _Watched | _FailedCall:
        """Wait for changes."""
        called_at = self._state.clock.now()
        kind, wait = self._replica.kind, self._watch_timeout
        try:
            changes = await self._store.watch(kind, self._replica.revision, wait)
        except StoreError as error:
            return _FailedCall(error, called_at)
        answered_at = self._state.clock.now()
        changed = bool(changes.events)
        complete_at = watch_complete_at(called_at, answered_at, wait, changed=changed)
        return _Watched(changes, complete_at)

    async def _apply_watched(self, result: _Watched | _FailedCall) -> _FailedCall | None:
        """Apply the answer to a watch, and let further changes collect if it has any."""
        match result:
            case _Watched(changes, complete_at):
                await self._apply(changes, complete_at)
                if changes.events:
                    await curio.sleep(_BATCH_SECONDS)
                return None
            case _:
                return result

    async def _check_watch(self) -> _WatchEnd | _FailedCall:
        """Ask for changes while the watch waits, until it has to be ended or a check fails.

        A check of any kind that finds a silent connection ends the watches of all kinds, which may
        wait on other silent ones.
        """
        silences = self._store.silences
        while True:
            await self._state.ticker.next()
            if self._store.silences != silences:
                return _WatchEnd.CONNECTION_SILENT
            if not self._state.must_watch_store():
                return _WatchEnd.NOT_NEEDED
            match await self._check_if_due():
                case _FailedCall() as failure:
                    return failure
                case True:
                    return _WatchEnd.CHANGE_MISSED

    async def _check_if_due(self) -> bool | _FailedCall:
        """Apply all missed changes if that is due; return whether there were any."""
        knowledge, kind = self._state.knowledge, self._replica.kind
        if not knowledge.check_due(kind):
            return False
        async with knowledge.checking:
            # The check of another kind may have confirmed this one meanwhile.
            return await self._apply_missed() if knowledge.check_due(kind) else False

    async def _apply_missed(self) -> bool | _FailedCall:
        """Apply all changes since the replica's revision; return whether there were any."""
        called_at = self._state.clock.now()
        try:
            changes = await self._store.changes(self._replica.kind, self._replica.revision)
        except StoreError as error:
            return _FailedCall(error, called_at)
        await self._apply(changes, called_at)
        return bool(changes.events)

    def _handle_unanswered(self, result: _WatchEnd | _FailedCall) -> _FailedCall | None:
        """Log and count why a watch is ended before its answer; return a check that failed."""
        kind = self._replica.kind.name
        match result:
            case _FailedCall() as failure:
                return failure
            case _WatchEnd.CHANGE_MISSED:
                self._state.metrics.count("watches_missed_changes_total", kind=kind)
                _log.warning(Event.WATCH_MISSED_CHANGE, kind=kind, revision=self._replica.revision)
            case _WatchEnd.CONNECTION_SILENT:
                self._state.metrics.count("silent_connections_total", kind=kind)
                _log.warning(Event.CONNECTION_SILENT, kind=kind, to="store")
        return None

    async def _apply(self, changes: ObjectChanges, complete_at: timedelta) -> None:
        """Apply changes, unless the replica was updated beyond them meanwhile.

        :param complete_at: up to when the store confirms that there are no others
        """
        if changes.revision >= self._replica.revision:
            self._replica.apply_changes(changes)
        self._state.knowledge.confirm_revision(changes.revision, complete_at)
        await self._state.announce_changes()

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

    def _note_outage(self, failure: _FailedCall) -> None:
        """Record that the store was away if a failed call shows it.

        One failure may only mean that a connection broke, for example while a watch waited on it.
        The call after it opens a new connection.
        """
        if not self._last_call_failed and not isinstance(failure.error, StoreUnreachableError):
            return
        self._state.store_history.note_failure(failure.called_at)

    def _record_success(self) -> None:
        """Record that the store answered, and log it if it did not before."""
        self._last_call_failed = False
        if self._state.must_watch_store():
            self._state.store_answered[self._replica.kind] = True
        self._backoff.reset()
        if self._connected is not True:
            self._connected = True
            _log.info(Event.STORE_FOUND, kind=self._replica.kind.name)

    def _record_failure(self, failure: _FailedCall) -> None:
        """Record that the store did not answer, and log it if it did before."""
        self._last_call_failed = True
        self._state.store_answered[self._replica.kind] = False
        # The store may have dropped changes from its history during the outage.
        self._must_list = True
        if self._connected is False:
            return
        self._connected = False
        waited = self._state.clock.now() - failure.called_at
        _log.warning(
            Event.STORE_LOST,
            kind=self._replica.kind.name,
            waited_ms=int(waited.total_seconds() * 1000),
            reason=failure.error,
        )
