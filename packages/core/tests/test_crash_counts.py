"""A request that crashes targets is refused by every VM after its third crash, and no other one."""

from __future__ import annotations

from collections import defaultdict
from datetime import timedelta
from itertools import permutations

import attrs
import pytest
from crash_builders import crash, record_crashes
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import CrashReport, ReportedCrash, SuspectReport

NOW = timedelta(seconds=5)
LATER = NOW + timedelta(seconds=1)


def _tell(there, here, now=NOW):
    """Let one VM's counts merge what another one reports."""
    there.merge(here.reports(now), here.suspect_reports(now), now)


def test_request_is_refused_after_its_third_crash_wherever_the_crashes_were_seen():
    here, there = CrashCounts(), CrashCounts()
    here.record_crash(1, crash("t0", 0, 1), NOW)
    here.record_crash(1, crash("t1", 1, 2), NOW)
    _tell(there, here)
    assert not there.refused(1, NOW)
    there.record_crash(1, crash("t2", 3, 4), NOW)
    assert there.refused(1, NOW)
    _tell(here, there)
    assert here.refused(1, NOW)
    assert not here.refused(1, NOW + timedelta(seconds=200))


def test_request_that_completes_is_cleared():
    counts = CrashCounts()
    record_crashes(counts, 1, 2, NOW)
    counts.record_completion(1, NOW)
    assert not counts.is_suspect(1, NOW)
    counts.record_crash(1, crash("t9", 5, 5.5), LATER)
    assert counts.count(1, LATER) == 1


# Guards against one crash that counted once for each equal request that the target was running.
def test_crash_of_one_target_counts_once_for_all_requests_that_ran_there():
    counts = CrashCounts()
    for began in (0.2, 0.4, 0.6, 0.8):
        counts.record_crash(1, crash("t0", began, 1.0), NOW)
    counts.record_crash(1, crash("t0", 1.1, 1.2), NOW)
    assert counts.count(1, NOW) == 1


# Guards against the crash of one target that counted once for each VM that saw it.
def test_crash_that_several_vms_saw_counts_once():
    vms = [CrashCounts() for _ in range(4)]
    for index, vm in enumerate(vms):
        vm.record_crash(1, crash("t0", index * 0.3, 1.0 + index * 0.01), NOW)
    for here, there in permutations(vms, 2):
        _tell(there, here)
    assert [vm.count(1, NOW) for vm in vms] == [1] * 4


# Guards against a domain without power, after which what all its targets ran would be refused.
def test_targets_that_end_together_count_as_one_crash():
    vms = [CrashCounts() for _ in range(3)]
    for index in range(9):
        vms[index % 3].record_crash(1, crash(f"t{index}", index / 20, 1 + index / 100), NOW)
    for here, there in permutations(vms, 2):
        _tell(there, here)
    assert [vm.count(1, NOW) for vm in vms] == [1] * 3


# Guards against a completion at one VM that a report of another VM undid.
def test_request_that_completes_at_one_vm_is_cleared_at_all():
    here, there, third = CrashCounts(), CrashCounts(), CrashCounts()
    record_crashes(here, 1, 3, NOW)
    _tell(there, here)
    assert there.refused(1, NOW)
    there.record_completion(1, LATER)
    _tell(there, here, LATER)
    assert not there.is_suspect(1, LATER)
    _tell(here, there, LATER)
    assert not here.is_suspect(1, LATER)
    _tell(third, here, LATER)
    assert not third.is_suspect(1, LATER)


# Guards against a popular request that looks like the cause, since it runs beside the cause.
def test_request_that_completes_between_crashes_is_never_refused():
    counts = CrashCounts()
    for number in range(12):
        now = timedelta(seconds=10 * number)
        counts.record_crash(1, crash(f"t{number}", 10 * number - 1, 10 * number), now)
        assert counts.count(1, now) == 1
        counts.record_completion(1, now + timedelta(seconds=3))


def test_target_that_is_back_under_its_former_registration_may_crash_again():
    counts = CrashCounts()
    for began in (0, 3, 6):
        counts.record_crash(1, crash("t0", began, began + 0.5), NOW)
        counts.record_crash(1, crash("t0", began + 0.6, began + 0.7), NOW)
    assert counts.refused(1, NOW)


def test_crash_after_a_completion_counts_at_a_vm_that_hears_of_both():
    here, there = CrashCounts(), CrashCounts()
    here.record_crash(1, crash("t0", 0, 1), NOW)
    here.record_completion(1, timedelta(seconds=2))
    here.record_crash(1, crash("t1", 3, 4), NOW)
    _tell(there, here)
    assert here.count(1, NOW) == there.count(1, NOW) == 1


def test_counts_do_not_depend_on_the_order_of_reports():
    seen = [crash("t0", 0, 1), crash("t1", 0.5, 1.5), crash("t2", 1, 2), crash("t3", 2, 3)]
    for order in permutations(seen):
        counts = CrashCounts()
        for it in order:
            counts.record_crash(1, it, NOW)
        assert counts.refused(1, NOW)


def test_reports_that_are_repeated_prolong_no_refusal():
    here, there = CrashCounts(), CrashCounts()
    record_crashes(here, 1, 3, NOW)
    for seconds in range(0, 115, 5):
        _tell(there, here, NOW + timedelta(seconds=seconds))
        _tell(here, there, NOW + timedelta(seconds=seconds))
    end = NOW + timedelta(seconds=121)
    _tell(there, here, end)
    assert not here.is_suspect(1, end)
    assert not there.is_suspect(1, end)


# Guards against the counts of the build before, which grow with each request on a crashed target.
@pytest.mark.parametrize("count", [1, 3, 8, 255])
def test_count_without_times_proves_no_more_than_one_crash(count):
    counts = CrashCounts()
    for seconds in range(0, 60, 2):
        counts.merge([CrashReport(1, count)], (), NOW + timedelta(seconds=seconds))
    assert counts.count(1, LATER) == 1
    counts.record_completion(1, LATER)
    counts.merge([CrashReport(1, count)], (), LATER)
    assert not counts.is_suspect(1, LATER)


def test_count_without_times_adds_no_crash_to_one_that_is_known():
    counts = CrashCounts()
    counts.record_crash(1, crash("t0", 3, 4), NOW)
    counts.merge([CrashReport(1, 1)], (), NOW)
    counts.merge([CrashReport(1, 4)], (), NOW)
    assert counts.count(1, NOW) == 1


def test_request_that_crashes_targets_of_both_builds_is_refused_after_three_more():
    counts = CrashCounts()
    counts.merge([CrashReport(1, 3)], (), NOW)
    now = NOW
    for number in range(3):
        now += timedelta(seconds=2)
        ended = now.total_seconds()
        counts.record_crash(1, crash(f"t{number}", ended - 1, ended), now)
    assert counts.refused(1, now)


def test_vm_of_the_build_before_is_told_the_count():
    counts = CrashCounts()
    record_crashes(counts, 1, 3, NOW)
    record_crashes(counts, 2, 1, NOW)
    counts.record_completion(2, NOW)
    assert counts.reports(NOW) == (CrashReport(1, 3),)


@pytest.mark.parametrize("began_ms", [0, 500, 2**32 - 1])
def test_odd_ages_are_merged_without_an_error(began_ms):
    counts = CrashCounts()
    report = SuspectReport(1, (ReportedCrash(7, began_ms, 1000),), 2**32 - 1)
    counts.merge((), (report, attrs.evolve(report, fingerprint=2, completed_ms=None)), NOW)
    assert counts.count(1, NOW) == counts.count(2, NOW) == 1
    old = ReportedCrash(7, 2**32 - 1, 2**32 - 1)
    counts.merge((), (SuspectReport(3, (old,), None),), NOW)
    assert not counts.is_suspect(3, NOW)


def test_counts_are_bounded_in_number():
    counts = CrashCounts()
    for fingerprint in range(5000):
        counts.record_crash(fingerprint, crash(), NOW)
    assert len(counts.reports(NOW)) <= 16
    assert len(counts.suspect_reports(NOW)) <= 16
    assert counts.record_crash(9999, crash(), NOW) == 0


# Guards against a crash that counts again with each report that a frozen VM reads late.
def test_reports_that_are_read_late_add_no_crash():
    here, there = CrashCounts(), CrashCounts()
    here.record_crash(1, crash("t0", 0, 1), NOW)
    reports = [here.suspect_reports(NOW + timedelta(seconds=number)) for number in range(20)]
    woken = NOW + timedelta(seconds=25)
    for report in reports:
        there.merge((), report, woken)
        assert there.count(1, woken) == 1
    there.record_completion(1, woken)
    there.merge((), reports[0], woken + timedelta(seconds=5))
    assert not there.is_suspect(1, woken + timedelta(seconds=5))


# Guards against VMs that tell each other of what is over for ever.
@pytest.mark.parametrize("completed", [True, False])
def test_vms_forget_a_request_also_while_they_tell_each_other_of_it(completed):
    vms = [CrashCounts() for _ in range(3)]
    vms[0].record_crash(1, crash("t0", 4, 5), NOW)
    vms[0].merge([CrashReport(2, 3)], (), NOW)
    delay = timedelta(seconds=0.1)
    for step in range(3000):
        now = NOW + step * delay
        here, there = vms[step % 3], vms[(step + 1) % 3]
        crashes, suspects = here.reports(now), here.suspect_reports(now)
        there.merge(crashes, suspects, now + delay)
        if completed and step == 30:
            there.record_completion(1, now)
    assert not any(vm.suspect_reports(now) for vm in vms)


def test_vm_of_the_build_before_is_not_told_what_it_has_told():
    counts = CrashCounts()
    counts.merge([CrashReport(1, 3)], (), NOW)
    assert counts.is_suspect(1, NOW)
    assert counts.reports(NOW) == ()


def _fill(counts, organisation, number, first=1000, now=NOW):
    """Record one crash each for a number of requests of an organisation."""
    for fingerprint in range(first, first + number):
        ended = now.total_seconds()
        it = crash(f"t{fingerprint}", ended - 1, ended)
        counts.record_crash(fingerprint, it, now, organisation)


# Guards against a request that is never refused, since another organisation fills the table.
def test_request_is_counted_though_another_organisation_fills_the_table():
    counts = CrashCounts()
    _fill(counts, 1, 5000)
    for number in range(3):
        it = crash(f"s{number}", 2 * number, 2 * number + 1)
        assert counts.record_crash(7, it, NOW, 2) == number + 1
    assert counts.refused(7, NOW)
    _fill(counts, 1, 5000, first=10000)
    assert counts.refused(7, NOW)
    assert counts.record_crash(99999, crash(), NOW, 1) == 0


# Guards against a request that other VMs do not hear of, since another organisation has many.
@pytest.mark.parametrize("completed", [False, True])
def test_request_is_told_though_another_organisation_has_many_later_ones(completed):
    counts = CrashCounts()
    counts.record_crash(7, crash("s", 0, 1), NOW, 2)
    _fill(counts, 1, 500, now=LATER)
    if completed:
        for fingerprint in (7, *range(1000, 1500)):
            counts.record_completion(fingerprint, LATER)
    reports = counts.suspect_reports(LATER)
    assert 7 in [report.fingerprint for report in reports]
    assert len(reports) == len(counts.suspect_organisations(LATER)) == 16


@given(st.lists(st.tuples(st.integers(1, 74), st.integers(1, 60)), min_size=1, max_size=120))
def test_each_organisation_keeps_its_part_of_the_table_in_any_order(bursts):
    counts = CrashCounts()
    held = defaultdict(list)
    for index, (organisation, number) in enumerate(bursts):
        first = 100 * index
        _fill(counts, organisation, number, first)
        held[organisation] += range(first, first + number)
    part = 1024 // 74
    for fingerprints in held.values():
        known = sum(counts.is_suspect(it, NOW) for it in fingerprints)
        assert known >= min(part, len(fingerprints))


def test_requests_of_sixteen_organisations_are_all_told():
    counts = CrashCounts()
    for organisation in range(1, 17):
        now = NOW + timedelta(seconds=organisation)
        _fill(counts, organisation, 50, 1000 * organisation, now)
    assert set(counts.suspect_organisations(now)) == set(range(1, 17))


def test_organisation_of_a_request_is_passed_on_by_vms_that_hear_of_it():
    here, there, third = CrashCounts(), CrashCounts(), CrashCounts()
    here.record_crash(7, crash("s", 0, 1), NOW, 2)
    _fill(here, 1, 20)
    for teller, hearer in ((here, there), (there, third)):
        reports, named = teller.suspect_reports(NOW), teller.suspect_organisations(NOW)
        hearer.merge((), reports, NOW, named)
    told = dict(zip(third.suspect_reports(NOW), third.suspect_organisations(NOW), strict=True))
    assert [named for report, named in told.items() if report.fingerprint == 7] == [2]
    assert set(told.values()) == {1, 2}


@pytest.mark.parametrize("named", [(), (5,), (5, 6, 7, 8)])
def test_organisations_that_are_missing_or_too_many_do_no_harm(named):
    reports = tuple(SuspectReport(it, (ReportedCrash(7, 500, 400),), None) for it in (1, 2))
    counts = CrashCounts()
    counts.merge((), reports, NOW, named)
    assert [counts.count(it, NOW) for it in (1, 2)] == [1, 1]
    assert len(counts.suspect_organisations(NOW)) in (0, 2)


def test_requests_without_organisations_are_told_without_any():
    counts = CrashCounts()
    record_crashes(counts, 1, 2, NOW)
    assert counts.suspect_organisations(NOW) == ()


# Guards against a VM of the build before that does not hear of an organisation's request.
def test_vm_of_the_build_before_is_told_the_counts_of_all_organisations_by_turns():
    counts = CrashCounts()
    counts.record_crash(7, crash("s", 0, 1), NOW, 2)
    _fill(counts, 1, 500, now=LATER)
    assert CrashReport(7, 1) in counts.reports(LATER)
