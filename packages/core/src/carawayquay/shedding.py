"""Early refusal of requests that would wait past their deadline."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["MAX_QUEUED", "RunTimeMeans", "wait_estimate"]

#: So many requests of a service wait at one VM for a slot.
MAX_QUEUED = 256

#: Weight of the newest run in the running mean.
_EWMA_WEIGHT = 0.1

_FIRST_ESTIMATE = timedelta(milliseconds=20)


class RunTimeMeans:
    """How long the requests of each service take on their targets, as running means."""

    def __init__(self) -> None:
        self._means: dict[str, timedelta] = {}

    def mean_run_time(self, service: str) -> timedelta:
        """Return the running mean of a service."""
        return self._means.get(service, _FIRST_ESTIMATE)

    def record(self, service: str, took: timedelta) -> None:
        """Note how long one request took."""
        mean = self._means.get(service)
        self._means[service] = took if mean is None else mean + (took - mean) * _EWMA_WEIGHT


def wait_estimate(queued: int, limit: int, mean_run_time: timedelta) -> timedelta:
    """Return how long a request waits for a slot behind those that are queued.

    :param queued: requests that wait before it
    :param limit: requests that run at once
    :param typical: how long one of them runs

    >>> wait_estimate(7, 4, timedelta(milliseconds=10)).total_seconds()
    0.02
    """
    return mean_run_time * (queued + 1) / max(1, limit)
