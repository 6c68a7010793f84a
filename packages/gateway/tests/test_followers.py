"""A VM that follows another one gets a change when it is reported, not at its next tick."""

from __future__ import annotations

import random
import time
from datetime import timedelta

import attrs
import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import (
    configuration,
    identity,
    listing,
    new_state,
    run,
    settings,
    stored,
    target,
)
from gateway_site import free_ports

from carawayquay.clock import MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay.store_watch import must_watch_store
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.datagrams import DatagramSocket
from carawayquay_gateway.peers import PeerExchange
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.summaries import SummaryExchange
from carawayquay_gateway.ticker import Ticker
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.objects import ObjectKind, parse_target
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics
from carawayquay_wire.reports import encode_report

#: Interval of reports in a domain of two VMs.
_REPORT_INTERVAL_SECONDS = 0.2

_WATCH_TIMEOUT = timedelta(seconds=0.5)

#: Time in which the follower has handled all earlier reports and waits for its next tick.
_SETTLING_SECONDS = 0.4

_HOSTS = ("127.9.41.1", "127.9.41.2")


class _RareTicker(Ticker):
    """Ticker whose next tick is far away."""

    seconds_left = 60.0

    async def next(self):
        await curio.sleep(self.seconds_left)


async def _serve_objects(state, port):
    """Serve a VM's objects to other VMs."""
    sock = tcp_server_socket(state.identity.host, port)
    server = HttpServer(AdminApi(state).handle, reject)
    await curio.spawn(run_server, sock, server.serve, daemon=True)


class _Reporter:
    """Sends a VM's reports when it is told to."""

    def __init__(self, state, ports):
        self.state = state
        self._sequence = 0
        self._sock = DatagramSocket(Address(state.identity.host, ports[0]), "report", Metrics())

    def report(self, host):
        """Send a report with its revisions."""
        self._sequence += 1
        revisions = self.state.reported_revisions()
        report = LoadReport(
            self.state.identity, self._sequence, False, revisions, True, confirmed_ms=(0, 0, 0)
        )
        self._sock.send(encode_report(report), [host])


def _identities():
    """Return a VM that watches the store, and one that follows it."""
    first, second = (identity(f"puget-a-{i}", host) for i, host in enumerate(_HOSTS))
    state = new_state(clock=MonotonicClock(), vm=first)
    state.peers.receive(LoadReport(second, 1, False, (), True), state.clock.now())
    if must_watch_store(first, state.peers, state.clock.now()):
        return first, second
    return second, first


async def _start_vm(vm, admin_port, ports, store=None):
    """Start what a VM needs to follow the store, or one that cannot be reached, and its peers."""
    state = GatewayState(settings(), MonotonicClock(), Metrics(), vm)
    state.settings = attrs.evolve(
        state.settings,
        callers=Address(vm.host, 1),
        admin=Address(vm.host, admin_port),
        ports=range(ports[0], ports[0] + 2),
        seeds=tuple(Address(host, 1) for host in _HOSTS),
    )
    crashes, warm = CrashCounts(), WarmGossip()
    summaries = SummaryExchange(state, crashes, warm)
    exchange = PeerExchange(state, crashes, warm, summaries, random.Random(1))
    await curio.spawn(exchange.run, daemon=True)
    store = PlatformStoreClient(store or Address(vm.host, 1), timedelta(milliseconds=300))
    for replica in state.replicas.values():
        watcher = Watcher(state, store, replica, random.Random(1), _WATCH_TIMEOUT)
        await curio.spawn(watcher.run, daemon=True)
    return state


async def _until(condition):
    while not condition():
        await curio.sleep(0.01)


def test_follower_pulls_a_removal_once_it_is_reported():
    async def check():
        watching, following = _identities()
        admin_port, *ports = free_ports(watching.host, 2)
        state = new_state(clock=MonotonicClock(), targets=[("t1", target())], vm=watching)
        leader = _Reporter(state, ports)
        await _serve_objects(state, admin_port)
        follower = await _start_vm(following, admin_port, ports)
        follower.ticker = _RareTicker(random.Random(1))
        while follower.targets.get("t1") is None:
            leader.report(following.host)
            await curio.sleep(0.05)
        await curio.sleep(_SETTLING_SECONDS)
        state.replicas[ObjectKind.TARGETS].apply_listing(listing(30))
        leader.report(following.host)
        async with curio.timeout_after(1.0):
            await _until(lambda: follower.targets.get("t1") is None)

    run(check)


def test_vm_that_watches_the_store_reports_at_once_that_a_target_left():
    async def check():
        store = PlatformStoreStandIn()
        await store.put("config", "main", configuration())
        await store.put("servers", "t1", target())
        sock = tcp_server_socket("127.9.41.3", 0)
        await curio.spawn(run_server, sock, store.http.serve, daemon=True)
        address = Address(*sock.getsockname())
        watching, following = _identities()
        admin_port, *ports = free_ports(watching.host, 2)
        leader = await _start_vm(watching, admin_port, ports, address)
        follower = await _start_vm(following, admin_port, ports, address)
        for state in (leader, follower):
            await _serve_objects(state, admin_port)
        await _until(lambda: leader.watching and follower.ready and not follower.watching)
        await _until(lambda: not follower.must_watch_store())
        await curio.sleep(_SETTLING_SECONDS)
        leader.ticker = follower.ticker = _RareTicker(random.Random(1))
        await curio.sleep(_SETTLING_SECONDS)
        await store.remove("servers", "t1")
        async with curio.timeout_after(0.8):
            await _until(lambda: follower.targets.get("t1") is None)

    run(check)


def test_many_departures_are_reported_once_in_a_report_interval():
    async def check():
        watching, following = _identities()
        ports = free_ports(watching.host, 1)
        state = await _start_vm(watching, 1, ports)
        received = []
        sock = DatagramSocket(Address(following.host, ports[0]), "report", Metrics())
        await curio.spawn(sock.receive, lambda *_: received.append(1), daemon=True)
        state.peers.learn(following, state.clock.now())
        await curio.sleep(_SETTLING_SECONDS)
        state.ticker = _RareTicker(random.Random(1))
        await curio.sleep(_SETTLING_SECONDS)
        received.clear()
        started = time.monotonic()
        for _ in range(100):
            state.targets.register(
                parse_target(stored("t1", target()), settings().regions), state.clock.now()
            )
            state.targets.remove("t1")
            await state.announce_changes()
            await curio.sleep(0.01)
        intervals = (time.monotonic() - started) / _REPORT_INTERVAL_SECONDS
        await curio.sleep(_SETTLING_SECONDS)
        assert 4 <= len(received) <= intervals + 2

    run(check)
