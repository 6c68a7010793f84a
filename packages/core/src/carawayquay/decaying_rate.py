"""An exponentially decaying estimate of the rate of events, in constant memory."""

from __future__ import annotations

import math
from datetime import timedelta

__all__ = ["DecayingRate"]


class DecayingRate:
    """Rate of events in events/s, in which an event's weight decays exponentially with its age.

    :param time_constant: age at which the weight of an event has decayed to 1/e

    >>> rate = DecayingRate(timedelta(seconds=2))
    >>> rate.count(timedelta(seconds=1))
    >>> rate.at(timedelta(seconds=1))
    0.5
    """

    def __init__(self, time_constant: timedelta) -> None:
        self._seconds = time_constant.total_seconds()
        self._rate = 0.0
        self._updated = timedelta()

    def at(self, now: timedelta) -> float:
        """Return the estimated rate in events/s."""
        if self._rate == 0.0:
            return 0.0
        return self._rate * math.exp((self._updated - now).total_seconds() / self._seconds)

    def count(self, now: timedelta, events: int = 1) -> None:
        """Count events that happened now."""
        self._rate = self.at(now) + events / self._seconds
        self._updated = now
