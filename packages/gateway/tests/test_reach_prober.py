"""Probes of whether a VM reaches targets are few, and any connection ends a cut."""

from __future__ import annotations

import random

import curio
import pytest
from gateway_builders import new_state, run, target

from carawayquay.clock import MonotonicClock
from carawayquay_gateway.reach_prober import ReachProber

_WAITERS = 20


class _Dialer:
    """Opens no connection, and counts the tries.

    :param hangs: whether a try hangs or is refused
    """

    def __init__(self, *, hangs):
        self.tries = 0
        self._hangs = hangs

    async def dial(self, _address):
        self.tries += 1
        if self._hangs:
            await curio.sleep(9.0)
        raise ConnectionRefusedError


class _Connection:
    async def close(self):
        """Do nothing."""


def _state(count):
    targets = [(f"t{index}", target(f"127.0.0.1:{index + 1}")) for index in range(count)]
    return new_state(clock=MonotonicClock(), targets=targets)


@pytest.mark.parametrize("hangs", [True, False])
def test_calls_that_fail_together_wait_for_one_probe(hangs):
    async def go():
        state = _state(6)
        dialer = _Dialer(hangs=hangs)
        prober = ReachProber(state, random.Random(1), dialer.dial)
        async with curio.TaskGroup() as group:
            for _ in range(_WAITERS):
                await group.spawn(prober.reaches_targets, state.clock.now())
        assert group.results == [False] * _WAITERS
        assert dialer.tries == 4

    run(go)


def test_calls_are_abandoned_and_peers_left_although_other_tasks_found_out():
    async def go():
        state = _state(6)
        dialer = _Dialer(hangs=False)
        prober = ReachProber(state, random.Random(1), dialer.dial)
        seen = []

        async def abandon_calls():
            seen.append("abandoned")

        async def leave_peers():
            seen.append("left")

        await curio.sleep(0.6)
        await prober.reaches_targets(state.clock.now())
        assert state.reach.cut_off
        await curio.spawn(prober.run, abandon_calls, leave_peers, daemon=True)
        await curio.sleep(0.5)
        assert seen == ["abandoned"]

        async def accept(_address):
            return _Connection()

        prober._dial = accept
        await curio.sleep(1.0)
        assert seen == ["abandoned", "left"]

    run(go)


def test_single_target_that_accepts_ends_a_cut_but_one_that_refuses_shows_none():
    async def go():
        state = _state(1)
        prober = ReachProber(state, random.Random(1), _Dialer(hangs=False).dial)
        assert await prober.reaches_targets(state.clock.now())
        state.reach.record_probe(reached=False, now=state.clock.now())

        async def accept(_address):
            return _Connection()

        prober._dial = accept

        async def nothing():
            pass

        await curio.spawn(prober.run, nothing, nothing, daemon=True)
        await curio.sleep(1.0)
        assert not state.reach.cut_off

    run(go)
