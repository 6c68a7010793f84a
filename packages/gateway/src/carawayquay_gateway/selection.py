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
    preferred,
)
from carawayquay.refusals import longest_wait

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.routes import Route
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState

__all__ = ["Selection"]

#: Part of the requests that may leave the region of their object's home for lack of room.
_SPILL_PART = 0.06

#: Part of the requests that may go to a near target that is cold for them, to make it warm.
_INVESTED_PART = 0.2

#: Bodies of at least this size are worth a target of the own domain that is warm for them.
_WORTHWHILE_BYTES = 1500

#: Part of the slots of a near target up to which it is made warm for further objects.
_INVESTED_UTILIZATION = 0.6

#: Seconds of delay that are accepted to stay in the own domain or region.
_OTHER_DOMAIN_COST = 0.02
_OTHER_REGION_COST = 0.02


class Selection:
    """Places requests of callers at this VM.

    Every object has a home among all targets, which every VM computes alike, so that at first
    one target becomes warm for it. As room allows, each domain makes a target of its own warm for
    the objects that its callers ask for, and then stays there.
    """

    def __init__(self, state: GatewayState, round_trips: RoundTrips, random: Random) -> None:
        self._state = state
        self._round_trips = round_trips
        self._random = random
        self._spilled = PartBudget(_SPILL_PART)
        self._invested = PartBudget(_INVESTED_PART)

    def count_request(self) -> None:
        """Count a caller's request."""
        now = self._state.clock.now()
        self._spilled.count_request(now)
        self._invested.count_request(now)

    def select(
        self,
        route: Route,
        service: str,
        key: str,
        elapsed: float,
        left: float,
        tried: Collection[str] = (),
    ) -> Placed | Refused:
        """Choose the target of a request.

        :param key: the object that the request is about; empty if there is none
        :param elapsed: seconds since the caller began to wait
        :param left: seconds until the caller or the route gives up
        :param tried: names of targets that are not to be used
        """
        usable = self._usable(route, service, tried)
        if not usable:
            return Refused(None)
        home = self._home(route, service, key, usable)
        request = _Request(route, service, key, elapsed, left)
        chosen = self._cheapest(
            request, [target for target in usable if target.region == home.region], home
        )
        if isinstance(chosen, Placed):
            return chosen
        others = [target for target in usable if target.region != home.region]
        if not others:
            return chosen
        elsewhere = self._cheapest(request, others, home)
        if isinstance(elsewhere, Refused) or not self._spilled.take(self._state.clock.now()):
            return chosen
        return elsewhere

    def _home(
        self, route: Route, service: str, key: str, usable: list[RegisteredTarget]
    ) -> RegisteredTarget:
        """Return the target that should serve an object of this domain's callers.

        That is the one of the own domain, or the one that all domains have in common, if it is
        warm for the object; else any that is warm, unless this request is to warm a better one.
        """
        by_name = {target.name: target for target in usable}
        key = key or f"{self._random.random():f}"
        common = by_name[preferred(key, tuple(by_name))]
        local = self._local(service, key, by_name)
        warm = self._warm(key, usable)
        wanted = common if local is None else local
        if not warm:
            return common
        if wanted in warm:
            return wanted
        if route.idempotent and self._worth_warming(service, wanted):
            return wanted
        if common in warm:
            return common
        return by_name[preferred(key, tuple(target.name for target in warm))]

    def _local(
        self, service: str, key: str, by_name: dict[str, RegisteredTarget]
    ) -> RegisteredTarget | None:
        """Return the target of the own domain that an object prefers, if it should stay there."""
        domain = self._state.settings.domain
        near = tuple(name for name, target in by_name.items() if target.domain == domain)
        if not near or key_position(service, key) >= self._state.service(service).kept.share:
            return None
        return by_name[preferred(key, near)]

    def _warm(self, key: str, usable: list[RegisteredTarget]) -> list[RegisteredTarget]:
        """Return the targets that are warm for an object, the near ones only if there are any."""
        code = short_hash(key)
        warm = [target for target in usable if self._state.stats(target.name).warm(code)]
        region = self._state.settings.region
        return [target for target in warm if target.region == region] or warm

    def _worth_warming(self, service: str, target: RegisteredTarget) -> bool:
        """Return whether a target should become warm for an object for which others are."""
        state = self._state
        if state.service(service).times.mean_bytes < _WORTHWHILE_BYTES:
            return False
        if state.running(target.name) > _INVESTED_UTILIZATION * target.slots:
            return False
        return self._invested.take(state.clock.now())

    def _cheapest(
        self, request: _Request, targets: list[RegisteredTarget], home: RegisteredTarget
    ) -> Placed | Refused:
        state = self._state
        now = state.clock.now()
        key = short_hash(request.key)
        candidates = []
        for target in targets:
            stats = state.stats(target.name)
            stats.decay(now)
            candidates.append(
                Candidate(
                    target,
                    stats,
                    state.running(target.name),
                    target is home or stats.warm(key),
                    self._round_trips.seconds(target.domain),
                    self._distance_cost(target),
                )
            )
        route = request.route
        aim = route.target_latency.total_seconds()
        times = state.service(request.service).times
        return cheapest(
            candidates,
            WorkTimes(times.warm(aim), times.cold(aim)),
            lambda work: longest_wait(route, request.elapsed, request.left, work),
        )

    def _distance_cost(self, target: RegisteredTarget) -> float:
        settings = self._state.settings
        if target.domain == settings.domain:
            return 0.0
        return _OTHER_DOMAIN_COST if target.region == settings.region else _OTHER_REGION_COST

    def _usable(self, route: Route, service: str, tried: Collection[str]) -> list[RegisteredTarget]:
        """Return the targets that may get a request."""
        allowed = route.allowed_regions
        usable = self._state.usable(service, self._state.clock.now())
        if not tried and not allowed:
            return usable
        return [
            target
            for target in usable
            if target.name not in tried and (not allowed or target.region in allowed)
        ]


@attrs.frozen
class _Request:
    """What a choice depends on beside the targets."""

    route: Route
    service: str
    key: str
    elapsed: float
    left: float
