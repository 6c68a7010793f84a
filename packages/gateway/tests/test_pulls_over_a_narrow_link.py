"""All VMs of a domain have a large configuration in time, though one narrow link leads to it."""

from __future__ import annotations

import contextlib
import itertools
import random
import time
from datetime import timedelta

import attrs
import curio
import pytest
from curio.network import open_connection, run_server, tcp_server_socket
from gateway_builders import configuration, identity, listing, new_state, route, stored

from carawayquay.clock import ManualClock, MonotonicClock
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.replica_puller import ReplicaPuller
from carawayquay_platform.object_responses import ACCEPT_DEFLATE
from carawayquay_platform.objects import ObjectKind
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_server import HttpServer

#: Time in which a configuration has to be in force.
_DEADLINE_SECONDS = 3.0

_ROUTES = 400
_TICK_SECONDS = 0.2
_LINK_MBPS = 5
_LINK_BYTES_PER_S = _LINK_MBPS * 125_000
_PACKET_BYTES = 1500

_LIST = HttpRequest("GET", f"/objects/{ObjectKind.CONFIGURATION.value}", (), b"")
_NO_CHANGE = attrs.evolve(_LIST, target=f"{_LIST.target}?watch=30&wait_ms=0&era=0")


def _large_configuration(routes=_ROUTES, name_digits=8):
    """Return a configuration whose routes have random names."""
    generator = random.Random(1)
    listed = [
        route(
            name=f"{generator.randrange(16**name_digits):x}",
            path_prefix=f"/{generator.randrange(16**8):x}/",
        )
        for _ in range(routes)
    ]
    return configuration(*listed, version=7)


def _source(clock, large):
    """Return the state of a VM that has a configuration and a narrow link."""
    state = new_state(clock=clock, vm=identity("puget-a-0", "127.9.45.1"))
    state.settings = attrs.evolve(state.settings, link_mbps=_LINK_MBPS)
    held = stored("main", large, revision=30)
    state.replicas[ObjectKind.CONFIGURATION].apply_listing(listing(30, held))
    return state


class _Link:
    """Relay to an address whose connections share a bandwidth."""

    def __init__(self, address):
        self._address = address
        self._free_at = time.monotonic()

    async def serve(self, sock, _):
        there = await open_connection(self._address.host, self._address.port)
        async with there, curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, sock, there)
            await group.spawn(self._copy, there, sock)

    async def _copy(self, source, sink):
        with contextlib.suppress(OSError):
            while data := await source.recv(_PACKET_BYTES):
                now = time.monotonic()
                self._free_at = max(now, self._free_at) + len(data) / _LINK_BYTES_PER_S
                await curio.sleep(self._free_at - now)
                await sink.sendall(data)


async def _start_link(source):
    """Serve the objects of a VM behind its link, and return where others reach them."""
    behind = tcp_server_socket("127.9.45.9", 0)
    server = HttpServer(AdminApi(source).handle, reject)
    await curio.spawn(run_server, behind, server.serve, daemon=True)
    link = _Link(Address("127.9.45.9", behind.getsockname()[1]))
    before = tcp_server_socket(source.identity.host, 0)
    await curio.spawn(run_server, before, link.serve, daemon=True)
    return Address(source.identity.host, before.getsockname()[1])


def _follower(index, address):
    """Return the state of a VM that follows others."""
    state = new_state(clock=MonotonicClock(), vm=identity(f"puget-a-{index}", f"127.9.45.{index}"))
    state.settings = attrs.evolve(state.settings, admin=address)
    return state


async def _pull_until_known(state, source, times):
    """Pull at each tick from the VM that reports the change, until this VM has it."""
    replica = state.replicas[ObjectKind.CONFIGURATION]
    puller = ReplicaPuller(state, replica, random.Random(state.identity.name))
    for sequence in itertools.count(1):
        if state.configuration_version == 7:
            break
        report = LoadReport(source.identity, sequence, False, source.reported_revisions(), True)
        state.peers.receive(report, state.clock.now())
        await puller.pull_from_newest()
        await curio.sleep(_TICK_SECONDS)
    times.append(time.monotonic())


#: Number of VMs, and the number and the length of the names of routes: many short names, which
#: shrink well, and long ones, which shrink by half, so that all answers at once take too long.
_DOMAINS = {"many routes": (40, 400, 8), "names that hardly shrink": (20, 15, 3000)}


@pytest.mark.parametrize("domain", _DOMAINS)
def test_large_configuration_reaches_all_vms_of_a_domain_over_one_narrow_link_in_time(domain):
    followers, routes, name_digits = _DOMAINS[domain]

    async def check():
        source = _source(MonotonicClock(), _large_configuration(routes, name_digits))
        address = await _start_link(source)
        times = []
        started = time.monotonic()
        async with curio.ignore_after(3 * _DEADLINE_SECONDS), curio.TaskGroup() as group:
            for index in range(2, followers + 2):
                await group.spawn(_pull_until_known, _follower(index, address), source, times)
        return [at - started for at in times]

    seconds = curio.run(check)
    assert len(seconds) == followers
    assert max(seconds) <= _DEADLINE_SECONDS


def test_vm_defers_large_pulls_beyond_its_link_and_answers_them_later():
    clock = ManualClock()
    api = AdminApi(_source(clock, _large_configuration()))
    first = api.handle(_LIST)
    assert first.status == 200
    assert len(first.body) > _LINK_BYTES_PER_S / 10
    assert api.handle(_LIST).status == 503
    assert api.handle(_NO_CHANGE).status == 200
    assert api.handle(HttpRequest("GET", "/nothing", (), b"")).status == 404
    clock.advance(timedelta(seconds=2))
    assert api.handle(_LIST).status == 200


@pytest.mark.parametrize("headers, smaller", [((), False), ((ACCEPT_DEFLATE,), True)])
def test_vm_compresses_objects_only_for_those_that_read_it(headers, smaller):
    api = AdminApi(_source(ManualClock(), _large_configuration()))
    answer = api.handle(attrs.evolve(_LIST, headers=headers))
    assert (answer.header(b"content-encoding") == "deflate") == smaller
    assert (len(answer.body) < 30_000) == smaller


def test_vms_that_hear_of_several_holders_spread_their_pulls():
    state = new_state(vm=identity("puget-a-9", "127.9.45.9"))
    for index in range(5):
        holder = identity(f"puget-a-{index}", f"127.9.45.{index + 1}")
        state.peers.receive(LoadReport(holder, 1, False, (0, 30, 0), True), state.clock.now())
        state.peers.receive(LoadReport(holder, 2, False, (30, 30, 30), True), state.clock.now())
    puller = ReplicaPuller(state, state.replicas[ObjectKind.CONFIGURATION], random.Random(1))
    assert len({puller.newest_holder().host for _ in range(100)}) == 5


def test_holders_of_the_newest_version_are_those_of_the_own_domain():
    state = new_state(vm=identity("puget-a-9", "127.9.45.9"))
    now = state.clock.now()
    for index, version in enumerate((6, 7, 7)):
        holder = identity(f"puget-a-{index}", f"127.9.45.{index + 1}")
        report = LoadReport(holder, 1, False, (30, 30, 30), True, version=version)
        state.peers.receive(report, now)
    newest = state.peers.newest_configuration(now)
    assert (newest.version, set(newest.hosts)) == (7, {"127.9.45.2", "127.9.45.3"})
