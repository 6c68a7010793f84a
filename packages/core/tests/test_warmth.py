"""Slow start of cold targets by time and completed requests."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.warmth import COLD_AFTER, WarmthTable

NOW = timedelta(seconds=50)
WARM_UP = timedelta(seconds=20)
TARGET = "sledway-1"
SLOTS = 4


@pytest.fixture
def table():
    table = WarmthTable()
    table.record_boot(TARGET, "boot-1", NOW)
    return table


def limit(table, now):
    return table.limit(TARGET, SLOTS, WARM_UP, now)


def warm(table):
    for _ in range(SLOTS * 5):
        table.record_completion(TARGET, NOW)


def test_limit_rises_with_time_once_requests_complete(table):
    warm(table)
    limits = [limit(table, NOW + WARM_UP * step / 4) for step in range(5)]
    assert limits == sorted(limits)
    assert limits[0] < limits[-1] == SLOTS


def test_time_without_requests_does_not_warm_a_target(table):
    table.record_completion(TARGET, NOW)
    assert limit(table, NOW + WARM_UP) < SLOTS


def test_restarted_target_is_cold(table):
    warm(table)
    later = NOW + WARM_UP
    table.record_boot(TARGET, "boot-1", later)
    assert limit(table, later) == SLOTS
    table.record_boot(TARGET, "boot-2", later)
    assert limit(table, later) == 1


def test_idle_target_is_cold(table):
    warm(table)
    assert limit(table, NOW + COLD_AFTER + WARM_UP) == 1


def test_warmth_from_another_vm_counts_for_the_same_boot_only(table):
    table.learn(TARGET, "boot-0", 1.0, NOW)
    assert limit(table, NOW) == 1
    table.learn(TARGET, "boot-1", 1.0, NOW)
    assert limit(table, NOW) == SLOTS


def test_document_without_warm_up_has_no_ramp(table):
    assert table.limit(TARGET, SLOTS, timedelta(), NOW) == SLOTS
