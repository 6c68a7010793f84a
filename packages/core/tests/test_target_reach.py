"""A VM counts as cut off only when probes confirm what failures or silence suggest."""

from __future__ import annotations

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from carawayquay.discovery import RegisteredTarget, TargetState
from carawayquay.membership import Address
from carawayquay.target_reach import ProbeCause, TargetReach, probe_candidates

START = timedelta(seconds=100)


def _after(seconds):
    return START + timedelta(seconds=seconds)


def _target(name, domain):
    address = Address("10.0.0.1", 80)
    ready = TargetState.READY
    return RegisteredTarget(name, "s", address, domain, "r", 4, ready, timedelta(), 1)


def test_failures_of_one_target_alone_need_no_probe():
    reach = TargetReach(START)
    for _ in range(9):
        reach.record_unopened("a")
        reach.record_broken("a")
    assert reach.probe_due(_after(1)) is None


def test_failures_of_two_targets_need_a_probe_unless_another_was_reached_in_between():
    reach = TargetReach(START)
    reach.record_unopened("a")
    reach.record_connect(_after(0.1))
    reach.record_unopened("b")
    assert reach.probe_due(_after(0.2)) is None
    reach.record_unopened("a")
    assert reach.probe_due(_after(0.2)) is ProbeCause.FAILURES


def test_refused_connections_need_a_probe_although_open_ones_answer():
    reach = TargetReach(START)
    reach.record_unopened("a")
    reach.record_unopened("b")
    reach.record_answer(_after(0.1))
    assert reach.probe_due(_after(0.2)) is ProbeCause.FAILURES


def test_silence_of_several_targets_needs_a_probe_and_then_none_for_a_while():
    reach = TargetReach(START)
    reach.note_waiting(2, _after(1))
    assert reach.probe_due(_after(1.4)) is None
    assert reach.probe_due(_after(1.6)) is ProbeCause.SILENCE
    reach.record_probe(reached=True, now=_after(1.6))
    assert reach.probe_due(_after(4.5)) is None
    assert reach.probe_due(_after(4.7)) is ProbeCause.SILENCE


def test_answer_ends_the_silence():
    reach = TargetReach(START)
    reach.note_waiting(3, _after(1))
    reach.record_answer(_after(1.4))
    assert reach.probe_due(_after(1.8)) is None


def test_one_slow_target_is_no_silence():
    reach = TargetReach(START)
    reach.note_waiting(1, _after(1))
    assert reach.probe_due(_after(9)) is None


def test_failed_probe_cuts_off_and_a_later_one_that_reaches_a_target_ends_it():
    reach = TargetReach(START)
    change = reach.record_probe(reached=False, now=_after(2))
    assert change.cut_off
    assert not change.answering
    assert reach.cut_off
    assert reach.record_probe(reached=False, now=_after(3)) is None
    change = reach.record_probe(reached=True, now=_after(4))
    assert not change.cut_off
    assert change.after == timedelta(seconds=2)
    assert not reach.cut_off


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 5), min_size=1),
    st.integers(1, 6),
    st.sampled_from("abcdef"),
)
def test_probed_targets_are_spread_over_domains_and_begin_with_the_own_one(sizes, count, own):
    targets = [_target(f"{d}{n}", d) for d, size in sizes.items() for n in range(size)]
    chosen = probe_candidates(targets, own, count, random.Random(1))
    assert len(chosen) == min(count, len(targets))
    assert len(set(chosen)) == len(chosen)
    assert len({target.domain for target in chosen}) == min(len(chosen), len(sizes))
    assert own not in sizes or chosen[0].domain == own
