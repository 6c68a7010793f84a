"""The share of a region's requests that its own targets should serve, changed slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["LocalShare", "RegionLoad", "desired_share"]

#: Utilization up to which a region keeps its own requests however idle the others are.
_LOCAL_UTILIZATION = 0.7

#: Utilization over the mean of all regions at which requests leave their region.
_SPILL_OVER_RATIO = 1.1

#: Utilization that is assumed before any request was seen, the same demand in every region.
_ASSUMED_UTILIZATION = 0.55

#: Change of the share in a second while only traffic changes.
_MAX_CHANGE_PER_SECOND = 0.04


@attrs.frozen
class RegionLoad:
    """Demand and capacity of one service.

    :param demand: slots that the region's callers keep busy
    :param capacity: slots of its usable targets
    :param all_demand: slots that the callers of all regions keep busy
    :param all_capacity: slots of the usable targets of all regions
    :param regions: the number of regions
    """

    demand: float
    capacity: float
    all_demand: float
    all_capacity: float
    regions: int = 1


def desired_share(load: RegionLoad) -> float:
    """Return the share of a region's requests that its own targets should serve.

    >>> desired_share(RegionLoad(demand=10, capacity=10, all_demand=40, all_capacity=100))
    0.7
    >>> desired_share(RegionLoad(demand=5, capacity=10, all_demand=40, all_capacity=100))
    1.0
    """
    if load.capacity <= 0 or load.all_capacity <= 0:
        return 0.0
    limit = max(_LOCAL_UTILIZATION, _SPILL_OVER_RATIO * load.all_demand / load.all_capacity)
    if load.demand <= limit * load.capacity:
        return 1.0
    return limit * load.capacity / load.demand


class LocalShare:
    """The share of one service's requests; a loss of all capacity moves it at once."""

    def __init__(self) -> None:
        self._share: float | None = None
        self._updated: timedelta | None = None
        self._demand_seen = False

    @property
    def share(self) -> float:
        """The share, 0 to 1."""
        return 1.0 if self._share is None else self._share

    def update(self, load: RegionLoad, now: timedelta) -> None:
        """Move the share toward what the load asks for.

        Before anything was asked for, the share is that of an assumed demand, as targets register
        one after the other; while nothing is asked for later, it stays.
        """
        if load.all_demand <= 0:
            if not self._demand_seen and load.all_capacity > 0:
                self._share = desired_share(_assumed(load))
            self._updated = now
            return
        self._demand_seen = True
        desired = desired_share(load)
        if self._share is None or self._updated is None or desired == 0.0:
            self._share = desired
        else:
            step = _MAX_CHANGE_PER_SECOND * (now - self._updated).total_seconds()
            self._share += max(-step, min(step, desired - self._share))
        self._updated = now


def _assumed(load: RegionLoad) -> RegionLoad:
    """Return a load in which all regions ask for the same."""
    demand = _ASSUMED_UTILIZATION * load.all_capacity
    return attrs.evolve(load, demand=demand / max(1, load.regions), all_demand=demand)
