"""Clocks that decisions read, passed in so that tests can set the time."""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """A monotonic clock; its origin means nothing to another process."""

    def now(self) -> timedelta:
        """Return the time since the clock's own origin."""


class MonotonicClock:
    """The time since the machine's start, which goes on while it is stopped or suspended.

    The clock that is called monotonic stands still while a machine is suspended, so by that one
    rights that have run out meanwhile would seem to hold on.
    """

    def now(self) -> timedelta:
        """Return the time since the machine's start."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that moves only when told to.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.now().total_seconds()
    2.0
    """

    def __init__(self, now: timedelta = timedelta()) -> None:
        self._now = now

    def now(self) -> timedelta:
        """Return the time that was last set."""
        return self._now

    def advance(self, by: timedelta) -> None:
        """Move the clock forward.

        :param by: how far, never negative
        :raises ValueError: if *by* is negative
        """
        if by < timedelta():
            raise ValueError(f"a clock cannot go back by {-by}")
        self._now += by
