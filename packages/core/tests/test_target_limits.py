"""A limit of a target holds for all VMs together, is used, and ends, whatever VMs know."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest
from limit_fleet import LimitFleet, new_target

from carawayquay.load_reports import TargetLimitReport, incarnation_hash
from carawayquay.named_limit import LimitChange
from carawayquay.target_limits import (
    FleetView,
    ServiceLoad,
    TargetLimits,
)

#: Bounds of the users' rule: window in seconds, factor, further requests, and time to learn it.
_WINDOW = 4.0
_OVER = 1.5
_SLACK = 5
_CONTACT = timedelta(seconds=3)

_FLEETS = [(6, 3), (20, 6), (195, 9)]


def _seconds(value):
    return timedelta(seconds=value)


def _allowed(limit):
    return _OVER * _WINDOW * limit + _SLACK


def _limited_fleet(vms, domains, limit, rate, **changes):
    """Return a fleet whose targets have named a limit for some time."""
    fleet = LimitFleet(vms, domains, rate, **changes)
    fleet.run(4)
    fleet.limit = limit
    fleet.run(10)
    return fleet


@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
@pytest.mark.parametrize(("limit", "rate"), [(0.1, 5), (0.5, 20), (2, 3), (7.4, 20), (40, 120)])
@pytest.mark.parametrize("askers", [1.0, 0.34])
def test_limit_holds_and_is_used(vms, domains, limit, rate, askers):
    fleet = LimitFleet(vms, domains, rate, askers=askers)
    fleet.run(4)
    fleet.limit = limit
    named = fleet.now
    fleet.run(30)
    assert fleet.most_in_window(named + _CONTACT) <= _allowed(limit)
    assert fleet.most_in_window(named, told_only=True) <= _allowed(limit)
    assert fleet.used(named + _CONTACT) >= 0.6 * limit


@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_that_falls_holds_and_one_that_rises_is_used(vms, domains):
    fleet = _limited_fleet(vms, domains, 7.4, 25)
    fleet.limit = 2.5
    fell = fleet.now
    fleet.run(10)
    assert fleet.most_in_window(fell + _seconds(1)) <= _allowed(2.5)
    fleet.limit = 15.0
    rose = fleet.now
    fleet.run(10)
    assert fleet.most_in_window(rose) <= _allowed(15.0)
    assert fleet.used(rose + _CONTACT) >= 0.7 * 15.0


@pytest.mark.parametrize("limit", [0.0, 0.1, 7.4])
@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_ends_once_an_answer_names_none(vms, domains, limit):
    fleet = _limited_fleet(vms, domains, limit, 25)
    fleet.limit = None
    fleet.run(15)
    assert fleet.used(fleet.now - _seconds(3)) >= 0.75 * 25


@pytest.mark.parametrize("isolated", [("d0",), ("d0", "d1"), ("d0", "d1", "d2")])
@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_holds_while_vms_are_cut_off_from_each_other(vms, domains, isolated):
    fleet = _limited_fleet(vms, domains, 7.4, 25)
    for vm in fleet.vms:
        vm.cut_off = vm.domain in isolated
    cut = fleet.now
    fleet.run(20)
    assert fleet.most_in_window(cut) <= _allowed(7.4)


@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_first_named_while_all_vms_are_cut_off_holds(vms, domains):
    fleet = LimitFleet(vms, domains, 25)
    fleet.run(4)
    for vm in fleet.vms:
        vm.cut_off = True
    fleet.limit = 7.4
    named = fleet.now
    fleet.run(20)
    assert fleet.most_in_window(named, told_only=True) <= _allowed(7.4)


@pytest.mark.parametrize("every", [1, 3])
@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_holds_after_vms_restart(vms, domains, every):
    fleet = _limited_fleet(vms, domains, 7.4, 25)
    for vm in fleet.vms[::every]:
        fleet.restart(vm)
    restarted = fleet.now
    fleet.run(12)
    assert fleet.most_in_window(restarted, told_only=True) <= _allowed(7.4)
    assert fleet.used(restarted + _CONTACT) >= 0.6 * 7.4


@pytest.mark.parametrize(("vms", "domains"), [(6, 3), (20, 6)])
def test_limit_holds_while_vms_freeze_and_wake(vms, domains):
    fleet = _limited_fleet(vms, domains, 7.4, 25)
    for frozen in (True, False, True, False):
        for vm in fleet.vms[::2]:
            vm.frozen = frozen
        fleet.run(5)
    assert fleet.most_in_window(_seconds(8)) <= _allowed(7.4)


@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_holds_beside_vms_whose_version_reports_no_limits(vms, domains):
    fleet = LimitFleet(vms, domains, 25)
    for vm in fleet.vms[:domains]:
        vm.reports_limits = False
    fleet.run(4)
    fleet.limit = 7.4
    named = fleet.now
    fleet.run(20)
    assert fleet.most_in_window(named + _CONTACT) <= _allowed(7.4)


@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_limit_does_not_bind_a_target_that_started_again(vms, domains):
    fleet = _limited_fleet(vms, domains, 0.5, 25)
    fleet.limit = None
    fleet.targets = [new_target("t0", incarnation=2)]
    restarted = fleet.now
    fleet.run(3)
    assert fleet.used(restarted) >= 0.9 * 25


def test_limits_of_all_targets_of_a_large_fleet_hold_and_are_used():
    fleet = LimitFleet(102, 6, 2, targets=120)
    fleet.run(4)
    fleet.limit = 1.0
    named = fleet.now
    fleet.run(12)
    names = [target.name for target in fleet.targets]
    most = max(fleet.most_in_window(named, target=name, told_only=True) for name in names)
    assert most <= _allowed(1.0)
    used = [fleet.used(named + 2 * _CONTACT, target=name) for name in names]
    assert sum(used) / len(used) >= 0.6


def test_reports_stay_bounded_when_thousands_of_targets_name_a_limit():
    limits = _limits()
    targets = [new_target(f"t{index}") for index in range(3000)]
    for target in targets:
        limits.count_request(target, _seconds(1))
        limits.record(target, 5.0, _seconds(1), _seconds(1))
    reported = [{report.target for report in limits.reports(_seconds(1))} for _ in range(50)]
    assert max(map(len, reported)) <= 64
    assert set.union(*reported) == {incarnation_hash(target) for target in targets}
    assert len(limits.domain_reports(_seconds(1))) <= 128


def _limits(vms=1):
    limits = TargetLimits(random.Random(1))
    limits.update(FleetView(vms), _seconds(0))
    return limits


def _record(limits, rate, sent_at, now):
    return limits.record(new_target(), rate, _seconds(sent_at), _seconds(now))


def test_answer_to_an_earlier_request_neither_raises_nor_ends_a_limit():
    limits = _limits()
    assert _record(limits, 5.0, 1, 2) is LimitChange.NAMED
    for rate in (50.0, None):
        assert _record(limits, rate, 1.5, 9) is None
        assert limits.usable_rate(new_target()) == pytest.approx(4.5)
    _record(limits, 2.0, 1.5, 9)
    assert limits.usable_rate(new_target()) == pytest.approx(1.8)
    assert _record(limits, None, 9.1, 10) is LimitChange.ENDED


def test_old_report_does_not_bring_an_ended_limit_back():
    limits = _limits()
    _record(limits, 5.0, 1, 2)
    _record(limits, None, 3, 4)
    key = incarnation_hash(new_target())
    old = TargetLimitReport(key, 5.0, 3.0, 1.0)
    assert limits.merge(old, _seconds(5)) is None
    older = TargetLimitReport(key, 5.0, 40.0, 1.0)
    assert limits.merge(older, _seconds(60)) is None
    assert limits.limited == 0


def test_unused_limits_are_forgotten():
    limits = _limits()
    _record(limits, 5.0, 1, 2)
    limits.expire(_seconds(60))
    assert limits.limited == 1
    limits.expire(_seconds(200))
    assert limits.limited == 0


def test_reached_limit_says_how_old_it_is_and_what_share_is_sent():
    limits = _limits(vms=10)
    for tenth in range(20):
        limits.count_request(new_target(), _seconds(1 + tenth / 10))
    _record(limits, 2.0, 3, 3)
    reached = [limits.admit(new_target(), ServiceLoad(), _seconds(4)) for _ in range(5)]
    found = next(item for item in reached if item is not None)
    assert found.target == "t0"
    assert found.limit.rate == 2.0
    assert found.limit.age == 1.0
    assert 0 < found.limit.share < 0.1
    assert found.wait == pytest.approx(1 / (2.0 * found.limit.share))
