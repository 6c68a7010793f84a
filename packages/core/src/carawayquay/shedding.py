"""Load shedding: refuses requests whose queueing time would let them miss what they are due."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["MAX_QUEUED", "RunTimeMeans", "wait_estimate", "waited_too_long"]

#: Maximum queue depth per service at one VM, in requests.
MAX_QUEUED = 256

#: Weight of the newest run time in the moving average.
_EWMA_WEIGHT = 0.1

_FIRST_ESTIMATE = timedelta(milliseconds=20)

#: Part of its target latency that a request may wait before a VM has time to read it.
_MAX_WAIT_SHARE = 0.5


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


def waited_too_long(waited: timedelta, target_latency: timedelta) -> bool:
    """Return whether a request is refused at a VM that had no time for it when it arrived.

    Refusing it takes a fraction of the time of forwarding it, so that others wait less.

    :param waited: time from its arrival until the VM had time to read it
    :param target_latency: latency up to which its answer is of full use

    >>> waited_too_long(timedelta(milliseconds=300), timedelta(milliseconds=500))
    True
    """
    return waited > target_latency * _MAX_WAIT_SHARE
