"""Discrete-event simulation of target groups and links between regions, for the scenarios."""

from __future__ import annotations

import heapq
import itertools
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EventScheduler", "Layout", "ReportedLoad", "Simulation", "TargetGroup"]

_WARM_AFTER_REQUESTS = 60


@attrs.frozen
class Layout:
    """The sizes and delays of a site.

    :param slots: slots in one failure domain, by service
    :param work: seconds that a request takes at warm targets
    :param region_delay: one-way delay between regions in seconds
    :param client_delay: one-way delay between clients and entry VMs in seconds
    :param link_bits_per_second: capacity of the link between two regions, in each direction
    :param domain_delay: one-way delay between failure domains of a region in seconds
    """

    regions: tuple[str, ...]
    slots: dict[str, int]
    work: float
    region_delay: float
    client_delay: float
    link_bits_per_second: float
    domain_delay: float = 0.001

    @property
    def domains(self) -> tuple[str, ...]:
        """The failure domains, two in each region."""
        return tuple(f"{region}-{letter}" for region in self.regions for letter in "ab")

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        if source == target:
            return 0.0
        same_region = region_of(source) == region_of(target)
        return self.domain_delay if same_region else self.region_delay


def region_of(domain: str) -> str:
    """Return the region of a failure domain."""
    return domain.rpartition("-")[0]


class EventScheduler:
    """Scheduler of actions in the order of virtual time.

    Actions at the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.seconds = 0.0

    @property
    def now(self) -> timedelta:
        """The virtual time since the start."""
        return timedelta(seconds=self.seconds)

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time in seconds."""
        heapq.heappush(self._heap, (seconds, next(self._order), action))

    def every(self, interval: float, until: float, action: Callable[[], None]) -> None:
        """Schedule an action periodically from now on.

        :param interval: seconds between two runs
        :param until: virtual time of the last possible run, in seconds
        """

        def step() -> None:
            action()
            if self.seconds + interval <= until:
                self.at(self.seconds + interval, step)

        self.at(self.seconds, step)

    def run(self) -> None:
        """Run the scheduled actions until none is left."""
        while self._heap:
            self.seconds, _, action = heapq.heappop(self._heap)
            action()


@attrs.define
class TargetGroup:
    """The targets of one service in one failure domain.

    :param work: seconds that a request takes with warm caches
    :param cold_factor: duration of a request with cold caches, relative to warm ones
    :param shed: number of requests that were offered while no slot was free
    """

    domain: str
    slots: int
    work: float
    cold_factor: float = 1.0
    running: int = 0
    completed: int = 0
    shed: int = 0
    alive: bool = True

    @property
    def region(self) -> str:
        """The region of the failure domain."""
        return region_of(self.domain)

    @property
    def seconds(self) -> float:
        """The current duration of a request in seconds."""
        cold_fraction = max(0.0, 1 - self.completed / _WARM_AFTER_REQUESTS)
        return self.work * (1 + (self.cold_factor - 1) * cold_fraction)

    def start(self) -> bool:
        """Take a slot if one is free, and return whether one was."""
        if not self.alive:
            return False
        if self.running >= self.slots:
            self.shed += 1
            return False
        self.running += 1
        return True

    def finish(self) -> None:
        """Free a slot and count a completed request."""
        self.running -= 1
        self.completed += 1


@attrs.frozen
class ReportedLoad:
    """The last reported load of a target group, which may be stale.

    :param free: number of free slots
    """

    free: int
    alive: bool


@attrs.define
class Simulation:
    """The state of the simulated site, which policies read.

    :param groups: target groups by service and failure domain
    :param reports: reported loads by service and failure domain
    :param drained_regions: regions that the document drains
    :param reporting: whether load reports are updated
    """

    layout: Layout
    scheduler: EventScheduler = attrs.field(factory=EventScheduler)
    groups: dict[tuple[str, str], TargetGroup] = attrs.field(factory=dict)
    reports: dict[tuple[str, str], ReportedLoad] = attrs.field(factory=dict)
    drained_regions: set[str] = attrs.field(factory=set)
    reporting: bool = True
    _link_free_at: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for service, slots in self.layout.slots.items():
            for domain in self.layout.domains:
                self.groups[service, domain] = TargetGroup(domain, slots, self.layout.work)
        self.report()

    def report(self) -> None:
        """Update the reported loads of all target groups, unless reporting has stopped."""
        if self.reporting:
            for key, group in self.groups.items():
                self.reports[key] = ReportedLoad(group.slots - group.running, group.alive)

    def transfer(self, source: str, target: str, size: int) -> float:
        """Send bytes over the link between two regions and return the seconds until they are sent.

        These include the wait for earlier transfers on the link, but not its delay.
        """
        now = self.scheduler.seconds
        if source == target:
            return 0.0
        start = max(now, self._link_free_at.get((source, target), 0.0))
        end = start + size * 8 / self.layout.link_bits_per_second
        self._link_free_at[source, target] = end
        return end - now
