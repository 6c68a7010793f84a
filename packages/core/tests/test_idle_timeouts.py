"""Idle connections are reused for less than the keep-alive timeout, and less after a reset."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.idle_timeouts import IdleTimeouts

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


def test_maximum_idle_time_is_below_the_keep_alive_timeout():
    timeouts = IdleTimeouts()
    timeouts.set_keep_alive_timeout("t0", 5 * SECOND)
    assert 2 * SECOND < timeouts.max_idle("t0", "granite", NOW) < 5 * SECOND


def test_reset_reduces_the_idle_time_at_all_targets_of_the_service_for_a_while():
    timeouts = IdleTimeouts()
    timeouts.set_keep_alive_timeout("t0", 10 * SECOND)
    timeouts.record_reset("granite", NOW)
    for target in ("t0", "t1"):
        assert timeouts.max_idle(target, "granite", NOW + SECOND) < 0.3 * SECOND
    assert timeouts.max_idle("t2", "sledway", NOW + SECOND) > SECOND
    assert timeouts.max_idle("t0", "granite", NOW + 30 * SECOND) > SECOND


def test_removed_target_leaves_no_state():
    timeouts = IdleTimeouts()
    timeouts.set_keep_alive_timeout("t0", SECOND)
    timeouts.forget("t0")
    assert timeouts.max_idle("t0", "granite", NOW) == timeouts.max_idle("t1", "granite", NOW)
