"""Watches the platform's store for changed objects while this VM is one of its watchers."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.backoff import Backoff
from carawayquay.errors import StoreError
from carawayquay.freshness import watch_complete_at
from carawayquay.objects import StoredObject
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay_wire.store import StoreClient, StoreListing
    from carawayquayd.object_replicator import ObjectReplicator
    from carawayquayd.state import NodeState

__all__ = ["StoreWatcher"]

_log = EventLog("watcher")

#: Longest time that a watch waits for a change; each answer confirms that the objects are current.
_WATCH_TIMEOUT = timedelta(milliseconds=1500)

#: Bounds of the backoff between calls while the store fails.
_MIN_BACKOFF = timedelta(milliseconds=250)
_MAX_BACKOFF = timedelta(seconds=2)

#: Interval at which a VM that is not a watcher checks whether it has become one.
_ROLE_POLL_SECONDS = 0.1


class StoreWatcher:
    """Watches the store with one long-poll per kind, and passes objects to the replicator."""

    def __init__(
        self, state: NodeState, store: StoreClient, replicator: ObjectReplicator, random: Random
    ) -> None:
        self._state = state
        self._store = store
        self._replicator = replicator
        self._random = random
        self._revisions: dict[str, int] = {}
        self._failing_kinds: set[str] = set()
        self._waiting: set[str] = set()
        self._counts = {"lists": 0, "watches": 0, "failures": 0, "stale": 0}

    def dump(self) -> dict[str, Any]:
        """Return the watches, revisions and failures, and the counts of calls, ready for JSON."""
        return {
            "watching": self._state.domain_view.watches(self._state.clock.now()),
            "waiting": sorted(self._waiting),
            "revisions": self._revisions,
            "lost": sorted(self._failing_kinds),
            **self._counts,
        }

    async def run(self, kind: str, started: curio.Event) -> None:
        """Watch a kind whenever this VM is a watcher, until cancelled.

        :param started: set once the store may be called
        """
        await started.wait()
        backoff = Backoff(_MIN_BACKOFF, _MAX_BACKOFF, self._random)
        while True:
            if not self._state.domain_view.watches(self._state.clock.now()):
                self._revisions.pop(kind, None)
                await curio.sleep(_ROLE_POLL_SECONDS)
                continue
            try:
                await self._fetch_changes(kind)
                backoff.reset()
            except StoreError as error:
                self._record_failure(kind, error)
                await curio.sleep(backoff.next().total_seconds())

    async def _fetch_changes(self, kind: str) -> None:
        asked_at = self._state.clock.now()
        after = self._revisions.get(kind)
        listing = await (self._list(kind) if after is None else self._watch(kind, after))
        self._record_success(kind)
        await self._replicator.adopt_newer(_stored_objects(listing))
        if listing.revision < self._state.objects.newest:
            self._counts["stale"] += 1
        else:
            self._state.freshness.confirm(kind, self._complete_at(asked_at, after, listing))
        self._revisions[kind] = max(after or 0, listing.revision)

    def _complete_at(
        self, asked_at: timedelta, after: int | None, listing: StoreListing
    ) -> timedelta:
        """Return an instant up to which a listing is certain to contain every change."""
        if after is None:
            return asked_at
        answered_at, changed = self._state.clock.now(), bool(listing.objects)
        return watch_complete_at(asked_at, answered_at, _WATCH_TIMEOUT, changed=changed)

    async def _list(self, kind: str) -> StoreListing:
        self._counts["lists"] += 1
        return await self._store.list(kind)

    async def _watch(self, kind: str, after: int) -> StoreListing:
        self._counts["watches"] += 1
        self._waiting.add(kind)
        try:
            return await self._store.watch(kind, after, _WATCH_TIMEOUT)
        finally:
            self._waiting.discard(kind)

    def _record_failure(self, kind: str, error: StoreError) -> None:
        self._counts["failures"] += 1
        self._revisions.pop(kind, None)
        self._state.domain_view.store.record_failure(self._state.clock.now())
        if kind not in self._failing_kinds:
            self._failing_kinds.add(kind)
            _log.warning(Event.STORE_LOST, kind=kind, reason=error)

    def _record_success(self, kind: str) -> None:
        self._state.domain_view.store.record_success()
        if kind in self._failing_kinds:
            self._failing_kinds.discard(kind)
            _log.info(Event.STORE_FOUND, kind=kind)


def _stored_objects(listing: StoreListing) -> list[StoredObject]:
    return [
        StoredObject(item.kind, item.name, item.version, _encode_json(item.value))
        for item in listing.objects
    ]


def _encode_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
