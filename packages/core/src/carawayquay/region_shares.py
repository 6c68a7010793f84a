"""The shares of a region's requests that each region serves, changed slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import timedelta

__all__ = ["RegionLoad", "RegionShares", "divide"]

#: Utilization up to which a region keeps its own requests however idle the others are.
_KEPT_UTILIZATION = 0.75

#: Further utilization, over the mean of all regions, before requests leave their region.
_MARGIN = 1.08

#: Utilization that is assumed before any request was seen.
_ASSUMED_UTILIZATION = 0.6

#: Change of a share in a second while only traffic changes.
_SLEW_PER_SECOND = 0.03


@attrs.frozen
class RegionLoad:
    """Demand and capacity of one service in one region.

    :param demand: slots that its callers keep busy
    :param capacity: slots of its usable targets
    """

    demand: float
    capacity: float


def divide(region: str, loads: Mapping[str, RegionLoad]) -> dict[str, float]:
    """Return the share of a region's requests that each region should serve.

    A region serves its own requests up to a utilization that all regions have in common; what is
    over goes to the regions with room, in proportion to their room.

    >>> loads = {"a": RegionLoad(30, 20), "b": RegionLoad(10, 60)}
    >>> {name: round(share, 2) for name, share in divide("a", loads).items()}
    {'a': 0.5, 'b': 0.5}
    """
    capacity = sum(load.capacity for load in loads.values())
    if capacity <= 0:
        return {}
    demand = sum(load.demand for load in loads.values())
    limit = max(_KEPT_UTILIZATION, _MARGIN * demand / capacity)
    own = loads.get(region, RegionLoad(0, 0))
    kept = 1.0
    if own.demand > limit * own.capacity:
        kept = limit * own.capacity / own.demand
    elif own.capacity <= 0:
        kept = 0.0
    shares = {region: kept} if kept > 0 else {}
    room = {
        name: max(0.0, limit * load.capacity - load.demand)
        for name, load in loads.items()
        if name != region
    }
    whole = sum(room.values())
    if kept < 1.0 and whole > 0:
        for name, part in room.items():
            if part > 0:
                shares[name] = (1.0 - kept) * part / whole
    if not shares:
        shares = {name: load.capacity / capacity for name, load in loads.items() if load.capacity}
    return shares


class RegionShares:
    """The shares of one service's requests of one region.

    Changes of demand move a share slowly; a loss of capacity moves it at once, since the
    requests have nowhere else to go.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._shares: dict[str, float] = {}
        self._capacities: dict[str, float] = {}
        self._updated: timedelta | None = None

    @property
    def shares(self) -> Mapping[str, float]:
        """The share of each region that serves any of the requests."""
        return self._shares

    def update(self, loads: Mapping[str, RegionLoad], now: timedelta) -> None:
        """Move the shares toward what the loads ask for."""
        capacities = {name: load.capacity for name, load in loads.items() if load.capacity > 0}
        if not any(load.demand > 0 for load in loads.values()):
            loads = _assumed(loads)
        wanted = divide(self._region, loads)
        lost = any(
            share > 0 and capacities.get(name, 0) <= 0 for name, share in self._shares.items()
        )
        if not self._shares or lost or self._updated is None:
            self._shares = wanted
        else:
            seconds = (now - self._updated).total_seconds()
            self._shares = _approach(self._shares, wanted, _SLEW_PER_SECOND * seconds)
        self._capacities = capacities
        self._updated = now

    def region_at(self, position: float) -> str | None:
        """Return the region that serves a position between 0 and 1, or None if there is none.

        The own region serves the lowest positions, so that a change moves few objects.
        """
        if position < self._shares.get(self._region, 0.0):
            return self._region
        edge = self._shares.get(self._region, 0.0)
        last = self._region if edge > 0 else None
        for name in sorted(self._shares):
            if name == self._region:
                continue
            edge += self._shares[name]
            last = name
            if position < edge:
                return name
        return last


def _assumed(loads: Mapping[str, RegionLoad]) -> dict[str, RegionLoad]:
    """Return loads in which all regions ask for the same, before any request was seen."""
    capacity = sum(load.capacity for load in loads.values())
    each = _ASSUMED_UTILIZATION * capacity / max(1, len(loads))
    return {name: RegionLoad(each, load.capacity) for name, load in loads.items()}


def _approach(
    shares: Mapping[str, float], wanted: Mapping[str, float], step: float
) -> dict[str, float]:
    """Return shares moved toward others, the sum of what moves at most a step."""
    names = set(shares) | set(wanted)
    moved = sum(max(0.0, wanted.get(name, 0.0) - shares.get(name, 0.0)) for name in names)
    part = 1.0 if moved <= step else step / moved
    result = {}
    for name in names:
        now = shares.get(name, 0.0)
        share = now + part * (wanted.get(name, 0.0) - now)
        if share > 0:
            result[name] = share
    return result
