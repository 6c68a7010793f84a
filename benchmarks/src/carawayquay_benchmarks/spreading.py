"""Benchmark of the traffic, processor time and delays of heartbeats in one failure domain.

The decisions and the codec of the product run on a virtual clock, without a network. Each exchange
counts as two frames, and each frame includes its TCP and IP headers.
"""

from __future__ import annotations

import random
import time
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.anti_entropy import AntiEntropy
from carawayquay.directory import Directory
from carawayquay.domain_view import DomainView
from carawayquay.errors import ObjectError
from carawayquay.freshness import Freshness
from carawayquay.heartbeats import FAILURE_TIMEOUT, HEARTBEAT_INTERVAL, Heartbeat, Load, PeerTable
from carawayquay.membership import Address, DomainList, EntryVM
from carawayquay.objects import DOCUMENTS, ObjectTable, StoredObject
from carawayquay_wire.codec import decode, encode, message_code
from carawayquay_wire.frames import Frame, Role, encode_frame

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ["HeartbeatCost", "Member", "main", "measure"]

SIZES = (3, 10, 50, 126, 300)
_DOMAIN = "domain-1"
_SERVICES = 20
_LOADS_PER_HEARTBEAT = 3
_WARM_UP = timedelta(seconds=4)
_MEASURED = timedelta(seconds=4)

#: TCP and IPv4 headers with timestamps of a frame, and of its acknowledgement.
_PACKET_BYTES = 52 + 52

#: Interval between two confirmations of a watch by the store.
_WATCH_INTERVAL = timedelta(milliseconds=1500)


@attrs.frozen
class HeartbeatCost:
    """The cost of heartbeats for one member, and the delays of detection and propagation.

    :param peers_called: number of peers to which a member sends heartbeats
    :param sent_per_second: bytes/s that a member sends
    :param cpu_percent: processor time of a member, in percent of a core
    :param max_silence: longest time for which any member had not seen another one, in seconds
    :param max_confirmation_age: highest age of the last confirmation by the store at any member, in
        seconds
    :param detection_seconds: time from a failure until every member has detected it, in seconds
    :param hops: number of hops until a change has propagated from the watchers to every member,
        or -1 if it does not reach all
    """

    members: int
    peers_called: int
    sent_per_second: float
    cpu_percent: float
    max_silence: float
    max_confirmation_age: float
    detection_seconds: float
    hops: int

    def __str__(self) -> str:
        return (
            f"{self.members:4} members: {self.peers_called:2} called each, "
            f"{self.sent_per_second / 1000:5.2f} KB/s sent each, "
            f"{self.cpu_percent:.2f}% of a core, "
            f"oldest sighting {self.max_silence:.2f} s, "
            f"oldest confirmation {self.max_confirmation_age:.2f} s, "
            f"failure detected after {self.detection_seconds:.2f} s, "
            f"change propagated after {self.hops} hops"
        )


class Member:
    """The heartbeats of one entry VM, without sockets."""

    def __init__(self, name: str, directory: Directory) -> None:
        self.name = name
        self.peers = PeerTable()
        self.view = DomainView(name, _DOMAIN, directory, self.peers, timedelta())
        self.objects = ObjectTable()
        self.objects.register(DOCUMENTS, _validate)
        self.repair = AntiEntropy(self.objects)
        self.sent_bytes = 0
        self.freshness = Freshness()
        self.freshness.track(DOCUMENTS)
        self._sequence = 0
        for index in range(_SERVICES):
            self.objects.offer(StoredObject(DOCUMENTS, f"service-{index}", index + 1, b"{}"))

    def heartbeat(self, receiver: str, now: timedelta) -> Heartbeat:
        """Return the heartbeat that the daemon would send to a receiver."""
        self._sequence += 1
        return Heartbeat(
            vm=self.name,
            domain=_DOMAIN,
            incarnation=1,
            sequence=self._sequence,
            list_version=1,
            loads=[Load(f"service-{index}", 3, 4) for index in range(_LOADS_PER_HEARTBEAT)],
            receiver=receiver,
            summary=self.objects.summary,
            newest=self.objects.newest,
            recent=self.objects.recent,
            confirmed_age_ms=self.freshness.age_ms(now),
            sightings=self.peers.sightings(self.view.members, now),
        )

    def send(self, receiver: str, now: timedelta) -> bytes:
        """Return the encoded heartbeat for a receiver, and count its bytes as sent."""
        heartbeat = self.heartbeat(receiver, now)
        payload = encode(heartbeat)
        frame = encode_frame(Frame(message_code(heartbeat), Role.CALL, 1, payload))
        self.sent_bytes += len(frame) + _PACKET_BYTES
        return payload

    def receive(self, payload: bytes, now: timedelta, *, is_reply: bool) -> None:
        """Process an encoded heartbeat.

        :param is_reply: whether it is a reply to an own heartbeat
        """
        heartbeat = decode(10, payload)
        if is_reply:
            self.freshness.confirm_from_peer(now, heartbeat.confirmed_age_ms)
        self.peers.record(heartbeat, now)
        self.peers.merge_sightings(self.view.members, heartbeat.sightings, now)
        self.repair.plan(heartbeat)


class Domain:
    """The members of one failure domain, which send heartbeats at random phases."""

    def __init__(self, members: int) -> None:
        generator = random.Random(members)
        directory = Directory()
        directory.adopt(_vm_list(members))
        names = directory.domain(_DOMAIN).names
        self.members = {name: Member(name, directory) for name in names}
        self.dead: set[str] = set()
        phases = {name: generator.random() * HEARTBEAT_INTERVAL for name in names}
        self._order = sorted(names, key=phases.__getitem__)
        self._phases = phases
        self._rounds = 0

    def run(self, duration: timedelta) -> Iterator[timedelta]:
        """Simulate a duration and yield the time after each member's heartbeats."""
        for _ in range(duration // HEARTBEAT_INTERVAL):
            for name in self._order:
                now = self._rounds * HEARTBEAT_INTERVAL + self._phases[name]
                if name not in self.dead:
                    self._tick(self.members[name], now)
                yield now
            self._rounds += 1

    def _tick(self, member: Member, now: timedelta) -> None:
        if member.view.watches(now):
            member.freshness.confirm(DOCUMENTS, now // _WATCH_INTERVAL * _WATCH_INTERVAL)
        for name in member.view.receivers(now, self._rounds):
            payload = member.send(name, now)
            if name not in self.dead:
                other = self.members[name]
                other.receive(payload, now, is_reply=False)
                member.receive(other.send(member.name, now), now, is_reply=True)


def measure(members: int) -> HeartbeatCost:
    """Measure the heartbeats of a failure domain.

    :param members: number of members
    """
    domain = Domain(members)
    for _ in domain.run(_WARM_UP):
        pass
    for member in domain.members.values():
        member.sent_bytes = 0
    started = time.process_time()
    for _ in domain.run(_MEASURED):
        pass
    seconds = _MEASURED.total_seconds()
    cpu_seconds = time.process_time() - started
    sent_bytes = sum(member.sent_bytes for member in domain.members.values())
    any_member = next(iter(domain.members.values()))
    return HeartbeatCost(
        members,
        len(any_member.view.receivers(_WARM_UP + _MEASURED, 0)),
        sent_bytes / members / seconds,
        100 * cpu_seconds / members / seconds,
        *_max_ages(domain),
        _detection_seconds(domain),
        _propagation_hops(domain),
    )


def _max_ages(domain: Domain) -> tuple[float, float]:
    """Return the highest ages of a sighting and of a confirmation over 3 s, in seconds."""
    max_silence = 0
    max_confirmation_age = timedelta()
    names = list(domain.members)
    for index, now in enumerate(domain.run(timedelta(seconds=3))):
        member = domain.members[names[index % len(names)]]
        seen = zip(names, member.peers.sightings(names, now), strict=True)
        max_silence = max(
            [max_silence, *(code & 0x3F for name, code in seen if name != member.name)]
        )
        max_confirmation_age = max(max_confirmation_age, member.freshness.age(now) or timedelta.max)
    return max_silence * 0.05, max_confirmation_age.total_seconds()


def _detection_seconds(domain: Domain) -> float:
    """Return the seconds from a failure until no member considers the failed one alive."""
    dead = next(iter(domain.members))
    domain.dead.add(dead)
    died_at = None
    last = timedelta()
    for now in domain.run(2 * FAILURE_TIMEOUT):
        died_at = now if died_at is None else died_at
        others = (member for name, member in domain.members.items() if name != dead)
        if any(member.peers.alive(dead, now) for member in others):
            last = now
    return (last - died_at).total_seconds()


def _propagation_hops(domain: Domain) -> int:
    """Return the number of hops until a change has reached all live members, or -1 if never."""
    now = max(domain._phases.values()) + domain._rounds * HEARTBEAT_INTERVAL
    first = next(name for name in domain.members if name not in domain.dead)
    reached = set(domain.members[first].view.watchers(now))
    frontier, hops = set(reached), 0
    while frontier:
        frontier = {
            name
            for member in frontier
            for name in domain.members[member].view.receivers(now, 0)
            if name not in reached and name not in domain.dead
        }
        reached |= frontier
        hops += bool(frontier)
    return hops if len(reached) == len(domain.members) - len(domain.dead) else -1


def _vm_list(members: int) -> DomainList:
    address = Address("10.0.0.1", 8080)
    vms = tuple(
        EntryVM(f"{_DOMAIN}-vm-{index}", _DOMAIN, "region-1", address, address)
        for index in range(members)
    )
    return DomainList(_DOMAIN, 1, vms)


def _validate(item: StoredObject) -> None:
    if not item.value:
        raise ObjectError("object is empty")


def main(sizes: Sequence[int] = SIZES) -> None:
    """Print the cost at each size."""
    for size in sizes:
        print(measure(size))


if __name__ == "__main__":
    main()
