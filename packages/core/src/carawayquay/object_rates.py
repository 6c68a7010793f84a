"""Estimates how often each object is requested at one VM."""

from __future__ import annotations

import math
from collections import OrderedDict
from datetime import timedelta

import attrs

__all__ = ["ObjectRates"]

#: Half-life of the count of an object's requests.
_HALF_LIFE = timedelta(seconds=3)

#: Maximum number of counted objects; the one that was not requested for the longest time is
#: evicted. A popular object is requested every few seconds at each VM.
_MAX_OBJECTS = 1024


@attrs.define
class _Count:
    """An exponentially decaying count of requests at a time."""

    value: float
    at: timedelta

    def decayed(self, now: timedelta) -> float:
        return self.value * 0.5 ** (max(timedelta(), now - self.at) / _HALF_LIFE)


class ObjectRates:
    """Decaying request counts of the objects requested lately; objects are keyed by short hash."""

    def __init__(self) -> None:
        self._counts: OrderedDict[int, _Count] = OrderedDict()

    def count(self, key: int, now: timedelta) -> None:
        """Count a request for an object."""
        found = self._counts.pop(key, None)
        value = 0.0 if found is None else found.decayed(now)
        self._counts[key] = _Count(value + 1, now)
        if len(self._counts) > _MAX_OBJECTS:
            self._counts.popitem(last=False)

    def rate(self, key: int, now: timedelta) -> float:
        """Return a low estimate of the requests/s for an object over the last seconds.

        It is one standard deviation below the mean: one of 102 VMs that multiplied a single request
        by the number of VMs would take any object for a popular one.
        """
        found = self._counts.get(key)
        if found is None:
            return 0.0
        value = found.decayed(now)
        low = max(0.0, value - math.sqrt(value))
        return low * math.log(2) / _HALF_LIFE.total_seconds()
