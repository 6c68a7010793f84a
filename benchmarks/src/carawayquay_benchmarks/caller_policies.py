"""Policies of entry VMs in the caller simulation: the gateway's own, variants and baselines."""

from __future__ import annotations

import math
import random
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from carawayquay.forwarding import CallerRequest, TargetAnswer
from carawayquay.load_reports import LoadReport, ServiceRate, TargetCount, VMIdentity, short_hash
from carawayquay.placement import Placement
from carawayquay.rendezvous import ranked
from carawayquay.retry_times import retry_after
from carawayquay.store_revision import StoreRevision
from carawayquay.warm_gossip import WarmGossip
from carawayquay_benchmarks.caller_simulation import SchedulerClock
from carawayquay_benchmarks.scenario_simulation import region_of
from carawayquay_gateway.exchanges import Exchange
from carawayquay_gateway.observations import Observations
from carawayquay_gateway.round_trips import RoundTrips
from carawayquay_gateway.selection import Selection
from carawayquay_gateway.settings import parse_gateway_settings
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.target_calls import Answered
from carawayquay_platform.object_changes import ObjectListing
from carawayquay_platform.objects import ObjectKind, parse_object
from carawayquay_wire.metrics import Metrics

if TYPE_CHECKING:
    from carawayquay_benchmarks.caller_simulation import Call, CallerSimulation, Target

__all__ = [
    "CALLER_POLICIES",
    "AffinityOnly",
    "LeastLoaded",
    "NearestOnly",
    "Policy",
    "RandomTarget",
    "ReturnLate",
    "SecondWhileFull",
    "Steered",
]

_SERVICE = "granite"

#: Intervals between two load reports of a VM, and between two updates of its shares.
_REPORT_SECONDS = 0.4
_UPDATE_SECONDS = 0.2

#: Seconds after which the baselines let a refused caller retry.
_BASELINE_RETRY_AFTER = 0.1


class Policy(Protocol):
    """The decisions of one entry VM."""

    def start(self, seconds: float) -> None:
        """Schedule the periodic tasks until a virtual time in seconds."""

    def count(self, call: Call) -> None:
        """Count a caller's request."""

    def choose(self, call: Call, elapsed: float, remaining: float) -> str | None:
        """Return the name of the target for a request, or None to refuse it.

        :param elapsed: seconds since the current attempt began
        :param remaining: seconds until the attempt's timeout or the caller's deadline
        """

    def retry_after(self, call: Call, remaining: float) -> float:
        """Return the seconds after which a refused caller should retry.

        :param remaining: seconds that are left for the call
        """

    def answered(self, call: Call, target: Target, seconds: float, completed: bool) -> None:
        """Record an answer of a target, or a timeout.

        :param seconds: time since the request was sent
        :param completed: whether the target answered
        """

    def shed(self, call: Call, target: Target) -> None:
        """Record that a target shed a request."""


class _Baseline:
    """Base of the baselines, which never refuse and know only their own in-flight requests."""

    def __init__(self, simulation: CallerSimulation, domain: str, number: int) -> None:
        self._simulation = simulation
        self._domain = domain
        self._random = random.Random(f"{domain}/{number}")
        self._running = dict.fromkeys(simulation.targets, 0)

    def start(self, seconds: float) -> None:
        """Schedule nothing."""

    def count(self, call: Call) -> None:
        """Count nothing."""

    def choose(self, call: Call, elapsed: float, remaining: float) -> str | None:
        """Return the name of the target for a request."""
        names = [name for name in self._simulation.targets if name not in call.rejected_by]
        chosen = self._choose_among(call, names)
        self._running[chosen] += 1
        return chosen

    def retry_after(self, call: Call, remaining: float) -> float:
        """Return the seconds after which a refused caller should retry."""
        return _BASELINE_RETRY_AFTER

    def answered(self, call: Call, target: Target, seconds: float, completed: bool) -> None:
        """Record that a request has ended at its target."""
        self._running[target.name] -= 1

    def shed(self, call: Call, target: Target) -> None:
        """Record that a target shed a request."""
        self._running[target.name] -= 1

    def _choose_among(self, call: Call, names: list[str]) -> str:
        raise NotImplementedError


class RandomTarget(_Baseline):
    """Chooses a random target."""

    def _choose_among(self, call: Call, names: list[str]) -> str:
        return self._random.choice(names)


class LeastLoaded(_Baseline):
    """Chooses the target with the fewest in-flight requests of this VM."""

    def _choose_among(self, call: Call, names: list[str]) -> str:
        return min(names, key=lambda name: (self._running[name], self._random.random()))


class AffinityOnly(_Baseline):
    """Chooses the target of all regions that rendezvous hashing ranks first for the object."""

    def _choose_among(self, call: Call, names: list[str]) -> str:
        return ranked(call.key, names)[0]


class NearestOnly(_Baseline):
    """Chooses the target of its region with the fewest in-flight requests of this VM.

    If the region has no target left, it chooses among all targets.
    """

    def _choose_among(self, call: Call, names: list[str]) -> str:
        region = region_of(self._domain)
        same_region = [
            name for name in names if region_of(self._simulation.targets[name].domain) == region
        ]
        return min(
            same_region or names, key=lambda name: (self._running[name], self._random.random())
        )


class Steered:
    """Decides with the code of the gateway."""

    def __init__(self, simulation: CallerSimulation, domain: str, number: int) -> None:
        self._simulation = simulation
        self._random = random.Random(f"{domain}/{number}")
        name = f"{domain}-{number}"
        settings = parse_gateway_settings(_settings_text(simulation, name, domain))
        self._identity = VMIdentity(name, f"10.0.0.{number}", domain, region_of(domain), 1)
        clock = SchedulerClock(simulation.scheduler)
        self.state = GatewayState(settings, clock, Metrics(), self._identity)
        self._round_trips = RoundTrips(domain, settings.regions)
        self._selection = self._new_selection()
        self._warm = WarmGossip()
        self._observations = Observations(self.state, self._warm)
        self._sequence = 0
        self._in_flight: dict[Call, tuple[Exchange, Placement]] = {}
        self._refused_wait: float | None = None
        _list_objects(self.state, simulation)
        self._route = self.state.configuration.routes[0]

    def _new_selection(self) -> Selection:
        return Selection(self.state, self._round_trips, self._random)

    def start(self, seconds: float) -> None:
        """Schedule load reports to the other VMs and updates of the shares."""
        scheduler = self._simulation.scheduler
        scheduler.every(_UPDATE_SECONDS, seconds, lambda: self.state.update(scheduler.now))
        scheduler.every(_REPORT_SECONDS, seconds, self._report)

    def count(self, call: Call) -> None:
        """Count a caller's request."""
        self.state.service(_SERVICE).count_request(self._simulation.scheduler.now)
        self._selection.count_request()

    def choose(self, call: Call, elapsed: float, remaining: float) -> str | None:
        """Return the name of the target for a request, or None to refuse it."""
        choice = self._selection.select(
            self._route, _SERVICE, call.key, elapsed, remaining, frozenset(call.rejected_by)
        )
        if not isinstance(choice, Placement):
            self._refused_wait = choice.wait
            return None
        now = self._simulation.scheduler.now
        self._in_flight[call] = (
            Exchange(
                call=_request(call),
                route=self._route,
                service=_SERVICE,
                version=self.state.configuration_version,
                started=now,
                deadline=now + timedelta(seconds=remaining),
                fingerprint=0,
            ),
            choice,
        )
        self.state.stats(choice.target.name).running += 1
        return choice.target.name

    def retry_after(self, call: Call, remaining: float) -> float:
        """Return the seconds after which a refused caller should retry."""
        return retry_after(self._refused_wait, remaining, self._random)

    def answered(self, call: Call, target: Target, seconds: float, completed: bool) -> None:
        """Record an answer or a timeout in the statistics of the target."""
        exchange, placement = self._in_flight.pop(call)
        now = self._simulation.scheduler.now
        stats = self.state.stats(target.name)
        stats.running -= 1
        stats.report_load(target.load, now)
        if completed:
            answer = TargetAnswer(200, (), b"", False, False, None, None)
            self._observations.record(exchange, placement, Answered(answer, seconds))
        else:
            stats.failed(now)

    def shed(self, call: Call, target: Target) -> None:
        """Record that a target shed a request."""
        self._in_flight.pop(call)
        now = self._simulation.scheduler.now
        stats = self.state.stats(target.name)
        stats.running -= 1
        stats.report_load(target.load, now)
        stats.shed(now)

    def _report(self) -> None:
        """Send the other VMs the in-flight requests, request rate and newly warm objects."""
        now = self._simulation.scheduler.now
        self._sequence += 1
        rate = self.state.service(_SERVICE).rate(now)
        report = LoadReport(
            self._identity,
            self._sequence,
            False,
            (),
            targets=tuple(
                TargetCount(short_hash(name), count) for name, count in self.state.own_in_flight()
            ),
            rates=(ServiceRate(short_hash(_SERVICE), rate),),
            warmed=self._warm.current(now),
        )
        for policies in self._simulation.vms.values():
            for other in policies:
                if other is not self and isinstance(other, Steered):
                    other.state.peers.receive(report, now)
                    other.state.merge_warm_objects(report.warmed)


class ReturnLate(Steered):
    """Decides like the gateway, but callers retry after 1/6 to 1/3 of the remaining time."""

    def retry_after(self, call: Call, remaining: float) -> float:
        """Return the seconds after which a refused caller should retry."""
        return remaining * (1.0 - self._random.random() / 2) / 3


class SecondWhileFull(Steered):
    """Decides like the gateway, but second-ranked targets take cold objects at any utilization."""

    def _new_selection(self) -> Selection:
        return Selection(self.state, self._round_trips, self._random, cold_utilization=math.inf)


CALLER_POLICIES = (
    Steered,
    ReturnLate,
    SecondWhileFull,
    AffinityOnly,
    NearestOnly,
    LeastLoaded,
    RandomTarget,
)


def _request(call: Call) -> CallerRequest:
    return CallerRequest("", "", "GET", "/", call.key, None, (), b"")


def _settings_text(simulation: CallerSimulation, name: str, domain: str) -> str:
    regions = "\n".join(f"{domain} = {region_of(domain)}" for domain in simulation.site.rates)
    return (
        f"[vm]\nname = {name}\ndomain = {domain}\nregion = {region_of(domain)}\n"
        "[listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\nlookups = 10.0.0.1:3\n"
        "admin = 10.0.0.1:4\nports = 5,6\n[store]\naddress = 10.0.0.1:7\n"
        "[bounds]\nlookup_life = 5s\nstop = 6s\n"
        f"[regions]\n{regions}\n"
    )


def _list_objects(state: GatewayState, simulation: CallerSimulation) -> None:
    """Apply listings with the configuration and the targets of a site to the replicas of a VM."""
    site = simulation.site
    route = {
        "name": "reports",
        "path_prefix": "/",
        "kind": "idempotent",
        "timeout": f"{int(site.timeout * 1000)}ms",
        "target_latency": f"{int(site.target_latency * 1000)}ms",
        "service": _SERVICE,
        "max_attempts": 2,
        "sticky": True,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    configuration = {
        "version": "r1",
        "services": [{"name": _SERVICE, "max_conns": 700}],
        "limits": limits,
        "virtual_hosts": [{"host": "stones.example", "paths": [route]}],
    }
    targets = [
        (
            target.name,
            {
                "service": _SERVICE,
                "address": "10.0.1.1:80",
                "zone": target.domain,
                "max_concurrency": site.slots,
                "state": "ready",
            },
        )
        for target in simulation.targets.values()
    ]
    for kind, objects in (
        (ObjectKind.CONFIGURATION, [("main", configuration)]),
        (ObjectKind.TARGETS, targets),
    ):
        stored = tuple(
            parse_object({"metadata": {"name": name, "revision": 10}, "spec": spec})
            for name, spec in objects
        )
        state.replicas[kind].apply_listing(ObjectListing(StoreRevision(0, 10), stored))
