"""Changes are announced soon after each other, however large the domain is."""

from __future__ import annotations

import random
import time

import curio
from gateway_builders import identity, new_state

from carawayquay.clock import MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import LoadReport
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.peers import PeerExchange
from carawayquay_gateway.summaries import SummaryExchange

#: Regular reports between so many VMs come each 2.4 s.
_VMS = 41

#: A change has to be in force within 3 s, of which its announcement may take a part.
_MAX_WAIT_SECONDS = 1.0


class _Exchange(PeerExchange):
    """Exchange that notes when it announces."""

    def __init__(self, state):
        crashes, warm = CrashCounts(), WarmGossip()
        summaries = SummaryExchange(state, crashes, warm)
        super().__init__(state, crashes, warm, summaries, random.Random(1))
        self.times = []

    def announce(self):
        self.times.append(time.monotonic())


def test_change_right_after_another_one_is_announced_soon_in_a_large_domain():
    async def check():
        state = new_state(clock=MonotonicClock())
        for index in range(2, _VMS + 1):
            vm = identity(f"puget-a-{index}", f"127.9.46.{index}")
            state.peers.receive(LoadReport(vm, 1, False, (1, 1, 1), False), state.clock.now())
        exchange = _Exchange(state)
        task = await curio.spawn(exchange._announce_changes)
        for _ in range(2):
            await state.changes_known.set()
            await curio.sleep(0.05)
        await curio.sleep(3.0)
        await task.cancel()
        return exchange.times

    first, second = curio.run(check)
    assert second - first <= _MAX_WAIT_SECONDS
