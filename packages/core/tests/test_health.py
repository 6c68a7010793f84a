"""Ejection, half-open state and recovery of targets."""

from __future__ import annotations

from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import given

from carawayquay.health import HealthState, HealthTable

NOW = timedelta(seconds=50)
SECOND = timedelta(seconds=1)
TARGET = "sledway-1"


@pytest.fixture
def table():
    return HealthTable()


def eject(table, now=NOW):
    table.record_failure(TARGET, now)
    assert table.record_failure(TARGET, now)


def test_two_failures_in_a_row_eject(table):
    table.record_failure(TARGET, NOW)
    table.record_success(TARGET, NOW)
    assert not table.record_failure(TARGET, NOW)
    assert table.record_failure(TARGET, NOW)
    assert table.limit(TARGET, 4, NOW) == 0


def test_refused_connection_ejects_at_once(table):
    assert table.record_failure(TARGET, NOW, refused=True)


def test_ejected_target_is_half_open_and_then_recovers(table):
    eject(table)
    later = NOW + SECOND
    assert table.limit(TARGET, 4, later) == 1
    for _ in range(3):
        table.record_success(TARGET, later)
    assert table.limit(TARGET, 4, later) == 4


def test_failure_while_half_open_ejects_for_twice_as_long(table):
    eject(table)
    later = NOW + SECOND / 2
    assert table.state(TARGET, later) is HealthState.HALF_OPEN
    assert table.record_failure(TARGET, later)
    assert table.state(TARGET, later + SECOND * 0.9) is HealthState.EJECTED
    assert table.state(TARGET, later + SECOND) is HealthState.HALF_OPEN


def test_false_healthy_probe_does_not_restore_a_failing_target(table):
    eject(table)
    table.probe(TARGET, healthy=True)
    assert table.state(TARGET, NOW) is HealthState.EJECTED
    assert table.limit(TARGET, 4, NOW + SECOND) == 1


def test_false_unhealthy_probe_does_not_limit_a_target_that_answers(table):
    table.record_success(TARGET, NOW)
    table.probe(TARGET, healthy=False)
    assert table.limit(TARGET, 4, NOW + SECOND) == 4


@given(st.lists(st.tuples(st.sampled_from(["a", "b", "c"]), st.booleans())))
def test_probes_alone_never_eject_a_target(probes):
    table = HealthTable()
    for target, healthy in probes:
        table.probe(target, healthy=healthy)
        assert table.limit(target, 4, NOW) >= 1


def test_errors_eject_only_an_outlier(table):
    for _ in range(20):
        assert not table.record_error_answer(TARGET, ["other"], NOW)
    table.record_success("other", NOW)
    assert table.record_error_answer(TARGET, ["other"], NOW)


@given(
    st.lists(st.sampled_from(["succeed", "fail", "wait", "good", "bad"]), max_size=60),
)
def test_backoff_always_ends_and_failures_never_raise_the_limit(steps):
    table, now = HealthTable(), NOW
    for step in steps:
        before = table.limit(TARGET, 4, now)
        match step:
            case "succeed":
                table.record_success(TARGET, now)
            case "fail":
                table.record_failure(TARGET, now)
                assert table.limit(TARGET, 4, now) <= before
            case "wait":
                now += SECOND
            case _:
                table.probe(TARGET, healthy=step == "good")
    assert table.limit(TARGET, 4, now + timedelta(seconds=31)) >= 1
