"""Limits requests of one kind, such as spill-over, to a ratio of all requests of a VM."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

__all__ = ["RatioBudget"]

_WINDOW = timedelta(seconds=2)


class RatioBudget:
    """A budget for requests of one kind, as a ratio of all requests in a sliding window.

    :param max_ratio: maximum ratio of admitted requests to all requests, 0 to 1
    """

    def __init__(self, max_ratio: float) -> None:
        self._max_ratio = max_ratio
        self._requests: deque[timedelta] = deque()
        self._admitted: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a request of any kind, which raises the budget."""
        self._requests.append(now)
        _expire(self._requests, now)

    def take(self, now: timedelta) -> bool:
        """Admit one request of the limited kind; return False if that would exceed the ratio."""
        _expire(self._requests, now)
        _expire(self._admitted, now)
        if len(self._admitted) + 1 > self._max_ratio * len(self._requests):
            return False
        self._admitted.append(now)
        return True


def _expire(times: deque[timedelta], now: timedelta) -> None:
    while times and now - times[0] > _WINDOW:
        times.popleft()
