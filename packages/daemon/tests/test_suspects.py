"""Every reachable VM acknowledges the report of a crash before the caller gets its answer."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest
from fleet_builders import Fleet

from carawayquay.errors import LinkError
from carawayquay.quarantine import CrashStatus, SuspectReport
from carawayquayd.suspects import SuspectBroadcaster

REQUEST = b"f" * 16


class _Links:
    """A link pool between broadcasters that delivers each message after a delay."""

    def __init__(self, fleet, seconds):
        self._fleet = fleet
        self._seconds = seconds
        self.broadcasters = {}
        self.unreachable = set()

    async def cast(self, address, message):
        """Send without waiting; the message is delivered later."""
        await curio.spawn(self.call, address, message, timedelta(seconds=9), daemon=True)

    async def call(self, address, message, timeout):
        name = self._fleet.by_port[address.port].vm.name
        if name in self.unreachable:
            raise LinkError(f"cannot connect to {address}", sent=False)
        async with curio.timeout_after(timeout.total_seconds()):
            await curio.sleep(self._seconds)
            other = self.broadcasters[name]
            if isinstance(message, SuspectReport):
                return await other.receive_report(message)
            return await other.receive_cleared(message)


def _connected_fleet(seconds):
    fleet = Fleet()
    links = _Links(fleet, seconds)
    for name, node in fleet.nodes.items():
        links.broadcasters[name] = SuspectBroadcaster(node.state, links)
    return fleet, links


def _crash_statuses(fleet, links):
    now = fleet.clock.now()
    return {
        name: broadcaster.table.status_of(REQUEST, now)
        for name, broadcaster in links.broadcasters.items()
    }


@pytest.mark.parametrize("seconds", [0.0, 0.5])
def test_all_vms_know_of_a_crash_before_it_is_answered(seconds):
    async def check():
        fleet, links = _connected_fleet(seconds)
        first, second, _ = links.broadcasters.values()
        await first.report_crash("t1", [], [REQUEST])
        assert set(_crash_statuses(fleet, links).values()) == {CrashStatus.SUSPECT}
        await second.report_crash("t2", [REQUEST], [])
        assert set(_crash_statuses(fleet, links).values()) == {CrashStatus.QUARANTINED}

    curio.run(check)


def test_unreachable_vm_delays_the_answer_for_a_bounded_time():
    async def check():
        fleet, links = _connected_fleet(3.0)
        names = list(links.broadcasters)
        links.unreachable.add(names[1])
        async with curio.timeout_after(1.5):
            await links.broadcasters[names[0]].report_crash("t1", [], [REQUEST])
        assert _crash_statuses(fleet, links)[names[0]] is CrashStatus.SUSPECT

    curio.run(check)


def test_completed_request_is_cleared_on_all_vms():
    async def check():
        fleet, links = _connected_fleet(0.2)
        first = next(iter(links.broadcasters.values()))
        await first.report_crash("t1", [], [REQUEST])
        await first.report_completion(REQUEST)
        assert set(_crash_statuses(fleet, links).values()) == {CrashStatus.CLEAR}

    curio.run(check)
