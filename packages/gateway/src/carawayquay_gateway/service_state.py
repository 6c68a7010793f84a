"""Statistics, local share and retry budget of one service."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.local_share import LocalShare
from carawayquay.priority_mix import PriorityMix
from carawayquay.request_growth import RequestGrowth
from carawayquay.retry_budget import RetryBudget
from carawayquay.target_stats import ServiceTimes

if TYPE_CHECKING:
    from carawayquay_gateway.settings import GatewaySettings

__all__ = ["ASSUMED_LATENCY", "ServiceState"]

#: Assumed service time in seconds before the first answer of a service.
ASSUMED_LATENCY = 0.3

#: Sliding window for the request rate.
_RATE_WINDOW = timedelta(seconds=3)

#: Weight of a new sample in the moving average of in-flight requests.
_IN_FLIGHT_WEIGHT = 0.2


class ServiceState:
    """Statistics, local share and retry budget of one service at this VM."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.times = ServiceTimes()
        self.local_share = LocalShare()
        self.priorities = PriorityMix()
        self.retries = RetryBudget(
            settings.retry_window, settings.retry_ratio, settings.retry_allowance
        )
        self._arrivals: deque[timedelta] = deque()
        self._growth = RequestGrowth()
        self._mean_in_flight = 0.0

    def count_request(self, now: timedelta, priority: int = 0) -> None:
        """Count a caller's request.

        :param priority: that of its route, 0 the highest
        """
        self.priorities.count(priority, now)
        self._arrivals.append(now)
        self._growth.count(now)
        self.retries.count_request(now)

    def smooth_in_flight(self, requests: int) -> float:
        """Return the exponentially weighted moving average of the region's in-flight requests.

        :param requests: the requests in flight at the region's targets now, as a new sample
        """
        self._mean_in_flight += _IN_FLIGHT_WEIGHT * (requests - self._mean_in_flight)
        return self._mean_in_flight

    def rate(self, now: timedelta) -> float:
        """Return the requests/s over the sliding window."""
        _expire(self._arrivals, now)
        return len(self._arrivals) / _RATE_WINDOW.total_seconds()

    def growth(self, now: timedelta) -> float:
        """Return the latest request rate relative to that of the seconds before, from 1."""
        return self._growth.growth(now)


def _expire(times: deque[timedelta], now: timedelta) -> None:
    while times and now - times[0] > _RATE_WINDOW:
        times.popleft()
