"""The share of a domain's requests that its own targets should serve, changed slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["DomainLoad", "KeptShare", "wanted_share"]

#: Utilization up to which a domain keeps its own requests however idle the others are.
_KEPT_UTILIZATION = 0.7

#: Utilization over the mean of all domains at which requests leave their domain.
_MARGIN = 1.1

#: Change of the share in a second while only traffic changes.
_SLEW_PER_SECOND = 0.04


@attrs.frozen
class DomainLoad:
    """Demand and capacity of one service.

    :param demand: slots that the domain's callers keep busy
    :param capacity: slots of its usable targets
    :param all_demand: slots that the callers of all domains keep busy
    :param all_capacity: slots of the usable targets of all domains
    """

    demand: float
    capacity: float
    all_demand: float
    all_capacity: float


def wanted_share(load: DomainLoad) -> float:
    """Return the share of a domain's requests that its own targets should serve.

    >>> wanted_share(DomainLoad(demand=10, capacity=10, all_demand=40, all_capacity=100))
    0.7
    >>> wanted_share(DomainLoad(demand=5, capacity=10, all_demand=40, all_capacity=100))
    1.0
    """
    if load.capacity <= 0 or load.all_capacity <= 0:
        return 0.0
    limit = max(_KEPT_UTILIZATION, _MARGIN * load.all_demand / load.all_capacity)
    if load.demand <= limit * load.capacity:
        return 1.0
    return limit * load.capacity / load.demand


class KeptShare:
    """The share of one service's requests; a loss of all capacity moves it at once."""

    def __init__(self) -> None:
        self._share: float | None = None
        self._updated: timedelta | None = None

    @property
    def share(self) -> float:
        """The share, 0 to 1."""
        return 1.0 if self._share is None else self._share

    def update(self, load: DomainLoad, now: timedelta) -> None:
        """Move the share toward what the load asks for."""
        wanted = wanted_share(load)
        if self._share is None or self._updated is None or wanted == 0.0:
            self._share = wanted
        else:
            step = _SLEW_PER_SECOND * (now - self._updated).total_seconds()
            self._share += max(-step, min(step, wanted - self._share))
        self._updated = now
