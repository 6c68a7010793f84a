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
    ranked_first,
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

#: Targets in an object's order that are considered though they are not warm for it.
_CONSIDERED = 2

#: Part of the slots of a near target up to which it is made warm for further objects.
_INVESTED_UTILIZATION = 0.6

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
        region = self._state.settings.region
        own = [target for target in usable if target.region == region]
        others = [target for target in usable if target.region != region]
        request = _Request(route, service, key, elapsed, left)
        first, second = (own, others) if self._stays(request, own) else (others, own)
        if not first:
            return self._place(request, second)
        chosen = self._place(request, first)
        if isinstance(chosen, Placed) or not second:
            return chosen
        elsewhere = self._place(request, second)
        if isinstance(elsewhere, Refused) or not self._spilled.take(self._state.clock.now()):
            return chosen
        return elsewhere

    def _stays(self, request: _Request, own: list[RegisteredTarget]) -> bool:
        """Return whether an object's home is in the own region."""
        share = self._state.service(request.service).kept.share
        if not request.keyed:
            return self._random.random() < share
        if key_position(request.service, request.key) >= share:
            return False
        return bool(own)

    def _place(self, request: _Request, targets: list[RegisteredTarget]) -> Placed | Refused:
        """Choose among the targets of the region, or the regions, that are to serve a request."""
        if not request.keyed:
            return self._cheapest(request, targets, frozenset())
        by_name = {target.name: target for target in targets}
        order = ranked_first(request.key, tuple(by_name), _CONSIDERED)
        code = short_hash(request.key)
        warm = {name for name in by_name if self._state.stats(name).warm(code)}
        home = self._home(request, by_name, order[0], warm)
        names = {home, *order, *warm}
        considered = [by_name[name] for name in by_name if name in names]
        return self._cheapest(request, considered, warm or frozenset({home}), home)

    def _home(
        self,
        request: _Request,
        by_name: dict[str, RegisteredTarget],
        common: str,
        warm: Collection[str],
    ) -> str:
        """Return the target that should serve an object.

        The common one is used where it is not warm too, so that targets that join get a part.

        :param common: the one that all VMs prefer for it
        :param warm: those that are warm for it
        """
        domain = self._state.settings.domain
        near = tuple(name for name, target in by_name.items() if target.domain == domain)
        local = ranked_first(request.key, near, 1)[0] if near else common
        if not warm:
            return common
        if local in warm:
            return local
        if request.route.idempotent and self._worth_warming(request.service, by_name[local]):
            return local
        return common

    def _worth_warming(self, service: str, target: RegisteredTarget) -> bool:
        """Return whether a target should become warm for an object for which others are."""
        state = self._state
        if state.service(service).times.mean_bytes < _WORTHWHILE_BYTES:
            return False
        if state.running(target.name) > _INVESTED_UTILIZATION * target.slots:
            return False
        return self._invested.take(state.clock.now())

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
        aim = route.target_latency.total_seconds()
        times = state.service(request.service).times
        return cheapest(
            candidates,
            WorkTimes(times.warm(aim), times.cold(aim), times.mean(aim)),
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

    @property
    def keyed(self) -> bool:
        """Whether it matters which target has handled the object."""
        return bool(self.key) and self.route.sticky
