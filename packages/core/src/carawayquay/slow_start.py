"""Slow start of a region that was idle for a service and takes traffic from other regions."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["SlowStart"]

#: Time without a completed request after which a service is cold again.
_COLD_AFTER = timedelta(seconds=60)

#: Minimum number of completed requests per slot until a service is warm.
_REQUESTS_PER_SLOT = 8


class SlowStart:
    """Limits the slots offered to other regions while the caches of the owned targets warm up.

    The limit grows with completed requests, and no faster than the document's warm-up time.
    """

    def __init__(self) -> None:
        self._completed = 0
        self._started: timedelta | None = None
        self._last: timedelta | None = None

    def record_completion(self, now: timedelta) -> None:
        """Count a completed request; the first one after an idle time starts a new ramp."""
        if self._last is None or self._started is None or now - self._last > _COLD_AFTER:
            self._started = now
            self._completed = 0
        self._completed += 1
        self._last = now

    def offered(self, limit: int, warm_up: timedelta, now: timedelta) -> int:
        """Return how many slots may be offered, at least 1 if the limit is not 0.

        :param limit: slots that may be offered when warm
        :param warm_up: minimum time in which a cold target becomes warm
        """
        if warm_up <= timedelta():
            return limit
        warmth = self._warmth(limit, warm_up, now)
        return min(limit, 1 + int((limit - 1) * warmth)) if limit > 0 else 0

    def _warmth(self, limit: int, warm_up: timedelta, now: timedelta) -> float:
        if self._started is None or self._last is None or now - self._last > _COLD_AFTER:
            return 0.0
        by_time = (now - self._started) / warm_up
        by_requests = self._completed / (_REQUESTS_PER_SLOT * max(1, limit))
        return min(1.0, by_time, by_requests)
