"""Service times and failure rates of targets, as measured by this process."""

from __future__ import annotations

import math
from datetime import timedelta

import attrs

__all__ = ["ServiceTimes", "TargetStats", "mean_time_factor"]

#: Weights of the newest sample in the moving averages: of slowness and failure rate, of service
#: times and sizes, and of a warm service time that is above the average.
_EWMA_WEIGHT = 0.2
_SERVICE_TIME_WEIGHT = 0.05
_SLOWER_WEIGHT = 0.01

#: Half-life of a target's slowness and failure rate.
_HALF_LIFE = timedelta(seconds=4)

#: Ratio of cold to warm service time, until both were measured.
_COLD_FACTOR = 3.3

#: Time for which the load reported by a target takes precedence over the counts of other VMs.
_LOAD_LIFETIME = timedelta(milliseconds=250)

#: Half-life of the time factor that a target reported, which changes several times a second.
_TIME_FACTOR_HALF_LIFE = timedelta(milliseconds=100)

#: Age from which a reported time factor is ignored, when a sixteenth of its deviation is left.
_TIME_FACTOR_LIFETIME = timedelta(milliseconds=400)

#: Bounds of one sample of the slowness.
_MAX_SLOWNESS = 30.0
_MIN_SLOWNESS = 0.3

#: Consecutive failures after which a target is ejected, and the duration of the ejection.
_EJECT_AFTER = 3
_EJECT_FOR = timedelta(seconds=1)


class ServiceTimes:
    """Moving averages of service times, without queueing, and of body sizes for one service."""

    def __init__(self) -> None:
        self._warm: float | None = None
        self._cold: float | None = None
        self._mean: float | None = None
        self._bytes = 0.0

    @property
    def mean_bytes(self) -> float:
        """Mean size in bytes of the bodies of a request and its answer together."""
        return self._bytes

    def warm(self, target_latency: float) -> float:
        """Return the service time in seconds for an object that the target handled recently.

        :param target_latency: seconds, from which the initial estimate is derived
        """
        if self._warm is not None:
            return self._warm
        return self.cold(target_latency) / _COLD_FACTOR

    def cold(self, target_latency: float) -> float:
        """Return the service time in seconds for an object not handled recently by the target."""
        if self._cold is not None:
            return max(self._cold, self._warm or 0.0)
        return target_latency if self._warm is None else self._warm * _COLD_FACTOR

    def mean(self, target_latency: float) -> float:
        """Return the mean service time in seconds over warm and cold objects."""
        return self.warm(target_latency) if self._mean is None else self._mean

    def record_any(self, seconds: float) -> None:
        """Add the service time of a request, warm or cold, to the mean."""
        self._mean = _ewma(self._mean, seconds, _SERVICE_TIME_WEIGHT)

    def record(self, seconds: float, *, warm: bool) -> None:
        """Add the service time of a request that did not queue to the warm or the cold average."""
        if warm:
            # The target may have evicted the object, which must not count as a warm service time.
            slower = self._warm is not None and seconds > self._warm
            self._warm = _ewma(
                self._warm, seconds, _SLOWER_WEIGHT if slower else _SERVICE_TIME_WEIGHT
            )
        else:
            self._cold = _ewma(self._cold, seconds, _SERVICE_TIME_WEIGHT)

    def record_bytes(self, size: int) -> None:
        """Add the size in bytes of the bodies of a request and its answer."""
        self._bytes = _ewma(self._bytes or None, size, _SERVICE_TIME_WEIGHT)


@attrs.define
class TargetStats:
    """Statistics of one target.

    :param running: requests that this process has in flight at the target
    :param slowness: service time of the target relative to the average of its service
    :param failure_rate: moving average of the fraction of requests that failed
    :param updated: time of the last decay
    """

    running: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejected_until: timedelta = timedelta()
    updated: timedelta = timedelta()
    _other_requests: int = 0
    _other_requests_until: timedelta = timedelta()
    _time_factor: float = 1.0
    _time_factor_since: timedelta = timedelta()

    def report_load(self, requests: int, now: timedelta) -> None:
        """Record the load that the target reported.

        :param requests: running and queued requests from all VMs
        """
        self._other_requests = max(0, requests - self.running)
        self._other_requests_until = now + _LOAD_LIFETIME

    def other_requests(self, now: timedelta) -> int | None:
        """Return the requests of other VMs by the last reported load, None if it has expired."""
        return self._other_requests if now < self._other_requests_until else None

    def report_time_factor(self, factor: float, now: timedelta) -> None:
        """Record the service time relative to the usual one that the target reported."""
        self._time_factor = factor
        self._time_factor_since = now

    def time_factor(self, now: timedelta) -> float:
        """Return the last reported time factor, which decays to 1 with its age."""
        age = max(timedelta(), now - self._time_factor_since)
        if self._time_factor == 1.0 or age >= _TIME_FACTOR_LIFETIME:
            return 1.0
        return 1.0 + (self._time_factor - 1.0) * 0.5 ** (age / _TIME_FACTOR_HALF_LIFE)

    def usable(self, now: timedelta) -> bool:
        """Return whether the target is not ejected."""
        return now >= self.ejected_until

    def decay(self, now: timedelta) -> None:
        """Decay slowness and failure rate by the time since the last decay."""
        elapsed = now - self.updated
        if elapsed <= timedelta():
            return
        kept = 0.5 ** (elapsed / _HALF_LIFE)
        self.slowness = 1.0 + (self.slowness - 1.0) * kept
        self.failure_rate *= kept
        self.updated = now

    def succeeded(self, now: timedelta) -> None:
        """Record an answered request."""
        self.decay(now)
        self.failure_rate = _ewma(self.failure_rate, 0.0, _EWMA_WEIGHT)
        self.failures_in_row = 0

    def record_speed(self, seconds: float, expected: float) -> None:
        """Record the service time of a request, without queueing.

        :param seconds: the measured service time
        :param expected: the average service time over the targets of the service, in seconds
        """
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, seconds / max(expected, 0.001)))
        self.slowness = _ewma(self.slowness, ratio, _EWMA_WEIGHT)

    def shed(self, now: timedelta) -> None:
        """Record a rejection or an error answer of the target, which never ejects it."""
        self.decay(now)
        self.failure_rate = _ewma(self.failure_rate, 1.0, _EWMA_WEIGHT)

    def failed(self, now: timedelta) -> None:
        """Record a request without an answer, and eject the target after several in a row."""
        self.shed(now)
        self.failures_in_row += 1
        if self.failures_in_row >= _EJECT_AFTER:
            self.ejected_until = now + _EJECT_FOR

    def end_ejection(self) -> None:
        """Use the target again, and forget the failures that ejected it."""
        self.failures_in_row = 0
        self.ejected_until = timedelta()

    def restarted(self) -> None:
        """Reset the statistics after a restart of the target."""
        self.slowness = 1.0
        self.failure_rate = 0.0
        self._time_factor = 1.0
        self.end_ejection()


def mean_time_factor(factor: float, seconds: float) -> float:
    """Return the estimated mean of a target's time factor over the work that ended with a report.

    The older a part of the work, the less the reported factor says about it. Estimates of 0.68 s
    of work that was divided by the last factor alone were a quarter too high.

    :param factor: the time factor that was reported at the end of the work
    :param seconds: duration of the work
    """
    half_lives = seconds / _TIME_FACTOR_HALF_LIFE.total_seconds()
    if half_lives <= 0:
        return factor
    return 1.0 + (factor - 1.0) * (1 - 0.5**half_lives) / (half_lives * math.log(2))


def _ewma(old: float | None, new: float, weight: float) -> float:
    return new if old is None else old + weight * (new - old)
