"""Load shedding: estimates of queueing time, to refuse requests that would miss their deadline."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["MAX_QUEUED", "RunTimeMeans", "wait_estimate"]

#: Maximum queue depth per service at one VM, in requests.
MAX_QUEUED = 256

#: Weight of the newest run time in the moving average.
_EWMA_WEIGHT = 0.1

_FIRST_ESTIMATE = timedelta(milliseconds=20)


class RunTimeMeans:
    """Exponentially weighted moving averages of the run time, by service."""

    def __init__(self) -> None:
        self._means: dict[str, timedelta] = {}

    def mean_run_time(self, service: str) -> timedelta:
        """Return the average run time of a service, or a first estimate before any run."""
        return self._means.get(service, _FIRST_ESTIMATE)

    def record(self, service: str, took: timedelta) -> None:
        """Add the run time of one request."""
        mean = self._means.get(service)
        self._means[service] = took if mean is None else mean + (took - mean) * _EWMA_WEIGHT


def wait_estimate(queued: int, limit: int, mean_run_time: timedelta) -> timedelta:
    """Return the expected queueing time of a request.

    :param queued: queue depth ahead of the request
    :param limit: concurrency limit in requests
    :param mean_run_time: average run time of the service

    >>> wait_estimate(7, 4, timedelta(milliseconds=10)).total_seconds()
    0.02
    """
    return mean_run_time * (queued + 1) / max(1, limit)
