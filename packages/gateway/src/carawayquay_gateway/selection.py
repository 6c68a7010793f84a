"""Selects the region and the target of a request from the state of the moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.placement import Candidate, Placed, Placement, Refused, key_position
from carawayquay.refusals import longest_wait
from carawayquay.spill import SpillBudget

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.routes import Route
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState

__all__ = ["Selection"]


class Selection:
    """Places requests of callers at this VM."""

    def __init__(self, state: GatewayState, round_trips: RoundTrips, random: Random) -> None:
        self._state = state
        self._random = random
        self._placement = Placement(state.settings.domain, round_trips.seconds)
        self._spill = SpillBudget()

    def count_request(self) -> None:
        """Count a caller's request, of which a part may leave the region."""
        self._spill.count_request(self._state.clock.now())

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
        by_region = self._usable(route, service, tried)
        if not by_region:
            return Refused(None)
        home = self._home_region(service, key, by_region)
        chosen = self._place(route, service, key, by_region[home], elapsed, left)
        if isinstance(chosen, Placed) or len(by_region) == 1:
            return chosen
        return self._place_elsewhere(route, service, key, by_region, home, elapsed, left, chosen)

    def _place_elsewhere(
        self,
        route: Route,
        service: str,
        key: str,
        by_region: dict[str, list[RegisteredTarget]],
        home: str,
        elapsed: float,
        left: float,
        refused: Refused,
    ) -> Placed | Refused:
        """Choose a target of another region, as far as requests may leave theirs."""
        best: Placed | None = None
        for region, targets in by_region.items():
            if region == home:
                continue
            placed = self._place(route, service, key, targets, elapsed, left)
            if isinstance(placed, Placed) and (best is None or placed.total < best.total):
                best = placed
        if best is None or not self._spill.take(self._state.clock.now()):
            return refused
        return best

    def _place(
        self,
        route: Route,
        service: str,
        key: str,
        targets: list[RegisteredTarget],
        elapsed: float,
        left: float,
    ) -> Placed | Refused:
        now = self._state.clock.now()
        candidates = []
        for target in targets:
            stats = self._state.stats(target.name)
            stats.decay(now)
            candidates.append(Candidate(target, stats, self._state.running(target.name)))
        times = self._state.service(service).times
        return self._placement.place(
            key, candidates, times, lambda work: longest_wait(route, elapsed, left, work)
        )

    def _usable(
        self, route: Route, service: str, tried: Collection[str]
    ) -> dict[str, list[RegisteredTarget]]:
        """Return the targets that may get a request, by region."""
        now = self._state.clock.now()
        by_region: dict[str, list[RegisteredTarget]] = {}
        for target in self._state.targets.ready(service):
            if target.name in tried:
                continue
            if route.allowed_regions and target.region not in route.allowed_regions:
                continue
            if self._state.may_use(target, now):
                by_region.setdefault(target.region, []).append(target)
        return by_region

    def _home_region(
        self, service: str, key: str, by_region: dict[str, list[RegisteredTarget]]
    ) -> str:
        """Return the region that serves an object of this region's callers."""
        position = key_position(service, key) if key else self._random.random()
        region = self._state.service(service).shares.region_at(position)
        if region in by_region:
            return region
        own = self._state.settings.region
        return own if own in by_region else min(by_region)
