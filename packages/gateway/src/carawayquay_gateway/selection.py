"""Selects the target of a request from the state of the moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.load_reports import short_hash
from carawayquay.part_budget import PartBudget
from carawayquay.placement import (
    Candidate,
    Placed,
    Refused,
    WorkTimes,
    cheapest,
    key_position,
)
from carawayquay.refusals import longest_wait

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.routes import Route
    from carawayquay.target_pools import TargetPool
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState

__all__ = ["Selection"]

#: Part of the requests that may leave the region of their object's home for lack of room.
_SPILLOVER_SHARE = 0.06

#: Part of the requests that may go to a near target that is cold for them, to make it warm.
_WARMING_SHARE = 0.2

#: Bodies of at least this size are worth a target of the own domain that is warm for them.
_MIN_BYTES_TO_WARM = 1500

#: Targets in an object's order that are considered though they are not warm for it.
_PREFERRED_TARGETS = 2

#: Part of the slots of a second target up to which it takes objects that it is not warm for: cold
#: work takes three times as long, which a busy fleet has no room for.
_COLD_UTILIZATION = 0.4

#: Part of the slots of a near target up to which it is made warm for further objects.
_WARMING_UTILIZATION = 0.6

#: Seconds of delay that are accepted to stay in the own domain or region.
_OTHER_DOMAIN_COST = 0.02
_OTHER_REGION_COST = 0.02


class Selection:
    """Places requests of callers at this VM.

    An object is asked for in few regions, mostly one. Its home is a target of the caller's region,
    the same at every VM of the region, or one of another region where the region's targets have
    not enough room for all. As room allows, each domain makes a target of its own warm for the
    objects that its callers ask for, and then stays there. Only the home, the next target in the
    object's order and targets that are warm already are considered, since a target can be warm
    for a bounded number of objects.

    :param cold_utilization: part of its slots up to which a target takes objects that it is not
        warm for beside their first target
    """

    def __init__(
        self,
        state: GatewayState,
        round_trips: RoundTrips,
        random: Random,
        cold_utilization: float = _COLD_UTILIZATION,
    ) -> None:
        self._state = state
        self._cold_utilization = cold_utilization
        self._round_trips = round_trips
        self._random = random
        self._spillover_budget = PartBudget(_SPILLOVER_SHARE)
        self._warming_budget = PartBudget(_WARMING_SHARE)

    def count_request(self) -> None:
        """Count a caller's request."""
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
    ) -> Placed | Refused:
        """Choose the target of a request.

        :param key: the object that the request is about; empty if there is none
        :param elapsed: seconds since the caller began to wait
        :param left: seconds until the caller or the route gives up
        :param tried: names of targets that are not to be used
        """
        state = self._state
        region = state.settings.region
        request = _Request(route, service, key, elapsed, remaining, frozenset(tried_targets))
        own = state.targets.in_region(service, region)
        others = state.targets.outside_region(service, region)
        first, second = (own, others) if self._home_is_here(request) else (others, own)
        chosen = self._choose_from(request, first)
        if isinstance(chosen, Placed):
            return chosen
        elsewhere = self._choose_from(request, second)
        if chosen.wait is None:
            return elsewhere
        if isinstance(elsewhere, Refused) or not self._spillover_budget.take(state.clock.now()):
            return chosen
        return elsewhere

    def _home_is_here(self, request: _Request) -> bool:
        """Return whether an object's home is in the own region."""
        share = self._state.service(request.service).kept.share
        if not request.keyed:
            return self._random.random() < share
        return key_position(request.service, request.key) < share

    def _choose_from(self, request: _Request, pool: TargetPool) -> Placed | Refused:
        """Choose among the targets of the region, or the regions, that are to serve a request."""
        now = self._state.clock.now()

        def usable(target: RegisteredTarget) -> bool:
            return request.allows(target) and self._state.may_use(target, now)

        if not request.keyed:
            return self._cheapest(request, [target for target in pool if usable(target)], ())
        order = pool.first(request.key, usable, _PREFERRED_TARGETS)
        if not order:
            return Refused(None)
        order = [order[0], *filter(self._has_room_for_cold, order[1:])]
        warm = self._warm_targets(request, pool, usable)
        home = self._choose_home(request, order[0], warm, usable)
        considered = {target.name: target for target in (home, *order, *warm.values())}
        names = sorted(considered)
        return self._cheapest(
            request, [considered[name] for name in names], warm or {home.name}, home.name
        )

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

        The common one is used where it is not warm too, so that targets that join get a part.

        :param common: the one that all VMs prefer for it
        :param warm: names of those that are warm for it
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
        """Return whether a target may take an object's requests beside the first target."""
        return self._state.running(target.name) <= self._cold_utilization * target.slots

    def _worth_warming(self, service: str, target: RegisteredTarget) -> bool:
        """Return whether a target should become warm for an object for which others are."""
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
    ) -> Placed | Refused:
        """Choose the target with the least expected delay.

        :param warm: names of the targets that are warm for the object
        :param home: the target that is to serve the object even though it is not warm for it
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
                )
            )
        route = request.route
        target_latency = route.target_latency.total_seconds()
        times = state.service(request.service).times
        return cheapest(
            candidates,
            WorkTimes(
                times.warm(target_latency), times.cold(target_latency), times.mean(target_latency)
            ),
            lambda work: longest_wait(route, request.elapsed, request.remaining, work),
        )

    def _distance_cost(self, target: RegisteredTarget) -> float:
        settings = self._state.settings
        if target.domain == settings.domain:
            return 0.0
        return _OTHER_DOMAIN_COST if target.region == settings.region else _OTHER_REGION_COST


@attrs.frozen
class _Request:
    """What a choice depends on beside the targets."""

    route: Route
    service: str
    key: str
    elapsed: float
    remaining: float
    tried_targets: frozenset[str]

    @property
    def keyed(self) -> bool:
        """Whether it matters which target has handled the object."""
        return bool(self.key) and self.route.sticky

    def allows(self, target: RegisteredTarget) -> bool:
        """Return whether neither its route nor an earlier attempt rules a target out."""
        allowed = self.route.allowed_regions
        return target.name not in self.tried_targets and (not allowed or target.region in allowed)
