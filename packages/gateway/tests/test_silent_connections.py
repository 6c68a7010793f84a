"""Connections to the store that fall silent, where keep-alive shows nothing, delay no change.

Bounds are those of the default settings, which are the strictest of the deployments: a target that
left is out of use within the departure deadline, or the contact time after the last disruption.
"""

from __future__ import annotations

import random
from datetime import timedelta

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import configuration, run, settings, target
from gateway_domain import linked_domain, until, update_forever
from silent_link import SilentLink

from carawayquay.clock import MonotonicClock
from carawayquay.membership import Address
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn

_HOST = "127.9.44.1"
_DEADLINES = settings().deadlines
_DEPARTURE_SECONDS = _DEADLINES.departure.total_seconds()
_CONTACT_SECONDS = _DEADLINES.contact.total_seconds()
_CALL_TIMEOUT = timedelta(seconds=1)

#: Time in which a target registers again after an outage in which its registration lapsed.
_REGISTRATION_SECONDS = 1.3

_OUTAGE_SECONDS = 1.5


class _Site:
    """A store behind a link, and VMs of one failure domain that hear of no other domain."""

    def __init__(self):
        self.store = PlatformStoreStandIn()
        self.states = []
        self.link = None
        self._clock = MonotonicClock()
        self._tasks = []
        self._disrupted_at = 0.0

    async def start(self, vms):
        await self.store.put("config", "main", configuration(version=3))
        for number in (1, 2):
            await self.store.put("servers", f"t{number}", target(f"127.0.0.1:8{number}"))
        sock = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, sock, self.store.http.serve, daemon=True)
        self.link = SilentLink(_HOST, Address(_HOST, sock.getsockname()[1]))
        address = await self.link.listen()
        self.states = await linked_domain(vms, report_as_gateways=True)
        for state in self.states:
            client = PlatformStoreClient(address, _CALL_TIMEOUT)
            for replica in state.replicas.values():
                watcher = Watcher(state, client, replica, random.Random(1))
                self._tasks.append(await curio.spawn(watcher.run, daemon=True))
            self._tasks.append(await curio.spawn(update_forever, state, daemon=True))
        await until(lambda: all(state.ready for state in self.states))
        await until(lambda: any(state.watching for state in self.states))
        # Idle connections stay in the pools, and the next check is some time away.
        await curio.sleep(random.Random(vms).random())

    async def stop(self):
        """End the VMs, then the store, so that no connection is opened while all tasks end."""
        for task in self._tasks:
            await task.cancel()
        await self.link.refuse()

    def now(self):
        return self._clock.now().total_seconds()

    def silence(self):
        self.link.silence()
        self._disrupted_at = self.now()

    async def reset(self):
        await self.link.reset()
        self._disrupted_at = self.now()

    async def outage(self, seconds):
        """Let the store swallow all calls for a time."""
        self.store.faults.silent = True
        await curio.sleep(seconds)
        self.store.faults.silent = False
        self._disrupted_at = self.now()

    async def remove_in_time(self, name):
        """Remove a target, and fail unless all VMs stop to use it in time."""
        await self.store.remove("servers", name)
        removed_at = self.now()
        due = max(removed_at + _DEPARTURE_SECONDS, self._disrupted_at + _CONTACT_SECONDS)
        async with curio.timeout_after(due - removed_at):
            await until(lambda: not self.in_use(name))

    def in_use(self, name):
        """Return whether any VM uses a target."""
        return any(_uses(state, name) for state in self.states)

    def in_use_everywhere(self, name):
        """Return whether all VMs use a target."""
        return all(_uses(state, name) for state in self.states)


def _uses(state, name):
    return any(found.name == name for found in state.targets.ready("granite"))


def _run(check, *args):
    async def checked():
        site = _Site()
        try:
            await check(site, *args)
        finally:
            await site.stop()

    run(checked)


@pytest.mark.parametrize("vms", [1, 3, 20])
@pytest.mark.parametrize("seconds", [0.0, 0.3, 1.0, 1.5, 2.0, 3.0])
def test_target_that_leaves_after_connections_fell_silent_is_out_of_use_in_time(seconds, vms):
    """Guards against relying on keep-alive probes to tell that a connection is silent."""

    async def check(site):
        await site.start(vms)
        site.silence()
        await curio.sleep(seconds)
        await site.remove_in_time("t1")
        assert site.in_use_everywhere("t2")

    _run(check)


@pytest.mark.parametrize("vms", [1, 3, 20])
@pytest.mark.parametrize("seconds", [0.4, 1.2, 1.9])
def test_target_that_leaves_is_out_of_use_in_time_if_connections_fall_silent_again(seconds, vms):
    async def check(site):
        await site.start(vms)
        site.silence()
        await curio.sleep(seconds)
        site.silence()
        await site.remove_in_time("t1")

    _run(check)


@pytest.mark.parametrize("vms", [1, 3])
def test_target_that_leaves_among_resets_silence_and_an_outage_is_out_of_use_in_time(vms):
    async def check(site):
        await site.start(vms)
        site.silence()
        await curio.sleep(0.3)
        await site.reset()
        await site.outage(0.5)
        site.silence()
        await site.remove_in_time("t1")
        await site.reset()
        await site.remove_in_time("t2")

    _run(check)


@pytest.mark.parametrize("vms", [1, 3])
@pytest.mark.parametrize("away", ["refused connections", "no answers"])
def test_target_that_lapsed_in_an_outage_is_held_also_if_connections_fell_silent_before(away, vms):
    async def check(site):
        await site.start(vms)
        site.silence()
        await curio.sleep(0.2)
        if away == "refused connections":
            await site.link.refuse()
        else:
            site.store.faults.silent = True
            await site.reset()
        await site.store.remove("servers", "t1")
        await curio.sleep(_OUTAGE_SECONDS)
        if away == "refused connections":
            await site.link.listen()
        else:
            site.store.faults.silent = False
        await _held_for(site, "t1", _REGISTRATION_SECONDS)
        await site.store.put("servers", "t1", target("127.0.0.1:81"))
        await _held_for(site, "t1", 1.5)

    _run(check)


async def _held_for(site, name, seconds):
    """Check that all VMs use a target for a time."""
    until_at = site.now() + seconds
    while site.now() < until_at:
        assert site.in_use_everywhere(name)
        await curio.sleep(0.01)


def test_silent_connection_that_one_kind_finds_ends_the_watches_of_all_kinds():
    async def check(site):
        await site.start(1)
        # The first check beside the watches opens a connection, which is idle after it.
        connections = site.link.connections
        await until(lambda: site.link.connections > connections)
        await curio.sleep(0.1)
        site.silence()
        before = len(_watches(site))
        async with curio.timeout_after(_CONTACT_SECONDS):
            await until(lambda: len(_watches(site)) == before + 3)
        assert {call.partition("?")[0] for call in _watches(site)[before:]} == {
            f"GET /objects/{kind}" for kind in ("config", "servers", "evacuations")
        }

    _run(check)


def _watches(site):
    return [call for call in site.store.calls if "wait_ms=28000" in call]
