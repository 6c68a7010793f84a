"""A retry budget per service, divided among all processes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["RetryBudget"]

#: Fraction of the budget that is used, as others count the same requests later, in other windows.
_SAFETY_FACTOR = 0.8


class RetryBudget:
    """Limits the retries of one service to a ratio of its requests plus a share of an allowance.

    Each process counts its own requests, and only the allowance is divided, so that the total over
    all processes stays within the global budget without coordination.

    :param window: length of the sliding window
    :param ratio: retries per request in the window
    :param allowance: further retries in the window, over all processes
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
        """Spend one retry; return False if the budget is exhausted.

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
