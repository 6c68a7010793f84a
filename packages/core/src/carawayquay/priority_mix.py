"""How the requests for a service are divided among the priorities of its routes."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.decaying_rate import DecayingRate

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PriorityFractions", "PriorityMix"]

#: Time constant of the rate of each priority.
_MIX_TIME = timedelta(seconds=3)

#: Fraction of a share that every priority gets, so that none is starved.
_EQUAL_FRACTION = 0.5


@attrs.frozen
class PriorityFractions:
    """The place of one priority among the requests for a service.

    :param higher: fraction of the requests with a higher priority, 0 to 1
    :param equal: fraction of the requests with the same priority, 0 to 1
    """

    higher: float = 0.0
    equal: float = 1.0

    def share(self, mean: float) -> float:
        """Return the fraction of this priority's requests to admit, higher priorities first.

        :param mean: fraction of all requests to admit, 0 to 1

        >>> PriorityFractions().share(0.4)
        0.4
        >>> high, low = PriorityFractions(0.0, 0.5), PriorityFractions(0.5, 0.5)
        >>> round(high.share(0.4), 2), round(low.share(0.4), 2)
        (0.6, 0.2)
        """
        least = _EQUAL_FRACTION * mean
        remaining = mean - least - self.higher * (1.0 - least)
        if self.equal <= 0.0 or remaining <= 0.0:
            return least
        return min(1.0, least + remaining / self.equal)


class PriorityMix:
    """The rates of the requests for one service by the priority of their routes, 0 the highest."""

    def __init__(self) -> None:
        self._rates: dict[int, DecayingRate] = {}

    def count(self, priority: int, now: timedelta) -> None:
        """Count a request."""
        if priority not in self._rates:
            self._rates[priority] = DecayingRate(_MIX_TIME)
        self._rates[priority].count(now)

    def fractions(self, priority: int, now: timedelta) -> PriorityFractions:
        """Return the place of a priority among the latest requests."""
        total = self._sum(self._rates, now)
        if total <= 0.0:
            return PriorityFractions()
        higher = self._sum((known for known in self._rates if known < priority), now)
        equal = self._sum((known for known in self._rates if known == priority), now)
        return PriorityFractions(higher / total, equal / total)

    def _sum(self, priorities: Iterable[int], now: timedelta) -> float:
        return sum(self._rates[priority].at(now) for priority in priorities)
