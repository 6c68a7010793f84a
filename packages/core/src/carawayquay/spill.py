"""Bounds the requests that leave their region for lack of room, so that no region's share jumps."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

__all__ = ["SpillBudget"]

_WINDOW = timedelta(seconds=2)

#: Part of the requests of a window that may leave.
_MOST_PART = 0.06


class SpillBudget:
    """Counts all requests of a VM and those that left their region, within a window."""

    def __init__(self) -> None:
        self._requests: deque[timedelta] = deque()
        self._spilled: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a request."""
        self._requests.append(now)
        _expire(self._requests, now)

    def take(self, now: timedelta) -> bool:
        """Let one request leave its region; return False if too many have left."""
        _expire(self._requests, now)
        _expire(self._spilled, now)
        if len(self._spilled) + 1 > _MOST_PART * len(self._requests):
            return False
        self._spilled.append(now)
        return True


def _expire(times: deque[timedelta], now: timedelta) -> None:
    while times and now - times[0] > _WINDOW:
        times.popleft()
