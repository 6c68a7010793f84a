"""How fast and how reliably each target answers, as this process saw it."""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta

import attrs

__all__ = ["ServiceTimes", "TargetStats"]

_WEIGHT = 0.2

#: Time in which half of what was learned of a target's speed and failures is forgotten.
_HALF_LIFE = timedelta(seconds=4)

#: Service time that is assumed before the first answer, in seconds.
_FIRST_GUESS = 0.1

#: How many times slower a target handles an object that it has not handled lately, at first.
_COLD_FACTOR = 3.0

_WARM_KEYS = 256
_MAX_SLOWNESS = 30.0

#: Failures in a row after which a target is left alone for a while.
_EJECT_AFTER = 3
_EJECT_FOR = timedelta(seconds=1)


class ServiceTimes:
    """Service times of one service over all its targets, in seconds without queueing."""

    def __init__(self) -> None:
        self._warm: float | None = None
        self._cold: float | None = None

    @property
    def warm(self) -> float:
        """Seconds for an object that the target handled lately."""
        if self._warm is not None:
            return self._warm
        return self._cold / _COLD_FACTOR if self._cold is not None else _FIRST_GUESS

    @property
    def cold(self) -> float:
        """Seconds for an object that the target did not handle lately."""
        return max(self.warm, self._cold if self._cold is not None else self.warm * _COLD_FACTOR)

    def record(self, seconds: float, *, warm: bool) -> None:
        """Take the service time of one request."""
        if warm:
            self._warm = seconds if self._warm is None else _mixed(self._warm, seconds, 0.02)
        else:
            self._cold = seconds if self._cold is None else _mixed(self._cold, seconds, 0.05)


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
    _warm_keys: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    def warm(self, key: str) -> bool:
        """Return whether this process sent an object there lately."""
        return key in self._warm_keys

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

    def succeeded(self, key: str, seconds: float, expected: float, now: timedelta) -> None:
        """Take a good answer.

        :param seconds: service time without queueing
        :param expected: what a target of the service takes as a rule
        """
        self.decay(now)
        ratio = min(_MAX_SLOWNESS, max(0.2, seconds / max(expected, 0.001)))
        self.slowness = _mixed(self.slowness, ratio, _WEIGHT)
        self.failure_rate = _mixed(self.failure_rate, 0.0, _WEIGHT)
        self.failures_in_row = 0
        self._warm_keys[key] = None
        self._warm_keys.move_to_end(key)
        if len(self._warm_keys) > _WARM_KEYS:
            self._warm_keys.popitem(last=False)

    def failed(self, now: timedelta) -> None:
        """Take a failure, and leave the target alone after several in a row."""
        self.decay(now)
        self.failure_rate = _mixed(self.failure_rate, 1.0, _WEIGHT)
        self.failures_in_row += 1
        if self.failures_in_row >= _EJECT_AFTER:
            self.ejected_until = now + _EJECT_FOR

    def restarted(self) -> None:
        """Forget what a former incarnation was warm for."""
        self._warm_keys.clear()
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejected_until = timedelta()


def _mixed(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old)
