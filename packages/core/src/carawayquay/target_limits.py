"""Keeps the limits of requests that targets name for all entry VMs together.

Each VM sends a share of the requests for which it would choose a limited target. All VMs compute
the share alike: the limit divided by the demand of the whole fleet, which they tell each other.
While the demand of other VMs is not known, each VM keeps to an equal part of the limit.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.decaying_rate import DecayingRate
from carawayquay.fleet_demand import FleetDemand
from carawayquay.load_reports import TargetLimitReport, incarnation_hash
from carawayquay.named_limit import MAX_REPORTED_AGE, NamedLimit
from carawayquay.priority_mix import PriorityFractions

if TYPE_CHECKING:
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.named_limit import LimitChange

__all__ = [
    "FleetView",
    "LimitReached",
    "ServiceLoad",
    "TargetLimit",
    "TargetLimits",
]

#: Fraction of a limit that is used, as reported demand is older than the demand itself.
_SAFETY_FACTOR = 0.9

#: Rate in requests/s of all VMs at which a target with a lower limit is asked whether it still has
#: one; only an answer can tell.
_PROBE_RATE = 0.2

#: Lower bound in requests/s of the admission rate from which a waiting time is derived.
_MIN_ADMISSION_RATE = 0.01

#: Time constant of the demand for a target.
_DEMAND_TIME = timedelta(seconds=2)

#: Demand in requests/s below which a target is not reported.
_NEGLIGIBLE_DEMAND = 0.01

#: Minimum time after a limit was first heard in which other VMs may not have reported their demand.
_LEARNING_TIME = timedelta(seconds=3)

#: Report intervals in which the demand of every VM has reached all others.
_LEARNING_INTERVALS = 2

#: Time for which the end of a limit is remembered, longer than old reports of it are taken.
_ENDED_LIFETIME = MAX_REPORTED_AGE + timedelta(seconds=4)

#: Time after which a limit is forgotten whose target has no demand any more.
_UNUSED_LIFETIME = timedelta(seconds=120)

#: Maximum number of targets in one report, and in one summary of a domain.
_MAX_REPORTED_TARGETS = 64
_MAX_SUMMARY_TARGETS = 128


@attrs.frozen
class TargetLimit:
    """The limit of a target that is in force.

    :param rate: requests/s that the target takes from all VMs together
    :param age: seconds since the target's last answer that this or another VM reported
    :param share: fraction of this VM's requests of one priority for the target that are sent
    """

    rate: float
    age: float
    share: float


@attrs.frozen
class LimitReached:
    """A limit that kept a request from a target.

    :param target: name of the target
    """

    target: str
    limit: TargetLimit

    @property
    def wait(self) -> float:
        """Seconds in which the limit admits one of the requests that compete for it."""
        return 1.0 / max(self.limit.rate * self.limit.share, _MIN_ADMISSION_RATE)


@attrs.frozen
class FleetView:
    """What a VM knows about the other VMs.

    :param vms: number of VMs that share global budgets, including this one
    :param report_interval: longest time between two reports or summaries to this VM
    """

    vms: int = 1
    report_interval: timedelta = timedelta()


@attrs.frozen
class ServiceLoad:
    """The load of a target's service, from which unknown demand is estimated.

    :param mean_demand: requests/s of all VMs for the service, divided by the number of its targets
    :param growth: latest rate of this VM's requests relative to that of the last seconds, from 1
    :param fractions: place of the request's priority among the requests for the service
    """

    mean_demand: float = 0.0
    growth: float = 1.0
    fractions: PriorityFractions = attrs.field(factory=PriorityFractions)


@attrs.define
class _Target:
    """The demand of this VM for one incarnation of a target, and the limit that it named.

    :param credit: sum of the shares of the requests that were not sent; one is sent at 1
    """

    credit: float
    demand: DecayingRate = attrs.field(factory=lambda: DecayingRate(_DEMAND_TIME))
    limit: NamedLimit = attrs.field(factory=NamedLimit)


class _Rotation:
    """Takes a bounded number of items from a list, in turn from call to call.

    :param most: maximum number of items to take
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._offset = 0

    def take(self, items: list[TargetLimitReport]) -> tuple[TargetLimitReport, ...]:
        """Return as many items as fit; those left out come first in the next call."""
        if len(items) <= self._most:
            return tuple(items)
        start = self._offset % len(items)
        self._offset = start + self._most
        return tuple((items + items)[start : start + self._most])


class TargetLimits:
    """The limits that targets named, and this VM's share of each of them.

    A limit belongs to one incarnation of a target: a target that starts again under its name has
    named none.

    :param random: spreads the first request of all VMs, so that they do not send at the same time
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._targets: dict[int, _Target] = {}
        self._domain_demand = FleetDemand()
        self._remote_demand = FleetDemand()
        self._fleet = FleetView()
        self._unheard_vms = 0
        self._learning_time = _LEARNING_TIME
        self._reported = _Rotation(_MAX_REPORTED_TARGETS)
        self._summarized = _Rotation(_MAX_SUMMARY_TARGETS)

    @property
    def domain_demand(self) -> FleetDemand:
        """The demand that the other VMs of the own failure domain report."""
        return self._domain_demand

    @property
    def remote_demand(self) -> FleetDemand:
        """The demand that other failure domains report."""
        return self._remote_demand

    @property
    def limited(self) -> int:
        """The number of targets whose limit is in force."""
        return sum(known.limit.rate is not None for known in self._targets.values())

    def record(
        self, target: RegisteredTarget, rate: float | None, sent_at: timedelta, now: timedelta
    ) -> LimitChange | None:
        """Record the limit that a target's answer names.

        :param rate: requests/s of all VMs together, or None if the answer names no limit
        :param sent_at: when the request was sent
        """
        return self._known(incarnation_hash(target)).limit.hear_answer(rate, sent_at, now)

    def merge(self, report: TargetLimitReport, now: timedelta) -> LimitChange | None:
        """Take what another VM heard from a target, if it is newer than what is known here."""
        return self._known(report.target).limit.hear_report(report.rate, report.age, now)

    def count_request(self, target: RegisteredTarget, now: timedelta) -> None:
        """Count a request that is sent to a target without a limit."""
        self._known(incarnation_hash(target)).demand.count(now)

    def admit(
        self, target: RegisteredTarget, load: ServiceLoad, now: timedelta
    ) -> LimitReached | None:
        """Count a request for a target; return the target's limit if it must not be sent there."""
        key = incarnation_hash(target)
        known = self._known(key)
        limit = None if known.limit.rate is None else self._limit(key, known, load, now)
        known.demand.count(now)
        if limit is None:
            return None
        known.credit += limit.share
        if known.credit < 1.0:
            return LimitReached(target.name, limit)
        known.credit -= 1.0
        return None

    def limit(
        self, target: RegisteredTarget, load: ServiceLoad, now: timedelta
    ) -> TargetLimit | None:
        """Return the limit of a target that is in force, or None."""
        key = incarnation_hash(target)
        known = self._targets.get(key)
        if known is None or known.limit.rate is None:
            return None
        return self._limit(key, known, load, now)

    def usable_rate(self, target: RegisteredTarget) -> float | None:
        """Return the requests/s that all VMs may send to a target, None without a limit."""
        known = self._targets.get(incarnation_hash(target))
        if known is None or known.limit.rate is None:
            return None
        return _admitted_rate(known.limit.rate)

    def reports(self, now: timedelta) -> tuple[TargetLimitReport, ...]:
        """Return the limited targets for which this VM has demand, for a load report."""
        reports = [
            _report(key, known.limit, known.demand.at(now), now)
            for key, known in self._reportable(now)
        ]
        return self._reported.take([it for it in reports if it.demand > _NEGLIGIBLE_DEMAND])

    def domain_reports(self, now: timedelta) -> tuple[TargetLimitReport, ...]:
        """Return all limited targets, with the demand of the failure domain, for its summary."""
        reports = [
            _report(key, known.limit, self._demand_of_domain(key, known, now), now)
            for key, known in self._reportable(now)
        ]
        return self._summarized.take(reports)

    def update(self, fleet: FleetView, now: timedelta) -> None:
        """Apply the present view of the fleet."""
        self._fleet = fleet
        reporting = self._domain_demand.reporting_vms(now) + self._remote_demand.reporting_vms(now)
        self._unheard_vms = max(0, fleet.vms - 1 - reporting)
        rounds = 1 + self.limited // _MAX_SUMMARY_TARGETS
        self._learning_time = rounds * max(
            _LEARNING_TIME, _LEARNING_INTERVALS * fleet.report_interval
        )

    def expire(self, now: timedelta) -> None:
        """Drop silent sources of demand, and targets without demand whose limit has expired."""
        self._domain_demand.expire(now)
        self._remote_demand.expire(now)
        for key in [key for key, known in self._targets.items() if _expired(known, now)]:
            del self._targets[key]

    def _known(self, key: int) -> _Target:
        """Return what is known of a target, with nothing known on first use."""
        known = self._targets.get(key)
        if known is None:
            known = self._targets[key] = _Target(self._random.random())
        return known

    def _limit(self, key: int, known: _Target, load: ServiceLoad, now: timedelta) -> TargetLimit:
        demand = load.growth * self._total_demand(key, known, load.mean_demand, now)
        rate = known.limit.rate
        share = min(1.0, _admitted_rate(rate) / max(demand, _NEGLIGIBLE_DEMAND))
        return TargetLimit(rate, known.limit.age(now), load.fractions.share(share))

    def _total_demand(self, key: int, known: _Target, mean_demand: float, now: timedelta) -> float:
        """Return the demand of all VMs for a target, in requests/s.

        The demand of a VM that does not report it counts as large as the own, or as the mean.
        """
        own = known.demand.at(now)
        others = self._domain_demand.rate(key, now) + self._remote_demand.rate(key, now)
        assumed = max(own, mean_demand / self._fleet.vms)
        total = own + others + assumed * self._unheard_vms
        if now - known.limit.since < self._learning_time:
            return max(total, assumed * self._fleet.vms)
        return total

    def _demand_of_domain(self, key: int, known: _Target, now: timedelta) -> float:
        """Return the demand of this VM and of the others of its domain, in requests/s."""
        return known.demand.at(now) + self._domain_demand.rate(key, now)

    def _reportable(self, now: timedelta) -> list[tuple[int, _Target]]:
        """Return the targets about whose limit other VMs have to know, by key."""
        return [(key, known) for key, known in self._targets.items() if known.limit.reportable(now)]


def _report(key: int, limit: NamedLimit, demand: float, now: timedelta) -> TargetLimitReport:
    return TargetLimitReport(key, limit.rate, limit.age(now), demand)


def _admitted_rate(rate: float) -> float:
    """Return the requests/s of all VMs that a limit admits."""
    return max(_SAFETY_FACTOR * rate, _PROBE_RATE)


def _expired(known: _Target, now: timedelta) -> bool:
    """Return whether a target has neither demand nor a limit that other VMs may still hold."""
    if known.demand.at(now) > _NEGLIGIBLE_DEMAND:
        return False
    heard_at = known.limit.heard_at
    if heard_at is None:
        return True
    lifetime = _ENDED_LIFETIME if known.limit.rate is None else _UNUSED_LIFETIME
    return now - heard_at > lifetime
