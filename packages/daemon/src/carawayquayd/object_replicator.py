"""Replicates stored objects between peers by anti-entropy, and adopts those from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

from carawayquay.anti_entropy import AntiEntropy
from carawayquay.errors import LinkError, ObjectError, RequestError
from carawayquay.objects import Pull, Pulled
from carawayquay.restored_objects import RestoredObjects
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from carawayquay.heartbeats import Heartbeat
    from carawayquay.membership import Address
    from carawayquay.objects import StoredObject
    from carawayquay_wire.links import LinkPool
    from carawayquayd.state import NodeState

__all__ = ["ObjectReplicator"]

_log = EventLog("spreading")


class ObjectReplicator:
    """Keeps the object table of one daemon in sync with those of its peers.

    :param pull_timeout: longest wait for a peer's answer to a pull
    """

    def __init__(self, state: NodeState, links: LinkPool, pull_timeout: timedelta) -> None:
        self._state = state
        self._links = links
        self._pull_timeout = pull_timeout
        self._anti_entropy = AntiEntropy(state.objects)
        self._pulling = False
        self._restored = RestoredObjects()
        self._counts = {"pulls": 0, "pulled": 0, "served": 0}
        self.changed = curio.Event()

    def register(self, kind: str, adopter: Callable[[StoredObject], None]) -> None:
        """Replicate the store's objects of a kind.

        :param adopter: puts an object in force, or raises ``ObjectError`` to refuse it
        """
        self._state.objects.register(kind, adopter)
        self._state.freshness.track(kind)

    def dump(self) -> dict[str, Any]:
        """Return the freshness of this VM's objects and the counts of pulls, ready for JSON."""
        now = self._state.clock.now()
        age = self._state.freshness.age(now)
        return {
            "current": self._state.current(),
            "confirmed_age_seconds": None if age is None else age.total_seconds(),
            "summary": f"{self._state.objects.summary:016x}",
            "newest": self._state.objects.newest,
            **self._counts,
        }

    def in_sync(self, heartbeat: Heartbeat) -> bool:
        """Return whether the sender of a heartbeat holds the same objects."""
        return self._anti_entropy.in_sync(heartbeat)

    async def adopt_newer(self, items: Iterable[StoredObject]) -> None:
        """Adopt the objects that are newer and valid, and trigger heartbeats if any was adopted."""
        summary_before = self._state.objects.summary
        now = self._state.clock.now()
        for item in sorted((*self._restored.due(now), *items), key=lambda item: item.version):
            self._adopt(item)
        if self._state.objects.summary != summary_before:
            await self.changed.set()

    async def answer(self, pull: Pull) -> Pulled:
        """Return the objects that the pulling peer lacks."""
        pulled = self._state.objects.answer(pull)
        self._counts["served"] += len(pulled.objects)
        return pulled

    async def reconcile(
        self, address: Address, heartbeat: Heartbeat, asked_at: timedelta | None
    ) -> None:
        """Pull from a heartbeat's sender if it is ahead; if in sync, adopt its confirmed age.

        :param asked_at: when this VM sent the heartbeat that the sender replied to, or None if the
            heartbeat is no reply; only a reply can confirm that objects are current
        """
        if self._anti_entropy.in_sync(heartbeat) and asked_at is not None:
            self._state.freshness.confirm_from_peer(asked_at, heartbeat.confirmed_age_ms)
        if self._pulling:
            return
        pull = self._anti_entropy.plan(heartbeat)
        if pull is not None:
            await curio.spawn(self.pull, address, pull, daemon=True)

    async def pull_all(self, address: Address) -> bool:
        """Pull every object that a peer holds and this VM lacks; return whether no call failed."""
        return await self.pull(address, Pull(self._state.objects.digests(), complete=True))

    async def pull(self, address: Address, pull: Pull) -> bool:
        """Pull from a peer until it has no more new objects; return whether no call failed."""
        self._pulling = True
        try:
            while await self._pull_once(address, pull):
                pull = Pull(self._state.objects.digests(), complete=True)
        except (LinkError, RequestError) as error:
            _log.debug(Event.PULL_FAILED, address=address, reason=error)
            return False
        finally:
            self._pulling = False
        return True

    async def _pull_once(self, address: Address, pull: Pull) -> bool:
        """Pull once; return whether the peer has more and this answer changed the objects held."""
        self._counts["pulls"] += 1
        summary_before = self._state.objects.summary
        pulled = await self._links.call(address, pull, self._pull_timeout)
        self._counts["pulled"] += len(pulled.objects)
        await self.adopt_newer(pulled.objects)
        return pulled.more and self._state.objects.summary != summary_before

    def _adopt(self, item: StoredObject) -> None:
        fields = {"kind": item.kind, "name": item.name, "version": item.version}
        in_force = self._state.objects.in_force(item.kind, item.name)
        if self._restored.hold_back(item, in_force, self._state.clock.now()):
            _log.warning(Event.OBJECT_WITHHELD, **fields, in_force=in_force.version)
            return
        try:
            accepted = self._state.objects.offer(item)
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, **fields, reason=error)
            return
        if accepted:
            _log.info(Event.OBJECT_ADOPTED, **fields)
