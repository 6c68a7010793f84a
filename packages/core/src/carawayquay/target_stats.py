"""How fast and how reliably each target answers, as this process saw it."""

from __future__ import annotations

from datetime import timedelta

import attrs

__all__ = ["ServiceTimes", "TargetStats"]

_EWMA_WEIGHT = 0.2
_SERVICE_TIME_WEIGHT = 0.05
_SLOWER_WEIGHT = 0.01

#: Time in which half of what was learned of a target's speed and failures is forgotten.
_HALF_LIFE = timedelta(seconds=4)

#: How many times slower a target handles an object that it has not handled lately, at first.
_COLD_FACTOR = 3.3

#: How long what a target said of its load is better known than the counts of other VMs.
_LOAD_LIFETIME = timedelta(milliseconds=250)
_MAX_SLOWNESS = 30.0
_MIN_SLOWNESS = 0.3

#: Failures in a row after which a target is left alone for a while.
_EJECT_AFTER = 3
_EJECT_FOR = timedelta(seconds=1)


class ServiceTimes:
    """Service times and sizes of one service over all its targets, without queueing."""

    def __init__(self) -> None:
        self._warm: float | None = None
        self._cold: float | None = None
        self._mean: float | None = None
        self._bytes = 0.0

    @property
    def mean_bytes(self) -> float:
        """Bytes of the bodies of a request and its answer."""
        return self._bytes

    def warm(self, target_latency: float) -> float:
        """Return the seconds for an object that the target handled lately.

        :param target_latency: seconds, from which the first guess is made
        """
        if self._warm is not None:
            return self._warm
        return self.cold(target_latency) / _COLD_FACTOR

    def cold(self, target_latency: float) -> float:
        """Return the seconds for an object that the target did not handle lately."""
        if self._cold is not None:
            return max(self._cold, self._warm or 0.0)
        return target_latency if self._warm is None else self._warm * _COLD_FACTOR

    def mean(self, target_latency: float) -> float:
        """Return the seconds for objects as they come, warm or not."""
        return self.warm(target_latency) if self._mean is None else self._mean

    def record_any(self, seconds: float) -> None:
        """Take the service time of any request."""
        self._mean = _ewma(self._mean, seconds, _SERVICE_TIME_WEIGHT)

    def record(self, seconds: float, *, warm: bool) -> None:
        """Take the service time of one request that did not queue."""
        if warm:
            # The target may have forgotten the object since, which must not count as warm.
            slower = self._warm is not None and seconds > self._warm
            self._warm = _ewma(
                self._warm, seconds, _SLOWER_WEIGHT if slower else _SERVICE_TIME_WEIGHT
            )
        else:
            self._cold = _ewma(self._cold, seconds, _SERVICE_TIME_WEIGHT)

    def record_bytes(self, size: int) -> None:
        """Take the size of the bodies of one request and its answer."""
        self._bytes = _ewma(self._bytes or None, size, _SERVICE_TIME_WEIGHT)


@attrs.define
class TargetStats:
    """What this process learned of one target.

    :param running: requests that this process has in flight there
    :param slowness: its service time relative to that of its service
    :param failure_rate: fraction of late requests that failed
    """

    running: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejected_until: timedelta = timedelta()
    updated: timedelta = timedelta()
    _other_requests: int = 0
    _other_requests_until: timedelta = timedelta()

    def report_load(self, requests: int, now: timedelta) -> None:
        """Take how many requests the target says that it has, from all VMs."""
        self._other_requests = max(0, requests - self.running)
        self._other_requests_until = now + _LOAD_LIFETIME

    def other_requests(self, now: timedelta) -> int | None:
        """Return the requests of other VMs that the target had just now, None if unknown."""
        return self._other_requests if now < self._other_requests_until else None

    def usable(self, now: timedelta) -> bool:
        """Return whether the target is not left alone for its failures."""
        return now >= self.ejected_until

    def decay(self, now: timedelta) -> None:
        """Forget a part of what was learned, by the time since then."""
        elapsed = now - self.updated
        if elapsed <= timedelta():
            return
        kept = 0.5 ** (elapsed / _HALF_LIFE)
        self.slowness = 1.0 + (self.slowness - 1.0) * kept
        self.failure_rate *= kept
        self.updated = now

    def succeeded(self, now: timedelta) -> None:
        """Take a good answer."""
        self.decay(now)
        self.failure_rate = _ewma(self.failure_rate, 0.0, _EWMA_WEIGHT)
        self.failures_in_row = 0

    def record_speed(self, seconds: float, expected: float) -> None:
        """Take how long a request took, without queueing.

        :param expected: what a target of the service takes as a rule
        """
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, seconds / max(expected, 0.001)))
        self.slowness = _ewma(self.slowness, ratio, _EWMA_WEIGHT)

    def shed(self, now: timedelta) -> None:
        """Take a failure that the target answered itself, so that it lives and works."""
        self.decay(now)
        self.failure_rate = _ewma(self.failure_rate, 1.0, _EWMA_WEIGHT)

    def failed(self, now: timedelta) -> None:
        """Take that no answer came, and leave the target alone after several in a row."""
        self.shed(now)
        self.failures_in_row += 1
        if self.failures_in_row >= _EJECT_AFTER:
            self.ejected_until = now + _EJECT_FOR

    def restarted(self) -> None:
        """Forget what was learned of a former incarnation."""
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejected_until = timedelta()


def _ewma(old: float | None, new: float, weight: float) -> float:
    return new if old is None else old + weight * (new - old)
