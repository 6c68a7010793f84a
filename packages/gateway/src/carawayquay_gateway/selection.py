"""Selects the target of a request by locality, warmth and expected delay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.load_reports import short_hash
from carawayquay.object_rates import ObjectRates
from carawayquay.placement import (
    Candidate,
    NoCapacity,
    Placement,
    WorkTimes,
    choose_cheapest,
    key_position,
)
from carawayquay.queue_limits import max_queue_wait
from carawayquay.ratio_budget import RatioBudget
from carawayquay.warm_copies import (
    ObjectDemand,
    two_choices,
    wanted_copies,
    warming_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.routes import Route
    from carawayquay.target_limits import LimitReached
    from carawayquay.target_pools import TargetPool
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState

__all__ = ["Selection", "SelectionPreview"]

#: Share of the requests that may spill over from their home region for lack of capacity.
_SPILLOVER_SHARE = 0.06

#: Share of the requests that may go to a cold target of the own domain in order to warm it.
_WARMING_SHARE = 0.2

#: Minimum mean size in bytes of request plus answer bodies at which warming a target of the own
#: domain pays off.
_MIN_BYTES_TO_WARM = 1500

#: Targets at the head of an object's rendezvous order that are candidates even if cold for it.
_PREFERRED_TARGETS = 2

#: Slot utilization up to which the second target in an object's rendezvous order may serve it cold.
#: Cold work takes three times as long, for which a busy fleet has no capacity.
_COLD_UTILIZATION = 0.4

#: Slot utilization up to which a target of the own domain is warmed for more objects.
_WARMING_UTILIZATION = 0.6

#: Targets of a pool whose limit is asked for one request, which bounds the time of a selection.
_MAX_LIMITED_TARGETS = 4

#: Penalty in seconds for a target outside the own domain, and outside the own region.
_OTHER_DOMAIN_COST = 0.02
_OTHER_REGION_COST = 0.02


class Selection:
    """Selects targets for this VM's requests.

    An object is requested in few regions, mostly one. All VMs of a region agree on its home: a
    target of the region, or of another one if the region's capacity is too small. If there is
    capacity, each domain warms a target of its own for its callers' objects and prefers it then.
    Candidates are the home, the next target in the object's rendezvous order, and targets that
    are warm already: few, since a target can be warm for a bounded number of objects only.

    An object that would keep too many slots of one target busy gets further targets of its order,
    and its requests are spread over those that are warm.

    :param cold_utilization: slot utilization up to which the second target in an object's
        rendezvous order may serve it cold
    :param copies: whether popular objects get further targets
    """

    def __init__(
        self,
        state: GatewayState,
        round_trips: RoundTrips,
        random: Random,
        cold_utilization: float = _COLD_UTILIZATION,
        *,
        copies: bool = True,
    ) -> None:
        self._state = state
        self._cold_utilization = cold_utilization
        self._round_trips = round_trips
        self._random = random
        self._spillover_budget = RatioBudget(_SPILLOVER_SHARE)
        self._warming_budget = RatioBudget(_WARMING_SHARE)
        self._copies = copies
        self._object_rates = ObjectRates()

    def count_request(self) -> None:
        """Count a caller's request in the spill-over and warming budgets."""
        now = self._state.clock.now()
        self._spillover_budget.count_request(now)
        self._warming_budget.count_request(now)

    def select(
        self,
        route: Route,
        service: str,
        key: str,
        elapsed: float,
        remaining: float,
        tried_targets: Collection[str] = (),
    ) -> Placement | NoCapacity:
        """Choose the target of a request, in its home region first.

        :param key: affinity key of the request's object; empty if there is none
        :param elapsed: seconds since the request was read
        :param remaining: seconds until the deadline of the request
        :param tried_targets: names of targets to exclude
        """
        state = self._state
        region = state.settings.region
        request = _Request(route, service, key, elapsed, remaining, frozenset(tried_targets))
        if request.keyed and not tried_targets:
            self._object_rates.count(short_hash(key), state.clock.now())
        near = state.targets.in_region(service, region)
        far = state.targets.outside_region(service, region)
        home_pool, other_pool = (near, far) if self._home_is_here(request) else (far, near)
        chosen = self._choose_within_limits(request, home_pool)
        if isinstance(chosen, Placement):
            return chosen
        if chosen.wait is None and chosen.limit_reached is None:
            return self._choose_within_limits(request, other_pool)
        elsewhere = self._choose_within_limits(request, other_pool, self._spillover_budget)
        if isinstance(elsewhere, NoCapacity):
            return chosen
        if elsewhere.limit_reached is None:
            return attrs.evolve(elsewhere, limit_reached=chosen.limit_reached)
        return elsewhere

    def preview(self, route: Route, service: str, key: str) -> SelectionPreview:
        """Return what would be chosen for a new request in its home region, without spill-over.

        Budgets of this selection are charged, so that a selection of its own should be asked.
        """
        targets, region = self._state.targets, self._state.settings.region
        request = _Request(route, service, key, 0.0, route.timeout.total_seconds(), frozenset())
        here = self._home_is_here(request)
        near, far = targets.in_region(service, region), targets.outside_region(service, region)
        return SelectionPreview(here, self._choose_from(request, near if here else far))

    def _home_is_here(self, request: _Request) -> bool:
        """Return whether a request's home is in the own region, by the region's local share."""
        share = self._state.service(request.service).local_share.share
        if not request.keyed:
            return self._random.random() < share
        return key_position(request.service, request.key) < share

    def _choose_within_limits(
        self, request: _Request, pool: TargetPool, budget: RatioBudget | None = None
    ) -> Placement | NoCapacity:
        """Choose a target of a pool, and pass over targets whose limit is reached.

        :param budget: charged for a request that may be sent, if it is given
        """
        now = self._state.clock.now()
        reached: LimitReached | None = None
        for _ in range(_MAX_LIMITED_TARGETS):
            chosen = self._choose_from(request, pool)
            if isinstance(chosen, NoCapacity):
                return attrs.evolve(chosen, limit_reached=reached)
            if budget is not None and not budget.take(now):
                return NoCapacity(chosen.wait, reached)
            budget = None
            limit = self._state.admit(chosen.target, request.route.priority, now)
            if limit is None:
                return attrs.evolve(chosen, limit_reached=reached)
            reached = limit if reached is None or limit.wait < reached.wait else reached
            request = request.without(chosen.target)
        return NoCapacity(None, reached)

    def _choose_from(self, request: _Request, pool: TargetPool) -> Placement | NoCapacity:
        """Choose among the candidates in a pool of targets."""
        now = self._state.clock.now()

        def usable(target: RegisteredTarget) -> bool:
            return request.allows(target) and self._state.may_use(target, now)

        if not request.keyed:
            return self._cheapest(request, [target for target in pool if usable(target)], ())
        order = pool.first(request.key, usable, _PREFERRED_TARGETS)
        if not order:
            return NoCapacity(None)
        order = [order[0], *filter(self._has_room_for_cold, order[1:])]
        warm = self._warm_targets(request, pool, usable)
        home = self._choose_home(request, order[0], warm, usable)
        if self._copies and (placed := self._choose_copy(request, pool, usable, warm)) is not None:
            return placed
        considered = {target.name: target for target in (home, *order, *warm.values())}
        names = sorted(considered)
        return self._cheapest(
            request, [considered[name] for name in names], warm or {home.name}, home.name
        )

    def _choose_copy(
        self,
        request: _Request,
        pool: TargetPool,
        usable: Callable[[RegisteredTarget], bool],
        warm: dict[str, RegisteredTarget],
    ) -> Placement | None:
        """Choose among the targets of a popular object; None if it needs only one, or all are full.

        A few requests go to those of its targets that are not warm yet, if they have a free slot.
        """
        demand = self._demand(request)
        count = wanted_copies(demand, next(iter(pool)).slots)
        if count <= 1:
            return None
        wanted = pool.first(request.key, usable, count)
        missing = [it for it in wanted if it.name not in warm and self._has_free_slot(it)]
        share = warming_share(demand, len(missing)) if request.route.idempotent else 0.0
        if missing and self._random.random() < share:
            self._state.metrics.count("copies_warmed_total", service=request.service)
            return self._placed(self._cheapest(request, [self._random.choice(missing)], ()))
        return self._choose_warm_copy(request, warm, missing[:1])

    def _choose_warm_copy(
        self, request: _Request, warm: dict[str, RegisteredTarget], cold: list[RegisteredTarget]
    ) -> Placement | None:
        """Choose the better one of two warm targets, or of all if a cold one is better than both.

        :param cold: a target with a free slot that is not warm yet, if there is any
        """
        if len(warm) <= 1:
            return None
        names = sorted(warm)
        for tried in (two_choices(names, self._random), names):
            targets = [*(warm[name] for name in tried), *cold]
            placed = self._placed(self._cheapest(request, targets, warm))
            if placed is not None and (placed.warm or tried is names):
                self._state.metrics.count("copies_chosen_total", service=request.service)
                return placed
        return None

    def _demand(self, request: _Request) -> ObjectDemand:
        """Return the demand for an object, as if the region's VMs had this VM's share of it."""
        state = self._state
        now = state.clock.now()
        own = state.service(request.service).rate(now)
        rate = self._object_rates.rate(short_hash(request.key), now)
        scale = state.region_rate(request.service, now) / own if own > 0 else 1.0
        times = state.service(request.service).times
        return ObjectDemand(rate * scale, times.warm(request.route.target_latency.total_seconds()))

    def _has_free_slot(self, target: RegisteredTarget) -> bool:
        return self._state.running(target.name) < target.slots

    @staticmethod
    def _placed(chosen: Placement | NoCapacity) -> Placement | None:
        return chosen if isinstance(chosen, Placement) else None

    def _warm_targets(
        self, request: _Request, pool: TargetPool, usable: Callable[[RegisteredTarget], bool]
    ) -> dict[str, RegisteredTarget]:
        """Return the usable targets of a pool that are warm for an object, by name."""
        found = {}
        for name in self._state.warm_objects.targets(short_hash(request.key)):
            target = self._state.targets.get(name) if name in pool else None
            if target is not None and usable(target):
                found[name] = target
        return found

    def _choose_home(
        self,
        request: _Request,
        region_home: RegisteredTarget,
        warm: Collection[str],
        usable: Callable[[RegisteredTarget], bool],
    ) -> RegisteredTarget:
        """Return the target that should serve an object.

        The region's home is used even while it is cold, so that new targets get a share.

        :param region_home: the target that all VMs prefer for the object
        :param warm: names of the targets that are warm for the object
        """
        settings = self._state.settings
        if not warm or region_home.region != settings.region:
            return region_home
        near = self._state.targets.in_domain(request.service, settings.domain)
        domain_home = next(iter(near.first(request.key, usable, 1)), region_home)
        if domain_home.name in warm:
            return domain_home
        if request.route.idempotent and self._worth_warming(request.service, domain_home):
            return domain_home
        return region_home

    def _has_room_for_cold(self, target: RegisteredTarget) -> bool:
        """Return whether the second target of an object is idle enough to serve it cold."""
        return self._state.running(target.name) <= self._cold_utilization * target.slots

    def _worth_warming(self, service: str, target: RegisteredTarget) -> bool:
        """Return whether to warm a target of the own domain; if so, charge the warming budget."""
        state = self._state
        if state.service(service).times.mean_bytes < _MIN_BYTES_TO_WARM:
            return False
        if state.running(target.name) > _WARMING_UTILIZATION * target.slots:
            return False
        return self._warming_budget.take(state.clock.now())

    def _cheapest(
        self,
        request: _Request,
        targets: list[RegisteredTarget],
        warm: Collection[str],
        home: str = "",
    ) -> Placement | NoCapacity:
        """Choose the target with the lowest expected delay.

        :param warm: names of the targets that are warm for the object
        :param home: name of the home target, which is rated as warm even if it is cold
        """
        state = self._state
        now = state.clock.now()
        candidates = []
        for target in targets:
            stats = state.stats(target.name)
            stats.decay(now)
            candidates.append(
                Candidate(
                    target,
                    stats,
                    state.running(target.name),
                    target.name in warm or target.name == home,
                    self._round_trips.seconds(target.domain),
                    self._distance_cost(target),
                    stats.time_factor(now),
                )
            )
        route = request.route
        target_latency = route.target_latency.total_seconds()
        times = state.service(request.service).times
        return choose_cheapest(
            candidates,
            WorkTimes(
                times.warm(target_latency), times.cold(target_latency), times.mean(target_latency)
            ),
            lambda work: max_queue_wait(route, request.elapsed, request.remaining, work),
        )

    def _distance_cost(self, target: RegisteredTarget) -> float:
        settings = self._state.settings
        if target.domain == settings.domain:
            return 0.0
        return _OTHER_DOMAIN_COST if target.region == settings.region else _OTHER_REGION_COST


@attrs.frozen
class SelectionPreview:
    """What a selection would choose now.

    :param home_here: whether the home of the request's object is in the own region
    """

    home_here: bool
    chosen: Placement | NoCapacity


@attrs.frozen
class _Request:
    """The properties of a request that its selection depends on."""

    route: Route
    service: str
    key: str
    elapsed: float
    remaining: float
    tried_targets: frozenset[str]

    @property
    def keyed(self) -> bool:
        """Whether the request has affinity to targets that are warm for its object."""
        return bool(self.key) and self.route.sticky

    def without(self, target: RegisteredTarget) -> _Request:
        """Return the same request with one more target to exclude."""
        return attrs.evolve(self, tried_targets=self.tried_targets | {target.name})

    def allows(self, target: RegisteredTarget) -> bool:
        """Return whether a target is in an allowed region and was not tried before."""
        allowed = self.route.allowed_regions
        return target.name not in self.tried_targets and (not allowed or target.region in allowed)
