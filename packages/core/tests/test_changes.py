"""Tests of the outcome of writes with lost answers and of merging drains."""

from __future__ import annotations

import pytest
from change_builders import drainable_document
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.changes import (
    MAX_EARLIER_CHANGES,
    Change,
    Committed,
    DocumentVersion,
    DrainEdit,
    NotApplied,
    Superseded,
    merge_conflict,
    parse_document_version,
    resolve_write,
    stored_object,
    with_drain,
)

BASE = DocumentVersion(7, "base", (), drainable_document())
CHANGE = Change("mine", BASE, drainable_document(timeout=1))


def test_own_change_id_means_the_write_is_current():
    assert resolve_write(CHANGE, DocumentVersion(8, "mine")) == Committed(8)


def test_unchanged_version_means_the_write_did_not_take_effect():
    assert resolve_write(CHANGE, BASE) == NotApplied(7)


@pytest.mark.parametrize(
    ("stored", "applied"),
    [
        (DocumentVersion(9, "theirs", ("mine", "base")), True),
        (DocumentVersion(9, "theirs", ("base",)), False),
        (DocumentVersion(9, "theirs", ()), None),
        (DocumentVersion(9, "", ()), None),
    ],
)
def test_superseding_change_is_named_with_whether_the_write_was_applied(stored, applied):
    assert resolve_write(CHANGE, stored) == Superseded(9, stored.change, applied)


@given(st.lists(st.booleans(), min_size=1, max_size=MAX_EARLIER_CHANGES - 1))
def test_outcome_is_correct_whatever_writes_follow(taken):
    """The first item tells whether the write is applied; each further one adds a later change."""
    stored = BASE
    if taken[0]:
        stored = parse_document_version(8, stored_object(CHANGE))
    for index, _ in enumerate(taken[1:]):
        other = Change(f"other-{index}", stored, drainable_document())
        stored = parse_document_version(9 + index, stored_object(other))
    match resolve_write(CHANGE, stored):
        case Committed() | Superseded(applied=True):
            assert taken[0]
        case NotApplied() | Superseded(applied=False):
            assert not taken[0]
        case Superseded(applied=None):
            pytest.fail("outcome is unknown although the earlier changes reach back to the base")


def test_drain_can_be_reapplied_on_a_change_of_other_keys():
    stored = DocumentVersion(9, "theirs", (), drainable_document(timeout=3))
    assert merge_conflict(DrainEdit("puget-a", drained=True), BASE, stored) is None


@pytest.mark.parametrize(
    "document",
    [
        drainable_document(drains=["puget-b"]),
        drainable_document(targets=drainable_document()["targets"][1:]),
        drainable_document(regions={"puget": {"limit": 1}, "inland": {"limit": 4}}),
        drainable_document(timeout="soon"),
        None,
    ],
)
def test_drain_conflicts_with_changed_capacity_or_an_invalid_document(document):
    stored = DocumentVersion(9, "theirs", (), document)
    assert merge_conflict(DrainEdit("puget-a", drained=True), BASE, stored) is not None


def test_drain_is_removed():
    document = with_drain(
        drainable_document(drains=["puget-a"]), DrainEdit("puget-a", drained=False)
    )
    assert document["drains"] == []
