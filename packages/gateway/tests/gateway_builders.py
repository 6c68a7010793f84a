"""Builders of gateways, targets and platform objects for tests."""

from __future__ import annotations

import random

import curio
from curio.network import run_server, tcp_server_socket
from curio.traps import _get_kernel

from carawayquay.clock import ManualClock, MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import VMIdentity
from carawayquay.membership import Address
from carawayquay.store_revision import StoreRevision
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.answer_memory import new_answer_memory
from carawayquay_gateway.forwarder import Forwarder
from carawayquay_gateway.peer_calls import PeerCaller
from carawayquay_gateway.reach_prober import ReachProber
from carawayquay_gateway.round_trips import RoundTrips
from carawayquay_gateway.selection import Selection
from carawayquay_gateway.settings import GatewaySettings, parse_gateway_settings
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.target_attempts import TargetAttempts
from carawayquay_gateway.target_calls import TargetCaller
from carawayquay_platform.object_changes import ObjectListing
from carawayquay_platform.objects import ObjectKind, parse_object
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.metrics import Metrics

_RUN_SECONDS = 10

SETTINGS_TEXT = """
[vm]
name = puget-a-1
domain = puget-a
region = puget
[listen]
callers = 127.0.0.1:7001
ready = 127.0.0.1:7002
lookups = 127.0.0.1:7003
admin = 127.0.0.1:7004
ports = 7010,7020
[peers]
seeds = 127.0.0.1:7004,127.0.0.2:7004
[store]
address = 127.0.0.1:7000
[bounds]
lookup_life = 5s
stop = 6s
retry_ratio = 0.2
retry_window = 10s
retry_allowance = 100
cold_over = 1.5
cold_slack = 5
[regions]
puget-a = puget
puget-b = puget
inland-a = inland
"""


def settings() -> GatewaySettings:
    """Return validated settings."""
    return parse_gateway_settings(SETTINGS_TEXT)


def identity(name="puget-a-1", host="127.0.0.1", domain="puget-a", region="puget", incarnation=1):
    """Return a VM's identity."""
    return VMIdentity(name, host, domain, region, incarnation)


def route(**changes):
    """Return a route in the platform's format."""
    value = {
        "name": "reports",
        "path_prefix": "/reports/",
        "kind": "idempotent",
        "timeout": "1200ms",
        "target_latency": "200ms",
        "priority": 2,
        "service": "granite",
        "max_attempts": 2,
        "sticky": True,
        "allowed_regions": [],
    }
    return value | changes


def configuration(*routes, version=1):
    """Return a configuration in the platform's format."""
    return {
        "version": f"r{version}",
        "services": [
            {"name": name, "max_conns": 100, "cold_start": "3s", "cold_per_s": 20.0}
            for name in ("granite", "sledway")
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "virtual_hosts": [{"host": "stones.example", "paths": list(routes or (route(),))}],
    }


def target(address="127.0.0.1:9", **changes):
    """Return a target's registration in the platform's format."""
    value = {
        "service": "granite",
        "address": str(address),
        "zone": "puget-a",
        "version": "v1",
        "max_concurrency": 4,
        "state": "ready",
        "cold_left": "0ms",
        "sequence": 1,
        "born": 1000,
    }
    return value | changes


def at(number, era=0):
    """Return a revision of the store."""
    return StoreRevision(era, number)


def stored(name, spec, revision=10, era=0, **metadata):
    """Return an object as parsed from a store's answer."""
    fields = {"name": name, "revision": revision, "created": 1, "finalizers": []}
    return parse_object({"metadata": fields | metadata, "spec": spec, "status": None}, era)


def listing(number, *objects, era=0):
    """Return a listing of objects at a revision of the store."""
    return ObjectListing(at(number, era), tuple(objects))


def new_state(*, clock=None, configured=None, targets=(), vm=None):
    """Return a state with a configuration and targets, given as pairs of name and registration."""
    state = GatewayState(settings(), clock or ManualClock(), Metrics(), vm or identity())
    listings = {
        ObjectKind.CONFIGURATION: [stored("main", configured or configuration())],
        ObjectKind.TARGETS: [stored(name, spec) for name, spec in targets],
        ObjectKind.EVACUATIONS: [],
    }
    for kind, objects in listings.items():
        state.replicas[kind].apply_listing(listing(20, *objects))
    return state


def new_selection(state, seed=1):
    """Return a selection that uses a state."""
    round_trips = RoundTrips(state.settings.domain, state.settings.regions)
    return Selection(state, round_trips, random.Random(seed))


def new_forwarder(targets, configured=None):
    """Return a forwarder and its state, for targets given as pairs of name and registration."""
    state = new_state(clock=MonotonicClock(), configured=configured, targets=targets)
    round_trips = RoundTrips(state.settings.domain, state.settings.regions)
    generator = random.Random(1)
    selection = Selection(state, round_trips, generator)
    crashes = CrashCounts()
    memory = new_answer_memory(state.settings)
    caller = TargetCaller(state, crashes, round_trips, ReachProber(state, generator), memory)
    attempts = TargetAttempts(state, selection, caller, crashes, WarmGossip())
    peers = PeerCaller(state, memory, generator)
    return Forwarder(state, attempts, peers, crashes, generator), state


def request(method="GET", path="/reports/7", body=b"", request_id="a1", left_ms=1000, **headers):
    """Return a caller's request."""
    pairs = [
        (b"host", b"stones.example"),
        (b"request-id", request_id.encode()),
        (b"affinity-key", b"17"),
    ]
    if left_ms is not None:
        pairs.append((b"deadline-ms", str(left_ms).encode()))
    pairs += [(name.replace("_", "-").encode(), text.encode()) for name, text in headers.items()]
    return HttpRequest(method, path, tuple(pairs), body)


def answer_bytes(status=200, body=b"ok", request_id="a1", **headers):
    """Return a target's answer as bytes."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}", "server-stamp: s1"]
    if request_id is not None:
        lines.append(f"request-id: {request_id}")
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ScriptedTarget:
    """Target that answers requests according to a script.

    :param script: one step for each request: bytes to send, None to close the connection, or
        seconds to wait; the last step is repeated
    """

    def __init__(self, *script):
        self._script = list(script)
        self.requests: list[bytes] = []
        self.closed_early = 0
        self.connections = 0
        self.address = None

    async def start(self):
        """Listen on a free port."""
        sock = tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", sock.getsockname()[1])
        await curio.spawn(run_server, sock, self._serve, daemon=True)
        return self

    async def _serve(self, sock, _):
        self.connections += 1
        while data := await sock.recv(65536):
            self.requests.append(data)
            step = self._script.pop(0) if len(self._script) > 1 else self._script[0]
            while isinstance(step, int | float):
                if await _closed_within(sock, step):
                    self.closed_early += 1
                    return
                step = self._script.pop(0) if len(self._script) > 1 else answer_bytes()
            if step is None:
                return
            await sock.sendall(step)


async def _closed_within(sock, seconds):
    """Return whether the peer closed or reset the connection within some seconds."""
    async with curio.ignore_after(seconds):
        try:
            return not await sock.recv(1)
        except ConnectionResetError:
            return True
    return False


def run(coroutine, *args):
    """Run a coroutine function in a new event loop, with a timeout of ten seconds.

    The tasks that it leaves end before the event loop does.
    """

    async def bounded():
        try:
            return await curio.timeout_after(_RUN_SECONDS, coroutine, *args)
        finally:
            await _end_other_tasks()

    return curio.run(bounded)


async def _end_other_tasks():
    """End all other tasks, the oldest first: listeners before those that open connections."""
    current = await curio.current_task()
    while others := [task for task in await _running_tasks() if task is not current]:
        for task in sorted(others, key=lambda task: task.id):
            await task.cancel()


async def _running_tasks():
    kernel = await _get_kernel()
    return [task for task in kernel._tasks.values() if not task.terminated]
