"""Monotonic clocks, passed in so that tests can control the time."""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """A monotonic clock, whose times are comparable only within one process."""

    def now(self) -> timedelta:
        """Return the time since an arbitrary origin."""


class MonotonicClock:
    """The time since the machine booted, which includes the time while it was suspended.

    ``CLOCK_MONOTONIC`` stops while a machine is suspended, so leases that expired in the meantime
    would still appear valid.
    """

    def now(self) -> timedelta:
        """Return the time since the machine booted."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock for tests that advances only on request.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.now().total_seconds()
    2.0
    """

    def __init__(self, now: timedelta = timedelta()) -> None:
        self._now = now

    def now(self) -> timedelta:
        """Return the current time of the clock."""
        return self._now

    def advance(self, by: timedelta) -> None:
        """Advance the clock.

        :param by: duration, not negative
        :raises ValueError: if *by* is negative
        """
        if by < timedelta():
            raise ValueError(f"clock cannot be advanced by {by}, which is negative")
        self._now += by
