"""The share of a region's requests that stay local, before the rest spills over."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["LocalShare", "RegionLoad", "desired_share"]

#: Utilization up to which a region serves all of its requests, however idle other regions are.
_LOCAL_UTILIZATION = 0.7

#: Ratio of a region's utilization to the mean of all regions above which requests spill over.
_SPILL_OVER_RATIO = 1.1

#: Utilization that is assumed before the first request, with equal demand in all regions.
_ASSUMED_UTILIZATION = 0.55

#: Maximum change of the share per second, unless the region has no capacity left.
_MAX_CHANGE_PER_SECOND = 0.04


@attrs.frozen
class RegionLoad:
    """Demand and capacity of one service, in the region and over all regions.

    :param demand: slots in use by requests of the region's callers
    :param capacity: slots of the region's usable targets
    :param all_demand: slots in use by requests of all regions' callers
    :param all_capacity: slots of the usable targets of all regions
    :param regions: the number of regions
    """

    demand: float
    capacity: float
    all_demand: float
    all_capacity: float
    regions: int = 1


def desired_share(load: RegionLoad) -> float:
    """Return the share of a region's requests that should stay local, 0 to 1.

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
    """The local share of one service, rate-limited except after a loss of all capacity."""

    def __init__(self) -> None:
        self._share: float | None = None
        self._updated: timedelta | None = None
        self._demand_seen = False

    @property
    def share(self) -> float:
        """The local share, 0 to 1."""
        return 1.0 if self._share is None else self._share

    def update(self, load: RegionLoad, now: timedelta) -> None:
        """Move the share towards the desired share for a load.

        Before the first demand the share follows an assumed demand, since targets register one
        after the other. In later periods without demand it does not change.
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
    """Return a load with the assumed utilization and equal demand in all regions."""
    demand = _ASSUMED_UTILIZATION * load.all_capacity
    return attrs.evolve(load, demand=demand / max(1, load.regions), all_demand=demand)
