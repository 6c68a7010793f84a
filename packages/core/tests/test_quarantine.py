"""Tests of the quarantine of requests that crash targets."""

from __future__ import annotations

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from carawayquay.quarantine import (
    QUARANTINE_LIFETIME,
    SUSPECT_LIFETIME,
    CrashStatus,
    QuarantineTable,
)

NOW = timedelta(seconds=50)
POISON = b"poison"
INNOCENT = b"innocent"


def quarantined():
    table = QuarantineTable()
    table.record_crash("t-1", [], [POISON], NOW)
    table.record_crash("t-2", [POISON], [], NOW)
    return table


def test_request_is_quarantined_after_the_second_target():
    table = QuarantineTable()
    table.record_crash("t-1", [], [POISON], NOW)
    assert table.status_of(POISON, NOW) is CrashStatus.SUSPECT
    table.record_crash("t-2", [POISON], [], NOW)
    assert table.status_of(POISON, NOW) is CrashStatus.QUARANTINED


def test_second_crash_of_the_same_target_alone_does_not_quarantine():
    table = QuarantineTable()
    table.record_crash("t-1", [], [POISON], NOW)
    table.record_crash("t-1", [POISON], [], NOW)
    assert table.status_of(POISON, NOW) is CrashStatus.SUSPECT
    table.record_crash("t-1", [POISON], [], NOW)
    assert table.status_of(POISON, NOW) is CrashStatus.QUARANTINED


def test_simultaneous_crashes_do_not_quarantine_a_request_on_all_targets():
    table = QuarantineTable()
    for target in ("t-1", "t-2", "t-3"):
        table.record_crash(target, [], [INNOCENT], NOW)
    assert table.status_of(INNOCENT, NOW) is CrashStatus.SUSPECT


def test_request_that_completes_is_cleared_everywhere():
    table = QuarantineTable()
    (report,) = table.record_crash("t-1", [], [INNOCENT], NOW)
    other = QuarantineTable()
    other.merge_report(report, NOW)
    assert other.status_of(INNOCENT, NOW) is CrashStatus.SUSPECT
    other.merge_cleared(table.record_completion(INNOCENT))
    assert table.status_of(INNOCENT, NOW) is CrashStatus.CLEAR
    assert other.status_of(INNOCENT, NOW) is CrashStatus.CLEAR
    assert table.record_completion(INNOCENT) is None


def test_queued_request_does_not_start_after_its_status_has_changed():
    table = QuarantineTable()
    assert table.may_start(POISON, NOW, suspect=False)
    table.record_crash("t-1", [], [POISON], NOW)
    assert not table.may_start(POISON, NOW, suspect=False)
    assert table.may_start(POISON, NOW, suspect=True)
    table.record_crash("t-2", [POISON], [], NOW)
    assert not table.may_start(POISON, NOW, suspect=False)
    assert not table.may_start(POISON, NOW, suspect=True)


def test_quarantine_expires():
    table = quarantined()
    assert table.status_of(POISON, NOW + QUARANTINE_LIFETIME) is CrashStatus.CLEAR


def test_reported_quarantine_keeps_its_remaining_lifetime():
    table = quarantined()
    later = NOW + timedelta(seconds=20)
    other = QuarantineTable()
    for report in table.reports(later):
        other.merge_report(report, NOW)
    left = QUARANTINE_LIFETIME - timedelta(seconds=20)
    assert (
        other.status_of(POISON, NOW + left - timedelta(milliseconds=2)) is CrashStatus.QUARANTINED
    )
    assert other.status_of(POISON, NOW + left) is CrashStatus.CLEAR


def test_table_is_bounded():
    table = QuarantineTable()
    table.record_crash("t-1", [], [str(number).encode() for number in range(5000)], NOW)
    assert len(table) == 1024
    table.record_crash("t-2", [], [POISON], NOW + SUSPECT_LIFETIME)
    assert len(table) == 1


class CrashMachine(RuleBasedStateMachine):
    """Runs one poison request among innocent ones on targets under the rules of the daemon."""

    requests = (POISON, *(b"innocent-%d" % number for number in range(4)))
    targets = ("t-1", "t-2", "t-3", "t-4", "t-5")

    @initialize()
    def start(self):
        self.table = QuarantineTable()
        self.now = NOW
        self.in_flight = {}
        self.crashes_as_suspect = 0

    @rule(request=st.sampled_from(requests), destination=st.sampled_from(targets))
    def send(self, request, destination):
        """Start a request if its status allows it; only one suspect runs at a time."""
        match self.table.status_of(request, self.now):
            case CrashStatus.QUARANTINED:
                return
            case CrashStatus.SUSPECT if any(suspect for suspect, _ in self.in_flight.values()):
                return
            case status_of:
                if request not in self.in_flight:
                    self.in_flight[request] = (status_of is CrashStatus.SUSPECT, destination)

    @rule(request=st.sampled_from(requests))
    def end(self, request):
        """End a request: an innocent one completes, the poison request crashes its target."""
        flight = self.in_flight.pop(request, None)
        if flight is None:
            return
        if request != POISON:
            self.table.record_completion(request)
            return
        suspect, target = flight
        self.crashes_as_suspect += suspect
        there = {r: s for r, (s, t) in self.in_flight.items() if t == target} | {POISON: suspect}
        self.table.record_crash(
            target,
            [r for r, s in there.items() if s],
            [r for r, s in there.items() if not s],
            self.now,
        )
        self.in_flight = {r: flight for r, flight in self.in_flight.items() if r not in there}

    @invariant()
    def only_the_poison_is_quarantined(self):
        table = getattr(self, "table", None)
        for request in self.requests[1:] if table else ():
            assert table.status_of(request, self.now) is not CrashStatus.QUARANTINED

    @invariant()
    def poison_crashes_few_targets(self):
        assert getattr(self, "crashes_as_suspect", 0) <= 2


TestCrashes = CrashMachine.TestCase
