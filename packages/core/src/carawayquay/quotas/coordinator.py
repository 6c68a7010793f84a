"""The quota coordinator of a failure domain, which divides the domain's part of each quota."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.decaying_rate import DecayingRate
from carawayquay.load_reports import short_hash
from carawayquay.quotas.messages import QuotaDemand, QuotaGrant
from carawayquay.quotas.token_bucket import TokenBucket
from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.organisations import Organisation, Quota
    from carawayquay.quotas.ledger import QuotaLedger
    from carawayquay.quotas.messages import QuotaDemands, QuotaReport, QuotaUse
    from carawayquay.quotas.tolerance import QuotaTolerance

__all__ = ["DomainView", "QuotaCoordinator", "coordinators"]

#: Time constants of the demand by which the fraction to admit, and the domain's share, are chosen.
_ARRIVAL_TIME = timedelta(seconds=0.5)
_DEMAND_TIME = timedelta(seconds=2)

#: Time until the VMs have acted on the next grants; tokens have to last until then.
_HORIZON_SECONDS = 0.4

#: Parts of burst and slack that buckets hold, and parts that add to the requests of each window;
#: the rest covers what is admitted before a coordinator knows of it.
_BURST_PART = 0.5
_SLACK_PART = 0.7
_WINDOW_BURST_PART = 0.35
_WINDOW_SLACK_PART = 0.4

#: Fraction of each quota that the domains own in equal parts, whatever their demand is.
_EQUAL_PART = 0.04

#: Fraction of each quota that domains hold in equal parts before they know of each other. Others
#: keep the part that a restarted domain had, so that it does not come on top of the quota.
_FIRST_PART = 0.76

#: Time after a claim in which the other domains hear of it, before the next one.
_CLAIM_INTERVAL = timedelta(seconds=0.4)

#: Requests/s below which an organisation counts as absent.
_NEGLIGIBLE_DEMAND = 0.02

#: Requests/s that are added to each domain's demand, so that the shares of an organisation with
#: few requests do not follow each of them.
_SMOOTHING_DEMAND = 0.4

#: Number of reports after the start of a VM in which all of its requests are recent.
_FRESH_REPORTS = 5

#: Time without a report after which a VM counts as not heard, and as forgotten.
_HEARD_FOR = timedelta(seconds=1.5)
_FORGET_AFTER = timedelta(seconds=60)

#: Time after its start in which a coordinator grants nothing, as it has not heard all VMs.
_LEARNING_TIME = timedelta(seconds=0.6)

#: Time after its start in which a coordinator admits little more than the former one did, as it
#: has measured the arrivals for too short a time; and the least that it admits then.
_CAUTIOUS_TIME = timedelta(seconds=2)
_MIN_CAUTIOUS_FRACTION = 0.1

_COUNT_SPAN = 2**32


def coordinators(domain: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Return the VMs of a failure domain in the order in which they coordinate its quotas.

    There is no election: VMs with the same view of the live VMs choose the same coordinator.

    :param vms: names of the live VMs of the domain

    >>> coordinators("a", ["vm-1", "vm-2"]) == coordinators("a", ["vm-2", "vm-1"])
    True
    """
    return ranked(f"quota/{domain}", vms)


@attrs.frozen
class DomainView:
    """What a coordinator knows about the fleet.

    :param others: names of the other failure domains
    :param vms: number of known VMs in the own domain, live or not, with this one
    """

    others: frozenset[str]
    vms: int

    @property
    def domains(self) -> int:
        """The number of failure domains."""
        return len(self.others) + 1


@attrs.define
class _Use:
    """The totals that a VM reported last for one organisation."""

    arrived: int
    admitted: int


@attrs.define
class _Reporter:
    """A VM of the domain that reports to this one.

    :param counted: whether all requests of an organisation that it has not reported yet are recent
    """

    incarnation: int
    sequence: int
    heard_at: timedelta
    counted: bool
    uses: dict[int, _Use] = attrs.field(factory=dict)


@attrs.define
class _RemoteDomain:
    """What the coordinator of another failure domain said last, by organisation."""

    incarnation: int
    sequence: int
    sender: str
    heard_at: timedelta
    demands: dict[int, QuotaDemand]

    def rate(self, code: int) -> float:
        """Return the requests/s of an organisation."""
        demand = self.demands.get(code)
        return 0.0 if demand is None else demand.rate

    def share(self, code: int) -> float:
        """Return the domain's fraction of an organisation's quota."""
        demand = self.demands.get(code)
        return 0.0 if demand is None else demand.share


@attrs.define
class _Budget:
    """The domain's part of one organisation's quota.

    :param share: fraction of the quota that the domain has claimed, None before the first grants
    :param claimed_at: when the share grew last
    """

    bucket: TokenBucket
    share: float | None
    claimed_at: timedelta
    arrivals: DecayingRate = attrs.field(factory=lambda: DecayingRate(_ARRIVAL_TIME))
    demand: DecayingRate = attrs.field(factory=lambda: DecayingRate(_DEMAND_TIME))


class QuotaCoordinator:
    """Grants the VMs of a failure domain their requests, from a token bucket per organisation.

    It starts with empty buckets, since it does not know what was admitted before. What VMs admit
    before they hear of new grants may overdraw a bucket, which later grants make up for.

    The shares of all domains never exceed the quota: a domain gives up a part of its share at once
    and says so; another one claims it after it has heard what all domains hold.

    :param former: the grants of the former coordinator, whose shares the domain still holds
    """

    def __init__(self, former: QuotaLedger, now: timedelta) -> None:
        self._former = former
        self._former_fractions = former.fractions()
        self._started_at = now
        self._budgets: dict[int, _Budget] = {}
        self._reporters: dict[str, _Reporter] = {}
        self._remote: dict[str, _RemoteDomain] = {}

    def ready(self, now: timedelta) -> bool:
        """Return whether the VMs of the domain have had the time to report."""
        return now - self._started_at >= _LEARNING_TIME

    def receive(self, report: QuotaReport, now: timedelta) -> None:
        """Count what a VM of the domain reports, unless a newer report was counted before."""
        known = self._reporters.get(report.sender)
        if known is None or known.incarnation < report.incarnation:
            started = report.sequence <= _FRESH_REPORTS
            known = _Reporter(report.incarnation, 0, now, started)
            self._reporters[report.sender] = known
        elif known.incarnation > report.incarnation or report.sequence <= known.sequence:
            return
        known.sequence, known.heard_at = report.sequence, now
        for use in report.uses:
            self._count(known, use, now)
        known.counted = known.counted or report.complete

    def receive_demands(self, demands: QuotaDemands, now: timedelta) -> None:
        """Take the demand in another failure domain, unless newer ones are known."""
        known = self._remote.get(demands.domain)
        if known is not None and known.sender == demands.sender:
            newer = (demands.incarnation, demands.sequence)
            if newer <= (known.incarnation, known.sequence):
                return
        by_code = {demand.organisation: demand for demand in demands.demands}
        self._remote[demands.domain] = _RemoteDomain(
            demands.incarnation, demands.sequence, demands.sender, now, by_code
        )

    def wanted(self, organisation: str, now: timedelta) -> bool:
        """Return whether an organisation has requests in the domain."""
        budget = self._budgets.get(short_hash(organisation))
        return budget is not None and budget.demand.at(now) > _NEGLIGIBLE_DEMAND

    def demands(self, now: timedelta) -> tuple[QuotaDemand, ...]:
        """Return the organisations with requests or a share in the domain."""
        demands = (
            QuotaDemand(code, budget.demand.at(now), budget.share or 0.0)
            for code, budget in self._budgets.items()
        )
        return tuple(it for it in demands if it.rate > _NEGLIGIBLE_DEMAND or it.share > 0.0)

    def grants(
        self,
        organisations: Iterable[Organisation],
        view: DomainView,
        tolerance: QuotaTolerance,
        now: timedelta,
    ) -> tuple[QuotaGrant, ...]:
        """Return the grants for the organisations that have requests or debts in the domain."""
        self._expire(now)
        granted = []
        for organisation in organisations:
            if organisation.quota is None:
                continue
            code = short_hash(organisation.name)
            budget = self._budget(code, now)
            self._update_share(code, budget, view, now)
            share = _EQUAL_PART / view.domains + budget.share
            part = share * min(1.0, self._heard_vms(now) / view.vms)
            fraction = _fraction(budget, organisation.quota, part, tolerance, now)
            fraction = min(fraction, self._former_fraction(organisation, now))
            if fraction < 1.0 or budget.demand.at(now) > _NEGLIGIBLE_DEMAND:
                granted.append(QuotaGrant(code, fraction, share))
        return tuple(granted)

    def _former_fraction(self, organisation: Organisation, now: timedelta) -> float:
        """Return the most that may be admitted, by what the former coordinator granted last."""
        former = self._former_fractions.get(short_hash(organisation.name))
        if former is None or now - self._started_at >= _CAUTIOUS_TIME:
            return 1.0
        return max(_MIN_CAUTIOUS_FRACTION, former)

    def _update_share(self, code: int, budget: _Budget, view: DomainView, now: timedelta) -> None:
        """Give up what the domain's part of the demand does not need, or claim what is free."""
        if budget.share is None:
            budget.share = self._first_share(code, view)
        targets = self._targets(code, budget, view, now)
        own = targets.pop("")
        if budget.share >= own:
            budget.share = own
            return
        if not self._heard_all_since(budget.claimed_at, view):
            return
        held = {name: self._remote[name].share(code) for name in view.others}
        free = 1.0 - _EQUAL_PART - budget.share - sum(held.values())
        wanted = own - budget.share
        wanted_by_others = sum(max(0.0, targets[name] - held[name]) for name in view.others)
        if free > 0.0:
            budget.share += min(wanted, free * wanted / (wanted + wanted_by_others))
            budget.claimed_at = now

    def _first_share(self, code: int, view: DomainView) -> float:
        """Return the share that the former coordinator held, or that of a domain that is new."""
        former = self._former.share(code)
        if former is None:
            return _FIRST_PART / view.domains
        return max(0.0, former - _EQUAL_PART / view.domains)

    def _targets(
        self, code: int, budget: _Budget, view: DomainView, now: timedelta
    ) -> dict[str, float]:
        """Return the share that each domain should have by its demand, the own one as ``""``."""
        rates = {"": budget.demand.at(now) + _SMOOTHING_DEMAND}
        for name in view.others:
            remote = self._remote.get(name)
            rates[name] = _SMOOTHING_DEMAND + (0.0 if remote is None else remote.rate(code))
        total = sum(rates.values())
        return {name: (1.0 - _EQUAL_PART) * rate / total for name, rate in rates.items()}

    def _heard_all_since(self, since: timedelta, view: DomainView) -> bool:
        """Return whether all other domains have answered to what this one held at a time."""
        heard = (self._remote.get(name) for name in view.others)
        return all(it is not None and it.heard_at > since + _CLAIM_INTERVAL for it in heard)

    def _heard_vms(self, now: timedelta) -> int:
        """Return the number of VMs of the domain that reported lately."""
        return sum(now - vm.heard_at < _HEARD_FOR for vm in self._reporters.values())

    def _budget(self, code: int, now: timedelta) -> _Budget:
        budget = self._budgets.get(code)
        if budget is None:
            budget = self._budgets[code] = _Budget(TokenBucket(0.0, now), None, now)
        return budget

    def _count(self, known: _Reporter, use: QuotaUse, now: timedelta) -> None:
        """Count the requests of one organisation since the last report of a VM.

        The first totals only serve as the start of the count if they may include old requests.
        """
        before = known.uses.get(use.organisation)
        known.uses[use.organisation] = _Use(use.arrived, use.admitted)
        if before is None:
            if not known.counted:
                return
            before = _Use(0, 0)
        arrived = (use.arrived - before.arrived) % _COUNT_SPAN
        budget = self._budget(use.organisation, now)
        budget.bucket.draw(_difference(use.admitted, before.admitted))
        budget.arrivals.count(now, arrived)
        budget.demand.count(now, arrived)

    def _expire(self, now: timedelta) -> None:
        """Forget VMs that have been silent for long.

        The shares of silent failure domains are kept: they may be partitioned off and use them.
        """
        silent = [n for n, vm in self._reporters.items() if now - vm.heard_at > _FORGET_AFTER]
        for name in silent:
            del self._reporters[name]


def _fraction(
    budget: _Budget, quota: Quota, part: float, tolerance: QuotaTolerance, now: timedelta
) -> float:
    """Return the fraction of the requests to admit until the next grants.

    :param part: fraction of the quota that the VMs use that are heard
    """
    extra = _WINDOW_BURST_PART * quota.burst + _WINDOW_SLACK_PART * tolerance.slack
    rate = (quota.rate + extra / tolerance.window.total_seconds()) * part
    room = (_BURST_PART * quota.burst + _SLACK_PART * tolerance.slack) * part
    level = budget.bucket.fill(rate=rate, capacity=max(1.0, room), now=now)
    expected = _certain_rate(budget.arrivals.at(now)) * _HORIZON_SECONDS
    available = level + rate * _HORIZON_SECONDS
    needed = max(1.0, expected)
    if available >= needed and level >= 0.0:
        return 1.0
    return min(1.0, max(0.0, available) / needed)


def _certain_rate(rate: float) -> float:
    """Return a measured rate less its standard deviation, so that a few requests count as few."""
    deviation = math.sqrt(rate / (2.0 * _ARRIVAL_TIME.total_seconds()))
    return max(0.0, rate - deviation)


def _difference(after: int, before: int) -> int:
    """Return the signed difference of two counts modulo 2**32."""
    half = _COUNT_SPAN // 2
    return (after - before + half) % _COUNT_SPAN - half
