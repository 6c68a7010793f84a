"""A VM knows how old its knowledge of each kind of object is."""

from __future__ import annotations

from datetime import timedelta

import attrs
from gateway_builders import at, identity, listing, new_state, settings

from carawayquay.clock import ManualClock
from carawayquay.deadlines import Deadlines
from carawayquay.freshness import UNCONFIRMED_MS
from carawayquay.load_reports import LoadReport
from carawayquay_gateway.state_dump import dump_state
from carawayquay_platform.objects import ObjectKind

_TARGETS = ObjectKind.TARGETS


def _state():
    return new_state(clock=ManualClock(timedelta(seconds=100)))


def _report(state, sender, confirmed_ms, revisions=None):
    revisions = state.reported_revisions() if revisions is None else revisions
    return LoadReport(sender, 1, False, revisions, True, confirmed_ms=confirmed_ms)


def test_objects_that_nothing_confirmed_have_no_age():
    state = _state()
    assert state.knowledge.age(_TARGETS) is None
    assert state.knowledge.reported_ages() == (UNCONFIRMED_MS,) * 3
    assert not state.knowledge.current


def test_revision_of_the_store_confirms_the_kinds_that_have_reached_it():
    state = _state()
    now = state.clock.now()
    state.replicas[_TARGETS].apply_listing(listing(30))
    state.knowledge.confirm_revision(at(30), now)
    state.clock.advance(timedelta(seconds=1))
    assert state.knowledge.age(_TARGETS) == timedelta(seconds=1)
    assert state.knowledge.age(ObjectKind.CONFIGURATION) is None


def test_age_grows_while_nothing_is_heard():
    state = _state()
    state.knowledge.confirm_revision(at(20), state.clock.now())
    assert state.knowledge.current
    state.clock.advance(timedelta(seconds=17))
    assert state.knowledge.age_ms() == 17_000
    assert not state.knowledge.current


def test_report_of_the_own_domain_confirms_what_this_vm_has_too():
    state = _state()
    peer = identity("puget-a-2", "127.0.0.2")
    report = _report(state, peer, (100, 200, UNCONFIRMED_MS))
    state.knowledge.confirm_by_report(report, state.clock.now())
    assert state.knowledge.reported_ages() == (100, 200, UNCONFIRMED_MS)


def test_report_of_a_vm_that_is_ahead_of_another_domain_or_of_an_earlier_build_confirms_nothing():
    state = _state()
    near = identity("puget-a-2", "127.0.0.2")
    far = identity("inland-a-1", "127.0.0.3", "inland-a", "inland")
    for report in (
        _report(state, near, (0, 0, 0), (90, 90, 90)),
        _report(state, far, (0, 0, 0)),
        _report(state, near, ()),
    ):
        state.knowledge.confirm_by_report(report, state.clock.now())
        assert state.knowledge.reported_ages() == (UNCONFIRMED_MS,) * 3


def test_maximum_age_follows_from_the_deadlines_in_force():
    state = _state()
    deadlines = Deadlines(contact=timedelta(seconds=1), departure=timedelta(seconds=4))
    state.settings = attrs.evolve(settings(), deadlines=deadlines)
    two_reports = timedelta(seconds=0.4)
    assert state.knowledge.max_age(_TARGETS) == timedelta(seconds=4) + two_reports
    assert state.knowledge.max_age(ObjectKind.CONFIGURATION) == timedelta(seconds=2.4)


def test_dump_and_metrics_show_that_knowledge_is_outdated():
    state = _state()
    state.knowledge.confirm_revision(at(20), state.clock.now())
    state.knowledge.log_changes()
    state.clock.advance(timedelta(seconds=4))
    state.knowledge.log_changes()
    assert dump_state(state)["knowledge"]["TARGETS"] == {"age_ms": 4000, "max_age_ms": 3400}
    text = state.metrics.exposition()
    assert 'knowledge_outdated_total{kind="TARGETS"} 1' in text
    assert 'kind="EVACUATIONS"' not in text
