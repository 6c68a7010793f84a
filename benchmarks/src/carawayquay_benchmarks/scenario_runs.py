"""Scenario definitions, and runs of a scenario under one policy with their measurements."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from carawayquay.documents import Cap
from carawayquay_benchmarks.scenario_policies import Arrival, Policy, RunningRequest
from carawayquay_benchmarks.scenario_simulation import Layout, Simulation

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
_MAX_LATENCY = 60 * _MICROSECONDS

#: Minimum number of requests in a window; with fewer, the share is not significant.
_MIN_REQUESTS = 50

CASCADE = Layout(
    regions=("puget", "willamette", "inland"),
    slots={"granite-ledger": 14},
    work=0.2,
    region_delay=0.020,
    client_delay=0.001,
    link_bits_per_second=300e6,
)
KOHLENGLUT = Layout(
    regions=("wien", "graz", "linz"),
    slots={"lagerblick": 8, "sackbuch": 6, "saisonarchiv": 10},
    work=0.1,
    region_delay=0.012,
    client_delay=0.008,
    link_bits_per_second=4e9,
)


@attrs.frozen
class Event:
    """A change during a scenario, such as a drain or a failure.

    :param at: seconds from the start
    """

    at: float
    action: Callable[[Simulation], None]


@attrs.frozen
class Traffic:
    """The requests of one service from one home region.

    :param home: home region
    :param rate: returns the requests/s at a time in seconds from the start
    :param size: size of an answer in bytes
    """

    service: str
    home: str
    rate: Callable[[float], float]
    size: int = 2000


@attrs.frozen
class Scenario:
    """The traffic and events of a run, and the cap to which moved shares are compared.

    :param evacuated_regions: regions from which all traffic is expected to move
    :param first_event_at: seconds from the start to the first event; the move time counts from it
    :param expected_cap: highest expected increase of the moved share per window, 0 to 1
    :param cold_regions: regions whose targets start with cold caches
    :param cold_factor: duration of a request with cold caches, relative to warm ones
    :param measured: services whose latencies and refusals are measured, or all if empty
    """

    name: str
    layout: Layout
    seconds: float
    traffic: tuple[Traffic, ...]
    events: tuple[Event, ...]
    first_event_at: float
    expected_cap: float
    cap: Cap = attrs.field(factory=Cap)
    evacuated_regions: tuple[str, ...] = ()
    cold_regions: tuple[str, ...] = ()
    cold_factor: float = 1.0
    measured: frozenset[str] = frozenset()


@attrs.frozen
class Headroom:
    """The spare capacity of a region at a time.

    :param at: seconds from the start
    :param spare: free slots as a fraction of the slots of all live target groups, 0 to 1
    """

    at: float
    region: str
    spare: float


@attrs.define
class Result:
    """The measurements of one run.

    :param latencies: latencies of the requests that ran, in microseconds
    :param arrivals: number of requests by home region and second
    :param moved: number of requests sent to another region, by home region and second
    :param measured: number of requests of the measured services
    :param refused: number of those that were refused
    :param shed: number of requests offered to a target group without a free slot
    :param cap_excess: highest increase of the moved share per window above the expected cap
    :param move_seconds: seconds from the first event until the evacuated regions had moved, or None
    """

    scenario: str
    policy: str
    latencies: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, _MAX_LATENCY, 3))
    headroom: list[Headroom] = attrs.field(factory=list)
    arrivals: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    moved: Counter[tuple[str, int]] = attrs.field(factory=Counter)
    measured: int = 0
    refused: int = 0
    shed: int = 0
    cap_excess: float = 0.0
    move_seconds: float | None = None

    @property
    def refused_share(self) -> float:
        """The fraction of the measured requests that were refused, 0 to 1."""
        return self.refused / self.measured if self.measured else 0.0

    @property
    def min_headroom(self) -> Headroom:
        """The lowest spare capacity over all regions and times."""
        return min(self.headroom, key=lambda point: point.spare)

    def milliseconds(self, percentile: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000

    def share(self, home: str, end: int, window: int) -> tuple[float, int]:
        """Return the moved share and the number of requests in a window.

        :param end: end of the window in seconds from the start
        :param window: length of the window in seconds
        """
        seconds = range(end - window, end)
        arrivals = sum(self.arrivals[home, second] for second in seconds)
        moved = sum(self.moved[home, second] for second in seconds)
        return (moved / arrivals if arrivals else 0.0), arrivals


class _Run:
    """One run of a scenario under one policy."""

    def __init__(self, scenario: Scenario, make_policy: type[Policy]) -> None:
        self._scenario = scenario
        self._simulation = Simulation(scenario.layout)
        self._prepare_groups()
        self._policy = make_policy(self._simulation, scenario.cap, _WARM_UP)
        self._result = Result(scenario.name, make_policy.name)
        self._random = random.Random(7)

    def execute(self) -> Result:
        """Run the scenario to its end and return the measurements."""
        scheduler, end = self._simulation.scheduler, self._scenario.seconds
        scheduler.every(_TICK_SECONDS, end, self._policy.tick)
        scheduler.every(_REPORT_SECONDS, end, self._simulation.report)
        scheduler.every(_SAMPLE_SECONDS, end, self._sample)
        for event in self._scenario.events:
            scheduler.at(event.at, lambda event=event: event.action(self._simulation))
        for traffic in self._scenario.traffic:
            self._schedule_arrival(traffic)
        scheduler.run()
        self._compute_result()
        return self._result

    def _prepare_groups(self) -> None:
        for group in self._simulation.groups.values():
            group.cold_factor = self._scenario.cold_factor
            if group.region not in self._scenario.cold_regions:
                group.completed = 1000

    def _schedule_arrival(self, traffic: Traffic) -> None:
        """Schedule the next arrival after an exponentially distributed time at the current rate."""
        now = self._simulation.scheduler.seconds
        at = now + self._random.expovariate(max(traffic.rate(now), 1e-3))
        if at < self._scenario.seconds:
            self._simulation.scheduler.at(at, lambda: self._arrive(traffic))

    def _arrive(self, traffic: Traffic) -> None:
        self._schedule_arrival(traffic)
        second = int(self._simulation.scheduler.seconds)
        block = self._random.randrange(_CLIENT_BLOCKS)
        domain = f"{traffic.home}-{'ab'[block % 2]}"
        client = f"10.{block // 256}.{block % 256}.1"
        arrival = Arrival(traffic.service, domain, client, traffic.size)
        measured = not self._scenario.measured or traffic.service in self._scenario.measured
        self._result.arrivals[traffic.home, second] += 1
        self._result.measured += measured
        self._send(arrival, measured=measured)

    def _send(self, arrival: Arrival, *, measured: bool) -> None:
        """Send a request, and retry it after a wait if it was refused and may wait."""
        scheduler = self._simulation.scheduler
        running_request = self._policy.send(arrival)
        if running_request is not None:
            away = running_request.group.region != arrival.home
            self._result.moved[arrival.home, int(scheduler.seconds)] += away
            self._run_request(running_request, measured=measured)
        elif self._policy.may_wait(arrival):
            retry = attrs.evolve(arrival, waited=arrival.waited + _WAIT_SECONDS)
            scheduler.at(
                scheduler.seconds + _WAIT_SECONDS, lambda: self._send(retry, measured=measured)
            )
        else:
            self._result.refused += measured

    def _run_request(self, running_request: RunningRequest, *, measured: bool) -> None:
        scheduler, layout = self._simulation.scheduler, self._scenario.layout
        started = scheduler.seconds
        send_delay = (
            running_request.waited
            - running_request.arrival.waited
            + layout.delay(running_request.arrival.domain, running_request.group.domain)
        )
        work = running_request.group.seconds

        def finish() -> None:
            self._policy.finish(running_request)
            source, target = running_request.group.region, running_request.arrival.home
            return_delay = self._simulation.transfer(source, target, running_request.arrival.size)
            return_delay += layout.delay(
                running_request.group.domain, running_request.arrival.domain
            )
            total = (
                running_request.arrival.waited
                + scheduler.seconds
                - started
                + return_delay
                + 2 * layout.client_delay
            )
            if measured:
                self._result.latencies.record_value(min(_MAX_LATENCY, int(total * _MICROSECONDS)))

        scheduler.at(started + send_delay + work, finish)

    def _sample(self) -> None:
        for region in self._scenario.layout.regions:
            groups = [p for p in self._simulation.groups.values() if p.region == region and p.alive]
            slots = sum(group.slots for group in groups)
            if slots:
                spare = 1 - sum(group.running for group in groups) / slots
                self._result.headroom.append(
                    Headroom(self._simulation.scheduler.seconds, region, spare)
                )

    def _compute_result(self) -> None:
        result = self._result
        result.shed = sum(group.shed for group in self._simulation.groups.values())
        window = int(self._scenario.cap.window.total_seconds())
        end = int(self._scenario.seconds)
        result.cap_excess = max(
            self._share_increase(home, at, window) - self._scenario.expected_cap
            for home in self._scenario.layout.regions
            for at in range(2 * window, end)
        )
        result.move_seconds = self._move_seconds(end)

    def _share_increase(self, home: str, at: int, window: int) -> float:
        share, arrivals = self._result.share(home, at, window)
        before, arrivals_before = self._result.share(home, at - window, window)
        return share - before if min(arrivals, arrivals_before) >= _MIN_REQUESTS else 0.0

    def _move_seconds(self, end: int) -> float | None:
        """Return the seconds from the first event until the evacuated regions have moved.

        None if no region is evacuated, or one has not moved at the end.
        """
        if not self._scenario.evacuated_regions:
            return None
        moved_at = [
            next(
                (
                    at
                    for at in range(int(self._scenario.first_event_at), end)
                    if self._has_moved(home, at)
                ),
                0,
            )
            for home in self._scenario.evacuated_regions
        ]
        return max(moved_at) - self._scenario.first_event_at if all(moved_at) else None

    def _has_moved(self, home: str, at: int) -> bool:
        share, arrivals = self._result.share(home, at, 3)
        return arrivals > 0 and share >= 0.99


def run(scenario: Scenario, make_policy: type[Policy]) -> Result:
    """Run a scenario under a policy and return the measurements."""
    return _Run(scenario, make_policy).execute()
