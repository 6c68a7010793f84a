"""The clock of decisions goes on while the machine is suspended."""

from __future__ import annotations

import time
from datetime import timedelta

from carawayquay.clock import MonotonicClock


def test_time_of_a_suspended_machine_passes(monkeypatch):
    started = MonotonicClock().now()
    boot_time = time.clock_gettime
    # While a machine is suspended only the time since its start goes on.
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: boot_time(clock) + 9 * (clock == time.CLOCK_BOOTTIME)
    )
    assert MonotonicClock().now() - started >= timedelta(seconds=9)


def test_time_of_day_moves_nothing(monkeypatch):
    monkeypatch.setattr(time, "time", lambda: 0.0)
    started = MonotonicClock().now()
    monkeypatch.setattr(time, "time", lambda: 1e9)
    assert MonotonicClock().now() - started < timedelta(seconds=5)
