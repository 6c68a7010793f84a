"""The monotonic clock includes suspended time and ignores changes of the wall clock."""

from __future__ import annotations

import time
from datetime import timedelta

from carawayquay.clock import MonotonicClock


def test_time_advances_while_the_machine_is_suspended(monkeypatch):
    started = MonotonicClock().now()
    original_gettime = time.clock_gettime
    # Of the clocks used here, only CLOCK_BOOTTIME advances while a machine is suspended.
    monkeypatch.setattr(
        time,
        "clock_gettime",
        lambda clock: original_gettime(clock) + 9 * (clock == time.CLOCK_BOOTTIME),
    )
    assert MonotonicClock().now() - started >= timedelta(seconds=9)


def test_change_of_the_wall_clock_has_no_effect(monkeypatch):
    monkeypatch.setattr(time, "time", lambda: 0.0)
    started = MonotonicClock().now()
    monkeypatch.setattr(time, "time", lambda: 1e9)
    assert MonotonicClock().now() - started < timedelta(seconds=5)
