"""Tests of how long replicated objects count as current after a confirmation."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from object_builders import seconds

from carawayquay.freshness import (
    FRESHNESS_LIMIT,
    UNCONFIRMED_MS,
    Freshness,
    watch_complete_at,
)


def freshness():
    fresh = Freshness()
    fresh.track("documents")
    fresh.track("vms")
    return fresh


def test_fresh_process_is_not_current():
    assert not freshness().current(seconds(0))
    assert freshness().age_ms(seconds(0)) == UNCONFIRMED_MS


def test_every_kind_has_to_be_confirmed():
    fresh = freshness()
    fresh.confirm("documents", seconds(10))
    assert not fresh.current(seconds(10))
    fresh.confirm("vms", seconds(9))
    assert fresh.age(seconds(10)) == seconds(1)


def test_confirmation_expires():
    fresh = freshness()
    fresh.confirm_from_peer(seconds(10), 0)
    assert fresh.current(seconds(12.9))
    assert not fresh.current(seconds(10) + FRESHNESS_LIMIT)


def test_unconfirmed_peer_confirms_nothing():
    fresh = freshness()
    fresh.confirm_from_peer(seconds(10), UNCONFIRMED_MS)
    assert fresh.age(seconds(10)) is None


def test_age_of_one_kind_is_independent_of_the_others():
    fresh = freshness()
    fresh.confirm("documents", seconds(10))
    assert fresh.age_of("documents", seconds(12)) == seconds(2)
    assert fresh.age_ms_of("vms", seconds(12)) == UNCONFIRMED_MS


def test_answer_to_a_watch_is_complete_up_to_the_end_of_its_wait_only_without_changes():
    asked_at, wait = seconds(10), seconds(3)
    at_end, early = seconds(13.1), seconds(11)
    assert watch_complete_at(asked_at, at_end, wait, changed=False) == seconds(13)
    assert watch_complete_at(asked_at, at_end, wait, changed=True) == asked_at
    assert watch_complete_at(asked_at, early, wait, changed=False) == asked_at


@given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 5)), min_size=1, max_size=8))
def test_age_along_a_chain_of_peers_is_never_less_than_the_true_age(hops):
    origin = freshness()
    origin.confirm_from_peer(seconds(0), 0)
    now = 0.0
    for wait, transit in hops:
        asked_at = now + wait
        age_ms = origin.age_ms(seconds(asked_at + transit))
        now = asked_at + transit
        origin = freshness()
        origin.confirm_from_peer(seconds(asked_at), age_ms)
        assert origin.age(seconds(now)) >= seconds(now) - seconds(0.0005)
