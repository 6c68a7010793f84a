"""A process's share of the retries that all processes together may send to a service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["RetryBudget"]

#: Part of the allowed retries that is used, as requests of a window are counted later elsewhere.
_SAFETY_FACTOR = 0.8


class RetryBudget:
    """Allows retries of one service: a ratio of its requests and an equal share of an allowance.

    Each process counts its own requests and divides only the allowance, so the sum over all
    processes stays within the whole without a message.

    :param window: the span within which retries count
    :param ratio: retries for each request of the window
    :param allowance: further retries of all processes together in the window
    """

    def __init__(self, window: timedelta, ratio: float, allowance: float) -> None:
        self._window = window
        self._ratio = ratio
        self._allowance = allowance
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def count_request(self, now: timedelta) -> None:
        """Count a caller's request."""
        self._expire(self._requests, now)
        self._requests.append(now)

    def take(self, now: timedelta, processes: int) -> bool:
        """Take one retry; return False if none is left.

        :param processes: the number of processes that share the allowance
        """
        self._expire(self._requests, now)
        self._expire(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._allowance / max(1, processes)
        if len(self._retries) + 1 > allowed * _SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def _expire(self, times: deque[timedelta], now: timedelta) -> None:
        while times and now - times[0] > self._window:
            times.popleft()
