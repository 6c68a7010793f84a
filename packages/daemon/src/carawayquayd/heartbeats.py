"""Exchanges heartbeats with neighbours, other failure domains and, after a start, seeds."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.errors import LinkError, RequestError
from carawayquay.heartbeats import HEARTBEAT_INTERVAL, Heartbeat, Load
from carawayquay.joining import Joining
from carawayquay.membership import VMState
from carawayquay.neighbours import neighbours
from carawayquay.watchers import ranked_watchers
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from carawayquay.membership import Address, DomainList, EntryVM
    from carawayquay_wire.links import LinkPool
    from carawayquayd.object_replicator import ObjectReplicator
    from carawayquayd.state import NodeState

__all__ = ["HeartbeatExchange"]

_log = EventLog("heartbeats")

#: Longest wait for the reply to a heartbeat.
_REPLY_TIMEOUT = timedelta(seconds=1)

#: Gap between heartbeat rounds that means a pause of this process; heartbeats received after it may
#: have waited in the socket and be old.
_PAUSE_THRESHOLD = timedelta(seconds=1)

#: Number of seeds, and of listed members, that an isolated VM contacts per round.
_CONTACTS_PER_ROUND = 3

#: Time for which a watcher of another domain that did not reply is replaced by the next in rank.
_FAILED_PEER_BACKOFF = timedelta(seconds=5)

#: Shortest time between two rounds of heartbeats.
_MIN_ROUND_INTERVAL_SECONDS = 0.02


class HeartbeatExchange:
    """The heartbeats of one daemon.

    ``seeds_contacted`` is set after the first round of contacts, ``joined`` once this VM has the
    objects of a peer or enough rounds with listed members found none that has any.

    :param loads: returns the loads of the services that this VM has slots for
    """

    def __init__(
        self,
        state: NodeState,
        links: LinkPool,
        replicator: ObjectReplicator,
        loads: Callable[[], list[Load]],
        random: Random,
    ) -> None:
        self._state = state
        self._links = links
        self._replicator = replicator
        self._loads = loads
        self._random = random
        self._sequence = 0
        self._in_flight: set[Address] = set()
        self._failed_at: dict[str, timedelta] = {}
        self._last_round_at = state.clock.now()
        self._last_reply_at: timedelta | None = None
        self._misdirected = 0
        self._joining = Joining()
        self.seeds_contacted = curio.Event()
        self.joined = curio.Event()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled, at each interval and after each change."""
        await self._join()
        while True:
            self._last_round_at = self._state.clock.now()
            self._replicator.changed.clear()
            for vm in self._receivers():
                await self._start_exchange(vm.peers, vm)
            if self._isolated():
                await curio.spawn(self._pull_from_contacts, daemon=True)
            await curio.sleep(_MIN_ROUND_INTERVAL_SECONDS)
            await self._wait_for_change()

    async def receive(self, heartbeat: Heartbeat) -> Heartbeat:
        """Record the heartbeat of another VM and return a heartbeat in reply.

        A heartbeat addressed to another VM, whose address this one now has, is not recorded, nor
        is one that may have waited while this process was paused.
        """
        settings = self._state.settings
        now = self._state.clock.now()
        if heartbeat.receiver not in ("", settings.name) or heartbeat.vm == settings.name:
            self._misdirected += 1
        elif now - self._last_round_at < _PAUSE_THRESHOLD:
            self._record(heartbeat, now)
            sender = self._listed_member(heartbeat)
            if sender is not None:
                await self._replicator.reconcile(sender.peers, heartbeat, None)
        return self._build_heartbeat(heartbeat.vm)

    def dump(self) -> dict[str, Any]:
        """Return whether each other member of the failure domain is alive, ready for JSON."""
        now = self._state.clock.now()
        own_name = self._state.settings.name
        members = self._state.domain_view.members
        return {vm: self._state.peers.alive(vm, now) for vm in members if vm != own_name}

    def dump_membership(self) -> dict[str, Any]:
        """Return the store's watchers, the heartbeat receivers and leaving VMs, ready for JSON."""
        view = self._state.domain_view
        now = self._state.clock.now()
        return {
            "watchers": list(view.watchers(now)),
            "receivers": [vm.name for vm in self._receivers()],
            "leaving": [vm for vm in view.members if view.leaving(vm)],
            "store_failed": view.store_failed(now),
            "misdirected": self._misdirected,
        }

    def _receivers(self) -> list[EntryVM]:
        """Return this round's receivers: neighbours and, for a watcher, other domains' watchers."""
        settings = self._state.settings
        view = self._state.domain_view
        listed = self._state.directory.domain(settings.domain)
        names = view.receivers(self._state.clock.now(), self._sequence)
        own_neighbours = [vm for name in names if (vm := listed.member(name)) is not None]
        if view.watches(self._state.clock.now()):
            return [*own_neighbours, *self._neighbour_watchers()]
        return own_neighbours

    def _neighbour_watchers(self) -> list[EntryVM]:
        """Return one watcher of each neighbouring failure domain."""
        directory = self._state.directory
        chosen = []
        for domain in neighbours(self._state.settings.domain, directory.domains):
            vm = self._select_watcher(domain)
            if vm is not None:
                chosen.append(vm)
        return chosen

    def _select_watcher(self, domain: str) -> EntryVM | None:
        """Return the highest-ranked watcher of a failure domain that is not in its failure backoff.

        If all are, return one at random, or None if no VM of the domain is live.
        """
        now = self._state.clock.now()
        live = {vm.name: vm for vm in self._state.directory.live(domain)}
        ranking = ranked_watchers(domain, live)
        for name in ranking:
            failed_at = self._failed_at.get(name)
            if failed_at is None or now - failed_at >= _FAILED_PEER_BACKOFF:
                return live[name]
        return live[self._random.choice(ranking)] if ranking else None

    def _isolated(self) -> bool:
        """Return whether no VM replied within four intervals, or the own VM list is unknown."""
        last_reply_at = self._last_reply_at
        if (
            last_reply_at is None
            or self._state.clock.now() - last_reply_at > 4 * HEARTBEAT_INTERVAL
        ):
            return True
        return self._state.directory.domain(self._state.settings.domain).version == 0

    async def _join(self) -> None:
        """Pull objects from contacts until this VM has those in force; see ``Joining``."""
        while not self._joining.done:
            listed = self._state.directory.domains != ()
            self._replicator.changed.clear()
            await self._pull_from_contacts()
            await self.seeds_contacted.set()
            self._joining.end_round(listed=listed)
            if not self._joining.done:
                await self._wait_for_change()
        await self.joined.set()

    async def _wait_for_change(self) -> None:
        """Wait until an object changes here, for at most one jittered interval."""
        seconds = HEARTBEAT_INTERVAL.total_seconds() * self._random.uniform(0.9, 1.0)
        async with curio.ignore_after(seconds):
            await self._replicator.changed.wait()

    async def _pull_from_contacts(self) -> None:
        """Contact a sample of seeds and listed members; pull from those with other objects."""
        async with curio.TaskGroup() as group:
            for address in self._contacts():
                await group.spawn(self._pull_from_contact, address)

    def _contacts(self) -> set[Address]:
        settings = self._state.settings
        listed = self._other_addresses(self._state.directory.domain(settings.domain))
        if not listed:
            listed = [
                address
                for found in self._state.directory
                for address in self._other_addresses(found)
            ]
        seeds = [seed for seed in settings.seeds if seed != settings.peers]
        return {*self._sample_contacts(seeds), *self._sample_contacts(listed)}

    def _other_addresses(self, listed: DomainList) -> list[Address]:
        own = self._state.settings.name
        return [vm.peers for vm in listed.members if vm.name != own]

    def _sample_contacts(self, addresses: list[Address]) -> list[Address]:
        return self._random.sample(addresses, min(_CONTACTS_PER_ROUND, len(addresses)))

    async def _pull_from_contact(self, address: Address) -> None:
        reply = await self._exchange(address, None)
        if reply is None:
            return
        has_objects = self._replicator.in_sync(reply) or await self._replicator.pull_all(address)
        self._joining.record(reply, has_objects=has_objects)

    async def _start_exchange(self, address: Address, vm: EntryVM) -> None:
        if address not in self._in_flight:
            await curio.spawn(self._exchange, address, vm, daemon=True)

    async def _exchange(self, address: Address, vm: EntryVM | None) -> Heartbeat | None:
        """Send a heartbeat, and process and return the reply; None if there is no valid one.

        :param vm: the VM that has to reply, or None to accept a reply from any VM
        """
        self._in_flight.add(address)
        asked_at = self._state.clock.now()
        try:
            heartbeat = self._build_heartbeat(vm.name if vm is not None else "")
            reply = await self._links.call(address, heartbeat, _REPLY_TIMEOUT)
        except (LinkError, RequestError):
            if vm is not None:
                self._failed_at[vm.name] = asked_at
            return None
        finally:
            self._in_flight.discard(address)
        if not isinstance(reply, Heartbeat) or (vm is not None and reply.vm != vm.name):
            self._record_misplaced(address, vm, reply)
            return None
        await self._process_reply(address, reply, asked_at)
        return reply

    async def _process_reply(self, address: Address, reply: Heartbeat, asked_at: timedelta) -> None:
        self._last_reply_at = asked_at
        self._failed_at.pop(reply.vm, None)
        self._record(reply, asked_at)
        await self._replicator.reconcile(address, reply, asked_at)

    def _record_misplaced(self, address: Address, vm: EntryVM | None, reply: Any) -> None:
        name = reply.vm if isinstance(reply, Heartbeat) else ""
        expected = vm.name if vm is not None else ""
        self._failed_at[expected] = self._state.clock.now()
        _log.debug(Event.PEER_MISPLACED, address=address, expected=expected, found=name)

    def _listed_member(self, heartbeat: Heartbeat) -> EntryVM | None:
        return self._state.directory.domain(heartbeat.domain).member(heartbeat.vm)

    def _record(self, heartbeat: Heartbeat, at: timedelta) -> None:
        if self._listed_member(heartbeat) is None:
            return
        self._state.peers.record(heartbeat, at)
        listed = self._state.directory.domain(self._state.settings.domain)
        if heartbeat.domain == listed.domain and heartbeat.list_version == listed.version:
            self._state.peers.merge_sightings(
                self._state.domain_view.members, heartbeat.sightings, at
            )

    def _build_heartbeat(self, receiver: str) -> Heartbeat:
        state = self._state
        now = state.clock.now()
        view = state.domain_view
        listed = state.directory.domain(state.settings.domain)
        member = listed.member(state.settings.name)
        listed_as_leaving = member is not None and member.state is VMState.LEAVING
        self._sequence += 1
        return Heartbeat(
            vm=state.settings.name,
            domain=state.settings.domain,
            incarnation=state.incarnation,
            sequence=self._sequence,
            list_version=listed.version,
            leaving=state.stopping or listed_as_leaving,
            loads=self._loads(),
            receiver=receiver,
            summary=state.objects.summary,
            newest=state.objects.newest,
            recent=state.objects.recent,
            confirmed_age_ms=state.freshness.age_ms(now),
            store_failed=view.store_failed(now),
            sightings=state.peers.sightings(view.members, now),
        )
