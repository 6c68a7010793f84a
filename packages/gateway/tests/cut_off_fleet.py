"""Builders of fleets in one process whose VMs can be cut off from all targets."""

from __future__ import annotations

import random
import time
from contextlib import suppress
from datetime import timedelta

import attrs
import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import (
    SETTINGS_TEXT,
    answer_bytes,
    configuration,
    identity,
    listing,
    stored,
    target,
)

from carawayquay.clock import MonotonicClock
from carawayquay.crash_counts import CrashCounts
from carawayquay.load_reports import LoadReport
from carawayquay.planned_stop import PlannedStop
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.answer_memory import new_answer_memory
from carawayquay_gateway.app import _peer_limits
from carawayquay_gateway.forwarder import Forwarder
from carawayquay_gateway.peer_calls import PeerCaller
from carawayquay_gateway.peer_requests import PeerRequestApi
from carawayquay_gateway.reach_prober import ReachProber
from carawayquay_gateway.round_trips import RoundTrips
from carawayquay_gateway.selection import Selection
from carawayquay_gateway.settings import parse_gateway_settings
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.target_attempts import TargetAttempts
from carawayquay_gateway.target_calls import TargetCaller
from carawayquay_platform.objects import ObjectKind
from carawayquay_wire.dialing import dial
from carawayquay_wire.http import HttpLimits, HttpResponse
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.listener import Listener
from carawayquay_wire.metrics import Metrics
from carawayquay_wire.reports import decode_report, encode_report

REGIONS = {"puget-a": "puget", "puget-b": "puget", "inland-a": "inland"}

#: How the connections of a VM that is cut off behave: all hang; open ones are reset and new ones
#: hang; open ones live on and new ones are refused.
MODES = ("hang", "reset", "refuse")

_REPORT_SECONDS = 0.2
_NEVER_SECONDS = 1000.0

#: Time for which a VM that stops goes on serving, and that after which it ends.
_LEAVING_SECONDS = 1.0
_STOP_SECONDS = 5.0


class _Link:
    """A VM's connection to a target, which the network may cut."""

    def __init__(self, sock, network):
        self._sock = sock
        self._network = network
        self._ended = curio.Event()

    def __getattr__(self, name):
        return getattr(self._sock, name)

    async def sendall(self, data):
        if self._network.mode == "hang":
            return
        await self._sock.sendall(data)

    async def recv(self, size):
        if self._network.mode != "hang":
            data = await self._sock.recv(size)
            if self._network.mode != "hang":
                return data
        await self._ended.wait()
        return b""

    async def shutdown(self, how):
        await self._ended.set()
        await self._sock.shutdown(how)


class VMNetwork:
    """A VM's network towards the targets.

    :ivar mode: one of MODES while it is cut, else None
    """

    def __init__(self):
        self.mode = None
        self._links = []

    async def dial(self, address):
        """Open a connection to a target."""
        if self.mode == "refuse":
            raise ConnectionRefusedError("cut off")
        if self.mode is not None:
            await curio.sleep(_NEVER_SECONDS)
        link = _Link(await dial(address), self)
        self._links.append(link)
        return link

    async def cut(self, mode):
        """Cut the VM off from all targets."""
        self.mode = mode
        if mode == "reset":
            for link in self._links:
                with suppress(OSError):
                    await link.shutdown(2)
            self._links.clear()

    def heal(self):
        """End the cut."""
        self.mode = None


class FleetVM:
    """One entry VM of a fleet, with its forwarder and its server for other VMs.

    :ivar messages: the messages of other VMs that it read
    """

    def __init__(self, name, domain, host, port):
        self.identity = identity(name, host, domain, REGIONS[domain], 1)
        text = SETTINGS_TEXT.replace("127.0.0.1", host).replace("7010,7020", f"{port},{port + 1}")
        text = text.replace("name = puget-a-1", f"name = {name}")
        text = text.replace("domain = puget-a", f"domain = {domain}")
        text = text.replace("region = puget\n", f"region = {REGIONS[domain]}\n", 1)
        self.network = VMNetwork()
        self.state = GatewayState(
            parse_gateway_settings(text), MonotonicClock(), Metrics(), self.identity
        )
        generator = random.Random(name)
        round_trips = RoundTrips(domain, REGIONS)
        selection = Selection(self.state, round_trips, generator)
        self.crashes = CrashCounts()
        self._prober = ReachProber(self.state, generator, self.network.dial)
        memory = new_answer_memory(self.state.settings)
        self._caller = TargetCaller(
            self.state, self.crashes, round_trips, self._prober, memory, self.network.dial
        )
        attempts = TargetAttempts(self.state, selection, self._caller, self.crashes, WarmGossip())
        self._peers = PeerCaller(self.state, memory, generator)
        self.forwarder = Forwarder(self.state, attempts, self._peers, self.crashes, generator)
        self.peer_requests = PeerRequestApi(self.state, attempts, self.crashes, generator)
        limits = _peer_limits(self.state.settings, HttpLimits())
        self.peer_server = HttpServer(self._handle, self.peer_requests.reject, limits)
        self.messages = []
        self.killed = False
        self._connections = set()
        self._thawed = curio.Event()
        self._listener = None
        self._sequence = 0
        self._serving = None

    async def start(self, configured, targets):
        """Adopt a configuration and targets, and serve other VMs."""
        self.adopt(configured, targets)
        await self._thawed.set()
        self._listener = Listener(self.state.settings.peer_requests, self._serve)
        self._serving = await curio.spawn(self._listener.run, daemon=True)
        await curio.spawn(
            self._prober.run, self._caller.abandon_calls, self._peers.close, daemon=True
        )

    async def kill(self):
        """End all connections of other VMs and of this one, and report no more."""
        self.killed = True
        await self._serving.cancel()
        for connection in list(self._connections):
            await connection.cancel()

    async def stop(self):
        """Stop as planned: report it, serve on for a while, then answer what is in flight."""
        state, now = self.state, self.state.clock.now()
        state.stopping = True
        self.peer_server.announce_close()
        ends_at = now + timedelta(seconds=_STOP_SECONDS)
        state.planned_stop = PlannedStop(now + timedelta(seconds=_LEAVING_SECONDS), ends_at)
        await curio.sleep(_LEAVING_SECONDS)
        await self._listener.close()
        await self.peer_server.drain()
        while self.peer_requests.active or self.forwarder.active:
            await curio.sleep(0.02)
        await self.kill()

    def freeze(self):
        """Read no message of other VMs from now on, although its reports go on."""
        self._thawed.clear()

    async def cut_off(self, mode):
        """Cut the VM off from all targets and let it know at once."""
        await self.network.cut(mode)
        self.state.reach.record_probe(reached=False, now=self.state.clock.now())

    def adopt(self, configured, targets, revision=20, evacuated=()):
        """Adopt a configuration, the registrations of targets, given as pairs, and evacuations."""
        listings = {
            ObjectKind.CONFIGURATION: [stored("main", configured, revision)],
            ObjectKind.TARGETS: [stored(name, spec, revision) for name, spec in targets],
            ObjectKind.EVACUATIONS: [stored(name, {}, revision) for name in evacuated],
        }
        for kind, objects in listings.items():
            self.state.replicas[kind].apply_listing(listing(revision, *objects))

    def report(self):
        """Return the VM's next load report."""
        self._sequence += 1
        return LoadReport(
            sender=self.identity,
            sequence=self._sequence,
            leaving=self.state.stopping,
            revisions=(),
            cut_off=self.state.reach.cut_off,
        )

    async def _serve(self, sock, address):
        task = await curio.current_task()
        self._connections.add(task)
        try:
            await self.peer_server.serve(sock, address)
        finally:
            self._connections.discard(task)

    async def _handle(self, message):
        await self._thawed.wait()
        self.messages.append(message)
        return await self.peer_requests.handle(message)


class WorkingTarget:
    """Target that runs every request for some time.

    :ivar runs: the ids of the requests that it began to run
    :ivar left: the number of requests whose connection closed before they ended
    :ivar deadlines: the milliseconds that each request left for it
    """

    def __init__(self, name, work_seconds):
        self.name = name
        self.runs = []
        self.left = 0
        self.deadlines = []
        self._work_seconds = work_seconds
        self.address = None

    async def start(self, host):
        """Listen on a free port."""
        sock = tcp_server_socket(host, 0)
        self.address = f"{host}:{sock.getsockname()[1]}"
        await curio.spawn(run_server, sock, self._serve, daemon=True)

    async def _serve(self, sock, _):
        while data := await sock.recv(65536):
            fields = dict(
                line.lower().split(b": ", 1) for line in data.split(b"\r\n") if b": " in line
            )
            request_id = fields[b"request-id"].decode()
            self.runs.append(request_id)
            self.deadlines.append(int(fields[b"deadline-ms"]))
            async with curio.ignore_after(self._work_seconds):
                with suppress(ConnectionResetError):
                    await sock.recv(1)
                self.left += 1
                return
            await sock.sendall(answer_bytes(request_id=request_id))


class HandlingTarget:
    """Target whose answers a function returns, or None to close the connection.

    :ivar requests: the requests that it received
    :ivar arrivals: the times at which they arrived
    """

    def __init__(self, name, handle):
        self.name = name
        self.requests = []
        self.arrivals = []
        self.address = None
        self._handle = handle
        self._connections = set()
        self._serving = None

    @property
    def runs(self):
        """The ids of the requests that it received."""
        return [it.header(b"request-id") for it in self.requests]

    async def start(self, host):
        """Listen on a free port."""
        sock = tcp_server_socket(host, 0)
        self.address = f"{host}:{sock.getsockname()[1]}"
        self._serving = await curio.spawn(run_server, sock, self._serve, daemon=True)

    async def crash(self):
        """Close the port and all connections."""
        await self._serving.cancel()

    async def _serve(self, sock, address):
        server = HttpServer(self._answer, lambda status, _: HttpResponse(status))
        await server.serve(sock, address)

    async def _answer(self, received):
        self.requests.append(received)
        self.arrivals.append(time.monotonic())
        response = await self._handle(self, received)
        if response is None:
            return None
        echoed = (b"request-id", received.header(b"request-id").encode())
        return HttpResponse(response.status, (echoed, *response.headers), response.body)


class CutOffFleet:
    """Entry VMs that hear each other, and targets that all of them use.

    :param domains: the failure domain of each VM
    :param port: port at which every VM serves the others, each at an address of its own
    :param network: the first three parts of the VMs' addresses; targets are in the network after it
    :param stubs: the targets, by default as many as given that work for some time
    """

    def __init__(
        self,
        domains,
        *,
        port,
        network="127.9.6",
        targets=4,
        work_seconds=0.05,
        configured=None,
        stubs=None,
    ):
        self.vms = [
            FleetVM(f"{domain}-{index}", domain, f"{network}.{index + 1}", port)
            for index, domain in enumerate(domains)
        ]
        self.targets = stubs or [
            WorkingTarget(f"t{index}", work_seconds) for index in range(targets)
        ]
        first, second, third = network.split(".")
        self._target_host = f"{first}.{second}.{int(third) + 1}.1"
        self.configured = configured or configuration()
        self.registrations = []

    @property
    def runs(self):
        """The ids of the requests that targets began to run, in no order."""
        return [run for stub in self.targets for run in stub.runs]

    async def start(self):
        """Start the targets and the VMs, which report to each other from then on."""
        for index, stub in enumerate(self.targets):
            await stub.start(self._target_host)
            domain = list(REGIONS)[index % len(REGIONS)]
            spec = target(stub.address, zone=domain, max_concurrency=50)
            self.registrations.append((stub.name, spec))
        for vm in self.vms:
            await vm.start(self.configured, self.registrations)
        # Listeners begin to listen in tasks of their own.
        await curio.sleep(0.05)
        self.report()
        await curio.spawn(self._report_forever, daemon=True)

    def report(self):
        """Deliver a report of each VM to all others."""
        for vm in self.vms:
            if vm.killed:
                continue
            report = vm.report()
            for other in self.vms:
                if other is not vm:
                    other.state.peers.receive(report, other.state.clock.now())

    def tell_crashes(self):
        """Deliver the crashes that each VM reports to all others, as datagrams carry them."""
        for vm in self.vms:
            now = vm.state.clock.now()
            crashes, suspects = vm.crashes.reports(now), vm.crashes.suspect_reports(now)
            organisations = vm.crashes.suspect_organisations(now)
            report = attrs.evolve(
                vm.report(),
                crashes=crashes,
                suspects=suspects,
                suspect_organisations=organisations,
            )
            for other in self.vms:
                if other is not vm:
                    read = decode_report(encode_report(report))
                    other.crashes.merge(
                        read.crashes,
                        read.suspects,
                        other.state.clock.now(),
                        read.suspect_organisations,
                    )

    async def _report_forever(self):
        while True:
            await curio.sleep(_REPORT_SECONDS)
            self.report()
