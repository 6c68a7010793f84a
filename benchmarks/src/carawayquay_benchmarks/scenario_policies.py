"""The policy under test and its baselines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Protocol

import attrs

from carawayquay.bandwidth import LinkBudgets
from carawayquay.grant_pool import GrantPool, HeldGrant
from carawayquay.grants import GrantIssuer, GrantRequest
from carawayquay.region_health import HomeRegionHealth
from carawayquay.shifts import Destination, Goal, Move, ShiftBudget, client_fraction
from carawayquay.slow_start import SlowStart
from carawayquay_benchmarks.scenario_simulation import region_of

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta

    from carawayquay.documents import Cap
    from carawayquay_benchmarks.scenario_simulation import Simulation, TargetGroup

__all__ = ["POLICIES", "Arrival", "Policy", "RunningRequest"]


_MAX_WAIT_SECONDS = 0.2


@attrs.frozen
class Arrival:
    """A request that has arrived at the entry VM of a failure domain.

    :param client: IP address of the client
    :param size: size of the answer in bytes
    :param waited: seconds that it has waited for a slot
    """

    service: str
    domain: str
    client: str
    size: int = 2000
    waited: float = 0.0

    @property
    def home(self) -> str:
        """The home region, which is the region of the entry VM."""
        return region_of(self.domain)


@attrs.define
class RunningRequest:
    """A request that runs at a target group.

    :param waited: seconds from its arrival until it was sent to the group
    :param grant: grant whose slot it uses, or None
    """

    arrival: Arrival
    group: TargetGroup
    waited: float = 0.0
    grant: HeldGrant | None = None


class Policy(Protocol):
    """Chooses a target group for each request."""

    def send(self, arrival: Arrival) -> RunningRequest | None:
        """Start a request at a target group, or return None if it is refused."""

    def may_wait(self, arrival: Arrival) -> bool:
        """Return whether a refused request may wait and be sent again."""

    def finish(self, running_request: RunningRequest) -> None:
        """Release what a request held, at its end."""

    def tick(self) -> None:
        """Update the state that depends on time; called periodically."""


class NearestOnly:
    """Sends each request to its home region only."""

    name = "nearest region only"

    def __init__(self, simulation: Simulation, cap: Cap, warm_up: timedelta) -> None:
        self._simulation = simulation

    def send(self, arrival: Arrival) -> RunningRequest | None:
        """Try the failure domain of the entry VM, then the other one of the region."""
        for domain in sorted(self._simulation.layout.domains, key=lambda d: d != arrival.domain):
            group = self._simulation.groups[arrival.service, domain]
            if group.region == arrival.home and group.start():
                return RunningRequest(arrival, group)
        return None

    def may_wait(self, arrival: Arrival) -> bool:
        """Return False, so that requests are refused at once."""
        return False

    def finish(self, running_request: RunningRequest) -> None:
        """Free the slot."""
        running_request.group.finish()

    def tick(self) -> None:
        """Do nothing."""


class WeightedByLoad(NearestOnly):
    """Spreads requests over all failure domains, weighted by their reported free slots."""

    name = "weighted by reported load"

    def __init__(self, simulation: Simulation, cap: Cap, warm_up: timedelta) -> None:
        super().__init__(simulation, cap, warm_up)
        self._random = random.Random(1)

    def send(self, arrival: Arrival) -> RunningRequest | None:
        """Try two target groups, drawn at random by weight."""
        domains = [
            d
            for d in self._simulation.layout.domains
            if region_of(d) not in self._simulation.drained_regions
        ]
        reports = [self._simulation.reports[arrival.service, domain] for domain in domains]
        weights = [report.free + 0.01 if report.alive else 0 for report in reports]
        if not any(weights):
            return None
        for domain in self._random.choices(domains, weights, k=2):
            group = self._simulation.groups[arrival.service, domain]
            if group.start():
                return RunningRequest(arrival, group)
        return None


class Steered:
    """The policy of the system, with caps, grants, slow start and link budgets."""

    name = "carawayquay"

    def __init__(self, simulation: Simulation, cap: Cap, warm_up: timedelta) -> None:
        self._simulation = simulation
        self._warm_up = warm_up
        start = simulation.scheduler.now
        keys = list(simulation.groups)
        self._shift_budgets = {key: ShiftBudget(cap, start) for key in keys}
        self._home_health = {key: HomeRegionHealth() for key in keys}
        self._slow_starts = {key: SlowStart() for key in keys}
        self._grant_issuers = {d: GrantIssuer(1, start) for d in simulation.layout.domains}
        self._grant_pools = {d: GrantPool() for d in simulation.layout.domains}
        self._links = {
            d: LinkBudgets(simulation.layout.link_bits_per_second)
            for d in simulation.layout.domains
        }

    def send(self, arrival: Arrival) -> RunningRequest | None:
        """Try the destinations that the shift budget returns, in order."""
        now = self._simulation.scheduler.now
        budget = self._shift_budgets[arrival.service, arrival.domain]
        if arrival.waited == 0:
            budget.count_request(now)
        fraction = client_fraction(arrival.service, arrival.client)
        if self._home_health[arrival.service, arrival.domain].probe_due(now):
            destinations = (Destination.HOME, Destination.AWAY_FAILURE)
        else:
            destinations = budget.destinations(fraction, now)
        waited = arrival.waited
        for leg in destinations:
            match leg:
                case Destination.HOME:
                    running_request = self._start_at_home(arrival, budget, waited)
                case Destination.AWAY_PLANNED:
                    running_request = self._start_away(arrival, budget, Move.PLANNED, waited)
                case Destination.AWAY_FAILURE:
                    running_request = self._start_away(arrival, budget, Move.FAILURE, waited)
            if running_request is not None:
                return running_request
        return None

    def may_wait(self, arrival: Arrival) -> bool:
        """Return whether a request may wait for a slot; none waits if the cap is reached."""
        budget = self._shift_budgets[arrival.service, arrival.domain]
        in_time = arrival.waited < _MAX_WAIT_SECONDS
        return in_time and budget.may_move(Move.FAILURE, self._simulation.scheduler.now)

    def finish(self, running_request: RunningRequest) -> None:
        """Free the slot, release the grant and charge the answer to the link budget."""
        now = self._simulation.scheduler.now
        group, service = running_request.group, running_request.arrival.service
        group.finish()
        self._slow_starts[service, group.domain].record_completion(now)
        if running_request.grant is not None:
            self._finish_granted(running_request, running_request.grant, now)
        else:
            self._grant_issuers[group.domain].finish_local(service, now)
        if group.region != running_request.arrival.home:
            links = self._links[running_request.arrival.domain]
            links.charge_answer(group.region, service, running_request.arrival.size)

    def tick(self) -> None:
        """Advance the levels of the shift budgets."""
        now = self._simulation.scheduler.now
        for (service, domain), budget in self._shift_budgets.items():
            budget.advance(self._goal(service, domain), now)

    def _goal(self, service: str, domain: str) -> Goal:
        if region_of(domain) in self._simulation.drained_regions:
            return Goal.DRAINED
        return Goal.LOST if self._home_health[service, domain].lost else Goal.HOME

    def _start_at_home(
        self, arrival: Arrival, budget: ShiftBudget, waited: float
    ) -> RunningRequest | None:
        now = self._simulation.scheduler.now
        if not budget.may_return(Move.FAILURE, now):
            return None
        home_health = self._home_health[arrival.service, arrival.domain]
        groups = list(self._region_groups(arrival, arrival.home))
        for group in groups:
            running_request = self._start(arrival, group, waited)
            if running_request is not None:
                home_health.record_success()
                return running_request
        if not any(group.alive for group in groups):
            home_health.record_failure(now)
        return None

    def _start_away(
        self, arrival: Arrival, budget: ShiftBudget, move: Move, waited: float
    ) -> RunningRequest | None:
        now = self._simulation.scheduler.now
        for region in self._simulation.layout.regions:
            if region == arrival.home or region in self._simulation.drained_regions:
                continue
            if not budget.may_move(move, now):
                return None
            for group in self._region_groups(arrival, region):
                if not self._links[arrival.domain].take(region, arrival.service, 500, 2, now):
                    break
                running_request = self._start(arrival, group, waited)
                if running_request is not None:
                    budget.take(move, now)
                    return running_request
                self._links[arrival.domain].charge_answer(region, arrival.service, 0)
        return None

    def _region_groups(self, arrival: Arrival, region: str) -> Iterator[TargetGroup]:
        """Yield the target groups of a region, first the one in the entry VM's failure domain."""
        domains = sorted(self._simulation.layout.domains, key=lambda d: d != arrival.domain)
        for domain in domains:
            if region_of(domain) == region:
                yield self._simulation.groups[arrival.service, domain]

    def _start(self, arrival: Arrival, group: TargetGroup, waited: float) -> RunningRequest | None:
        if group.domain == arrival.domain:
            return self._start_local(arrival, group, waited)
        now = self._simulation.scheduler.now
        grant_pool = self._grant_pools[arrival.domain]
        grant = grant_pool.take(arrival.service, group.domain, now)
        if grant is None:
            if not grant_pool.may_ask(arrival.service, group.domain, now):
                return None
            waited += 2 * self._simulation.layout.delay(arrival.domain, group.domain)
            self._request_grant(arrival, group)
            grant = grant_pool.take(arrival.service, group.domain, now)
        if grant is None:
            return None
        issuer = self._grant_issuers[group.domain]
        limit = self._slot_limit(group)
        if not issuer.start_granted(grant.id, arrival.service, limit, now) or not group.start():
            grant_pool.give_back(grant)
            return None
        return RunningRequest(arrival, group, waited, grant)

    def _start_local(
        self, arrival: Arrival, group: TargetGroup, waited: float
    ) -> RunningRequest | None:
        issuer = self._grant_issuers[group.domain]
        now = self._simulation.scheduler.now
        if not issuer.start_local(arrival.service, self._slot_limit(group), now):
            return None
        if not group.start():
            issuer.finish_local(arrival.service, now)
            return None
        return RunningRequest(arrival, group, waited)

    def _finish_granted(
        self, running_request: RunningRequest, grant: HeldGrant, now: timedelta
    ) -> None:
        self._grant_issuers[running_request.group.domain].finish_granted(grant.id, now)
        self._grant_pools[running_request.arrival.domain].give_back(grant)

    def _request_grant(self, arrival: Arrival, group: TargetGroup) -> None:
        now = self._simulation.scheduler.now
        grant_pool = self._grant_pools[arrival.domain]
        wanted = grant_pool.wanted(arrival.service, group.domain, 1, now)
        request = GrantRequest(arrival.service, arrival.domain, arrival.domain, wanted)
        limit = self._slot_limit(group)
        slow_start = self._slow_starts[arrival.service, group.domain]
        offered = slow_start.offered(limit, self._warm_up, now)
        same_region = group.region == arrival.home
        if group.region in self._simulation.drained_regions and not same_region:
            offered = 0
        offer = self._grant_issuers[group.domain].offer(request, limit, offered, now)
        grant_pool.mark_asking(arrival.service, group.domain)
        grant_pool.add(arrival.service, group.domain, offer, now, now)

    def _slot_limit(self, group: TargetGroup) -> int:
        return group.slots if group.alive else 0


class NoGrants(Steered):
    """The policy of the system without grants and slow start; requests start without a grant."""

    name = "no grants"

    def _start(self, arrival: Arrival, group: TargetGroup, waited: float) -> RunningRequest | None:
        return RunningRequest(arrival, group, waited) if group.start() else None

    def finish(self, running_request: RunningRequest) -> None:
        """Free the slot and charge the answer to the link budget."""
        running_request.group.finish()
        if running_request.group.region != running_request.arrival.home:
            links = self._links[running_request.arrival.domain]
            links.charge_answer(
                running_request.group.region,
                running_request.arrival.service,
                running_request.arrival.size,
            )


#: The policy under test first, then the baselines.
POLICIES = (Steered, NearestOnly, WeightedByLoad, NoGrants)
