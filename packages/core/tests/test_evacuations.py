"""Evacuations that were confirmed stay through restores of the store."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.evacuations import Evacuations
from carawayquay.store_revision import StoreRevision

NOW = timedelta(seconds=100)
SOON = NOW + timedelta(seconds=4.9)
LATER = NOW + timedelta(seconds=5)
BEFORE = StoreRevision(1, 7)


def _evacuated():
    evacuations = Evacuations()
    assert evacuations.start("puget-a", BEFORE, NOW)
    return evacuations


def test_missing_evacuation_counts_until_the_grace_period_is_over():
    evacuations = _evacuated()
    evacuations.keep_missing("puget-a", NOW)
    assert evacuations.pop_expired(SOON) == ([], [])
    assert "puget-a" in evacuations
    assert evacuations.pop_expired(LATER) == (["puget-a"], [])
    assert not len(evacuations)


def test_missing_evacuation_that_is_written_again_stays():
    evacuations = _evacuated()
    evacuations.keep_missing("puget-a", NOW)
    assert evacuations.start("puget-a", StoreRevision(2, 9), SOON)
    assert evacuations.pop_expired(LATER) == ([], [])
    assert list(evacuations) == ["puget-a"]


def test_ended_evacuation_that_the_copy_brings_back_counts_only_if_it_stays():
    evacuations = _evacuated()
    assert evacuations.end("puget-a")
    assert not evacuations.start("puget-a", StoreRevision(2, 7), NOW)
    assert "puget-a" not in evacuations
    assert evacuations.pop_expired(LATER) == ([], ["puget-a"])
    assert "puget-a" in evacuations


def test_ended_evacuation_that_is_deleted_again_stays_ended():
    evacuations = _evacuated()
    evacuations.end("puget-a")
    evacuations.start("puget-a", StoreRevision(2, 7), NOW)
    assert not evacuations.end("puget-a")
    assert evacuations.pop_expired(LATER) == ([], [])


def test_new_evacuation_after_a_restore_counts_at_once():
    evacuations = _evacuated()
    evacuations.end("puget-a")
    assert evacuations.start("puget-a", StoreRevision(2, 8), NOW)
    assert "puget-a" in evacuations


def test_evacuation_of_the_same_era_counts_at_once():
    evacuations = _evacuated()
    evacuations.end("puget-a")
    assert evacuations.start("puget-a", BEFORE, NOW)
