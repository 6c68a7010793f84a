"""Builders of fleets in one process whose VMs can be cut off from all targets."""

from __future__ import annotations

import random

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
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.answer_memory import new_answer_memory
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
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics

REGIONS = {"puget-a": "puget", "puget-b": "puget", "inland-a": "inland"}

#: How the connections of a VM that is cut off behave: all hang; open ones are reset and new ones
#: hang; open ones live on and new ones are refused.
MODES = ("hang", "reset", "refuse")

_REPORT_SECONDS = 0.2
_NEVER_SECONDS = 1000.0


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
                await link.shutdown(2)

    def heal(self):
        """End the cut."""
        self.mode = None


class FleetVM:
    """One entry VM of a fleet, with its forwarder and its server for other VMs."""

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
        self.peer_requests = PeerRequestApi(self.state, attempts, self.crashes)
        self.peer_server = HttpServer(self.peer_requests.handle, self.peer_requests.reject)
        self._sequence = 0
        self._serving = None

    async def start(self, configured, targets):
        """Adopt a configuration and targets, and serve other VMs."""
        self.adopt(configured, targets)
        address = self.state.settings.peer_requests
        sock = tcp_server_socket(address.host, address.port)
        self._serving = await curio.spawn(run_server, sock, self._serve, daemon=True)
        await curio.spawn(
            self._prober.run, self._caller.abandon_calls, self._peers.close, daemon=True
        )

    async def stop(self):
        """Stop serving other VMs, as a killed VM does."""
        await self._serving.cancel()

    def adopt(self, configured, targets, revision=20):
        """Adopt a configuration and the registrations of targets, given as pairs."""
        listings = {
            ObjectKind.CONFIGURATION: [stored("main", configured, revision)],
            ObjectKind.TARGETS: [stored(name, spec, revision) for name, spec in targets],
            ObjectKind.EVACUATIONS: [],
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
        await self.peer_server.serve(sock, address)


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
                await sock.recv(1)
                self.left += 1
                return
            await sock.sendall(answer_bytes(request_id=request_id))


class CutOffFleet:
    """Entry VMs that hear each other, and targets that all of them use.

    :param domains: the failure domain of each VM
    :param port: port at which every VM serves the others, each at an address of its own
    """

    def __init__(self, domains, *, port, targets=4, work_seconds=0.05, configured=None):
        self.vms = [
            FleetVM(f"{domain}-{index}", domain, f"127.9.6.{index + 1}", port)
            for index, domain in enumerate(domains)
        ]
        self.targets = [WorkingTarget(f"t{index}", work_seconds) for index in range(targets)]
        self._configured = configured or configuration()

    @property
    def runs(self):
        """The ids of the requests that targets began to run, in no order."""
        return [run for stub in self.targets for run in stub.runs]

    async def start(self):
        """Start the targets and the VMs, which report to each other from then on."""
        registrations = []
        for index, stub in enumerate(self.targets):
            await stub.start("127.9.7.1")
            domain = list(REGIONS)[index % len(REGIONS)]
            spec = target(stub.address, zone=domain, max_concurrency=50)
            registrations.append((stub.name, spec))
        for vm in self.vms:
            await vm.start(self._configured, registrations)
        self.report()
        await curio.spawn(self._report_forever, daemon=True)

    def report(self):
        """Deliver a report of each VM to all others."""
        for vm in self.vms:
            report = vm.report()
            for other in self.vms:
                if other is not vm:
                    other.state.peers.receive(report, other.state.clock.now())

    async def _report_forever(self):
        while True:
            await curio.sleep(_REPORT_SECONDS)
            self.report()
