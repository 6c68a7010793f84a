"""The scenarios, and the measurements of one run of each under one policy."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from carawayquay.documents import Cap
from carawayquay_benchmarks.scenario_policies import Arrival, Policy, Ride
from carawayquay_benchmarks.scenario_world import Layout, World

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CASCADE", "KOHLENGLUT", "Event", "Headroom", "Result", "Scenario", "Traffic", "run"]

_WARM_UP = timedelta(seconds=20)
_TICK_SECONDS = 0.25
_REPORT_SECONDS = 2.0
_SAMPLE_SECONDS = 0.5
_WAIT_SECONDS = 0.05
_CLIENT_BLOCKS = 400
_MICROSECONDS = 1_000_000
_LONGEST = 60 * _MICROSECONDS

#: So few requests in a window say nothing of a share.
_LEAST_SEEN = 50

CASCADE = Layout(
    regions=("puget", "willamette", "inland"),
    slots={"granite-ledger": 14},
    work=0.2,
    between_regions=0.020,
    to_clients=0.001,
    link_bits=300e6,
)
KOHLENGLUT = Layout(
    regions=("wien", "graz", "linz"),
    slots={"lagerblick": 8, "sackbuch": 6, "saisonarchiv": 10},
    work=0.1,
    between_regions=0.012,
    to_clients=0.008,
    link_bits=4e9,
)


@attrs.frozen
class Event:
    """Something that happens in a scenario.

    :param at: seconds from the start
    """

    at: float
    action: Callable[[World], None]


@attrs.frozen
class Traffic:
    """The requests of one service from one home region.

    :param rate: requests per second at an instant given in seconds
    :param size: bytes of an answer
    """

    service: str
    home: str
    rate: Callable[[float], float]
    size: int = 2000


@attrs.frozen
class Scenario:
    """A load, the events that befall it, and the cap against which moves are judged.

    :param moved_from: the regions whose traffic is to be gone in the end
    :param event_at: seconds from the start to the first event, from which move time counts
    :param judged: the services that the latencies and refusals are measured of, all if empty
    """

    name: str
    layout: Layout
    seconds: float
    traffic: tuple[Traffic, ...]
    events: tuple[Event, ...]
    event_at: float
    judged_cap: float
    cap: Cap = attrs.field(factory=Cap)
    moved_from: tuple[str, ...] = ()
    cold_regions: tuple[str, ...] = ()
    cold_factor: float = 1.0
    judged: frozenset[str] = frozenset()


@attrs.frozen
class Headroom:
    """The spare capacity of a region at an instant.

    :param spare: fraction of the slots of all live targets that is free, 0 to 1
    """

    at: float
    region: str
    spare: float


@attrs.define
class Result:
    """What one run measured.

    :param latencies: in microseconds, of requests that ran
    :param seen: requests by home region and second
    :param moved: requests sent to another region by home region and second
    :param shed: requests offered to a place whose slots were all taken
    """

    scenario: str
    policy: str
    latencies: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _LONGEST, 3))
    headroom: list[Headroom] = attrs.field(factory=list)
    seen: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    moved: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    judged: int = 0
    refused: int = 0
    shed: int = 0
    cap_excess: float = 0.0
    move_seconds: float | None = None

    @property
    def refused_share(self) -> float:
        """The share of requests that was refused, 0 to 1."""
        return self.refused / self.judged if self.judged else 0.0

    @property
    def least_headroom(self) -> Headroom:
        """The least spare capacity by region and time."""
        return min(self.headroom, key=lambda point: point.spare)

    def milliseconds(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000

    def share(self, home: str, end: int, window: int) -> tuple[float, int]:
        """Return the share moved in the window of seconds that ends, and the requests in it."""
        seconds = range(end - window, end)
        seen = sum(self.seen[home, second] for second in seconds)
        moved = sum(self.moved[home, second] for second in seconds)
        return (moved / seen if seen else 0.0), seen


class _Run:
    """One run of a scenario under one policy."""

    def __init__(self, scenario: Scenario, make_policy: type[Policy]) -> None:
        self._scenario = scenario
        self._world = World(scenario.layout)
        self._prepare_places()
        self._policy = make_policy(self._world, scenario.cap, _WARM_UP)
        self._result = Result(scenario.name, make_policy.name)
        self._random = random.Random(7)

    def go(self) -> Result:
        """Run to the end and return what was measured."""
        agenda, end = self._world.agenda, self._scenario.seconds
        agenda.every(_TICK_SECONDS, end, self._policy.tick)
        agenda.every(_REPORT_SECONDS, end, self._world.report)
        agenda.every(_SAMPLE_SECONDS, end, self._sample)
        for event in self._scenario.events:
            agenda.at(event.at, lambda event=event: event.action(self._world))
        for traffic in self._scenario.traffic:
            self._plan(traffic)
        agenda.run()
        self._conclude()
        return self._result

    def _prepare_places(self) -> None:
        for place in self._world.places.values():
            place.cold_factor = self._scenario.cold_factor
            if place.region not in self._scenario.cold_regions:
                place.completed = 1000

    def _plan(self, traffic: Traffic) -> None:
        """Plan the next arrival of a load, by an exponential wait at its present rate."""
        now = self._world.agenda.seconds
        at = now + self._random.expovariate(max(traffic.rate(now), 1e-3))
        if at < self._scenario.seconds:
            self._world.agenda.at(at, lambda: self._arrive(traffic))

    def _arrive(self, traffic: Traffic) -> None:
        self._plan(traffic)
        second = int(self._world.agenda.seconds)
        block = self._random.randrange(_CLIENT_BLOCKS)
        domain = f"{traffic.home}-{'ab'[block % 2]}"
        client = f"10.{block // 256}.{block % 256}.1"
        arrival = Arrival(traffic.service, domain, client, traffic.size)
        judged = not self._scenario.judged or traffic.service in self._scenario.judged
        self._result.seen[traffic.home, second] += 1
        self._result.judged += judged
        self._send(arrival, judged=judged)

    def _send(self, arrival: Arrival, *, judged: bool) -> None:
        """Send a request, and again after a while if it found no place and may wait."""
        agenda = self._world.agenda
        ride = self._policy.send(arrival)
        if ride is not None:
            away = ride.place.region != arrival.home
            self._result.moved[arrival.home, int(agenda.seconds)] += away
            self._ride(ride, judged=judged)
        elif self._policy.may_wait(arrival):
            again = attrs.evolve(arrival, waited=arrival.waited + _WAIT_SECONDS)
            agenda.at(agenda.seconds + _WAIT_SECONDS, lambda: self._send(again, judged=judged))
        else:
            self._result.refused += judged

    def _ride(self, ride: Ride, *, judged: bool) -> None:
        agenda, layout = self._world.agenda, self._scenario.layout
        started = agenda.seconds
        there = (
            ride.waited - ride.arrival.waited + layout.delay(ride.arrival.domain, ride.place.domain)
        )
        work = ride.place.seconds

        def finish() -> None:
            self._policy.finish(ride)
            source, target = ride.place.region, ride.arrival.home
            back = self._world.transfer(source, target, ride.arrival.size)
            back += layout.delay(ride.place.domain, ride.arrival.domain)
            total = ride.arrival.waited + agenda.seconds - started + back + 2 * layout.to_clients
            if judged:
                self._result.latencies.record_value(min(_LONGEST, int(total * _MICROSECONDS)))

        agenda.at(started + there + work, finish)

    def _sample(self) -> None:
        for region in self._scenario.layout.regions:
            places = [p for p in self._world.places.values() if p.region == region and p.alive]
            slots = sum(place.slots for place in places)
            if slots:
                spare = 1 - sum(place.running for place in places) / slots
                self._result.headroom.append(Headroom(self._world.agenda.seconds, region, spare))

    def _conclude(self) -> None:
        result = self._result
        result.shed = sum(place.shed for place in self._world.places.values())
        window = int(self._scenario.cap.window.total_seconds())
        end = int(self._scenario.seconds)
        result.cap_excess = max(
            self._rise(home, at, window) - self._scenario.judged_cap
            for home in self._scenario.layout.regions
            for at in range(2 * window, end)
        )
        result.move_seconds = self._move_seconds(end)

    def _rise(self, home: str, at: int, window: int) -> float:
        share, seen = self._result.share(home, at, window)
        before, seen_before = self._result.share(home, at - window, window)
        return share - before if min(seen, seen_before) >= _LEAST_SEEN else 0.0

    def _move_seconds(self, end: int) -> float | None:
        """Return the time from the first event until all judged regions' traffic has moved."""
        if not self._scenario.moved_from:
            return None
        done = [
            next((at for at in range(int(self._scenario.event_at), end) if self._gone(home, at)), 0)
            for home in self._scenario.moved_from
        ]
        return max(done) - self._scenario.event_at if all(done) else None

    def _gone(self, home: str, at: int) -> bool:
        share, seen = self._result.share(home, at, 3)
        return seen > 0 and share >= 0.99


def run(scenario: Scenario, make_policy: type[Policy]) -> Result:
    """Run a scenario under a policy and return what was measured."""
    return _Run(scenario, make_policy).go()
