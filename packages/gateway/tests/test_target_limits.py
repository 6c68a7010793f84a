"""The limit that a target names for all VMs together holds, is used, and ends."""

from __future__ import annotations

import signal
import time

import curio
import pytest
from gateway_site import Fleet, LimitingTarget, SteadyCallers

pytestmark = pytest.mark.processes

_CALLER_RATE = 60.0

#: Bounds of the users' rule: window, factor on the limit, further requests, and time to learn it.
_WINDOW_SECONDS = 4.0
_OVER = 1.5
_SLACK = 5
_CONTACT_SECONDS = 3.0


def _allowed(limit):
    return _OVER * limit * _WINDOW_SECONDS + _SLACK


def _new_targets():
    return [
        LimitingTarget("t0", "puget-a"),
        LimitingTarget("t1", "puget-b"),
        LimitingTarget("t2", "inland-a"),
        LimitingTarget("t3", "inland-a"),
    ]


def _with_load(tmp_path, targets, check):
    """Run a check on a fleet of six VMs while callers send at a steady rate."""

    async def go():
        fleet = Fleet(tmp_path, targets)
        try:
            await fleet.start()
            callers = SteadyCallers(fleet, _CALLER_RATE)
            await curio.spawn(callers.run, daemon=True)
            await curio.sleep(3.0)
            await check(fleet, callers)
        finally:
            fleet.stop()

    curio.run(go)


def test_target_gets_no_more_from_six_vms_than_the_limit_that_it_names(tmp_path):
    targets = _new_targets()

    async def check(fleet, callers):
        limited = targets[0]
        limited.limit = "2.5"
        named = time.monotonic()
        await curio.sleep(11.0)
        assert limited.most_in_window(_WINDOW_SECONDS, named + 0.7) <= _allowed(2.5)
        settled = named + _CONTACT_SECONDS
        assert limited.count(settled, settled + 8.0) >= 0.5 * 2.5 * 8.0
        statuses = callers.statuses(settled)
        assert statuses.count(200) >= 0.95 * len(statuses)

    _with_load(tmp_path, targets, check)


def test_limit_below_a_request_a_second_for_each_vm_holds(tmp_path):
    targets = _new_targets()

    async def check(fleet, callers):
        limited = targets[0]
        limited.limit = "0.5"
        named = time.monotonic()
        await curio.sleep(9.0)
        assert limited.most_in_window(_WINDOW_SECONDS, named + 0.7) <= _allowed(0.5)

    _with_load(tmp_path, targets, check)


def test_limits_of_all_targets_hold_and_the_rest_is_refused_at_once(tmp_path):
    targets = _new_targets()

    async def check(fleet, callers):
        for limited in targets:
            limited.limit = "2.5"
        named = time.monotonic()
        await curio.sleep(11.0)
        settled = named + _CONTACT_SECONDS
        for limited in targets:
            assert limited.most_in_window(_WINDOW_SECONDS, named + 0.7) <= _allowed(2.5)
            assert limited.count(settled, settled + 8.0) >= 0.5 * 2.5 * 8.0
        refused = [
            answer for at, answer in callers.answers if at > settled and answer.status != 200
        ]
        assert {answer.status for answer in refused} == {503}
        assert all(float(answer.header(b"retry-after")) > 0 for answer in refused)

    _with_load(tmp_path, targets, check)


def test_limits_hold_while_vms_are_killed_and_frozen_in_turn(tmp_path):
    targets = _new_targets()

    async def check(fleet, callers):
        for limited in targets:
            limited.limit = "2.5"
        settled = time.monotonic() + _CONTACT_SECONDS
        for killed, frozen in (("puget-a-0", "puget-a-3"), ("puget-b-1", "inland-a-2")):
            fleet.restart(killed)
            fleet.signal(frozen, signal.SIGSTOP)
            await curio.sleep(2.0)
            fleet.signal(frozen, signal.SIGCONT)
            await curio.sleep(3.0)
        for limited in targets:
            assert limited.most_in_window(_WINDOW_SECONDS, settled) <= _allowed(2.5)

    _with_load(tmp_path, targets, check)


def test_limit_binds_no_request_after_it_has_ended(tmp_path):
    targets = _new_targets()

    async def check(fleet, callers):
        limited = targets[0]
        limited.limit = "2.5"
        await curio.sleep(5.0)
        limited.limit = None
        await curio.sleep(5.0)
        ended, bound = time.monotonic(), fleet.count_logged("limited_by")
        await curio.sleep(3.0)
        assert fleet.count_logged("limited_by") == bound
        assert limited.count(ended, ended + 3.0) > _OVER * 2.5 * 3.0 + _SLACK

    _with_load(tmp_path, targets, check)
