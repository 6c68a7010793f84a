"""Benchmark of the control traffic of one entry VM in fleets of growing size.

One gateway runs as a process. This program simulates the store and all other VMs: those of the
gateway's domain send load reports, and other domains send summaries, at the intervals that the
gateway itself uses. No caller sends requests, so the process only handles control traffic.
"""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import attrs
import curio
import fire
from curio.network import run_server, tcp_server_socket

from carawayquay.domain_relays import relays
from carawayquay.load_reports import (
    DomainSummary,
    LoadReport,
    ServiceRate,
    TargetCount,
    VMIdentity,
    WarmObject,
    short_hash,
)
from carawayquay.membership import Address
from carawayquay.report_timing import Distance, report_timing, summary_timing
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient
from carawayquay_wire.reports import encode_report, encode_summary

__all__ = ["ControlCost", "main", "measure"]

_GATEWAY_PROGRAM = Path(__file__).resolve().parents[3] / "deploy" / "gateway.py"
_SERVICES = ("granite", "sledway", "pebblecal")
_SETTLE_SECONDS = 6.0
_PORT_STEP = 10

#: Contents of a load report: targets with in-flight requests, and newly warm objects.
_REPORTED_TARGETS = 15
_REPORTED_WARM_OBJECTS = 4

#: Contents of a domain summary: targets with in-flight requests, and newly warm objects.
_SUMMARY_TARGETS = 120
_SUMMARY_WARM_OBJECTS = 40


@attrs.frozen
class Fleet:
    """The size of a fleet.

    :param vms: number of entry VMs in all domains
    :param domains: number of failure domains, three per region
    :param targets: number of registered targets
    """

    vms: int
    domains: int
    targets: int = 550

    @property
    def vms_per_domain(self) -> int:
        """The number of VMs in one domain."""
        return self.vms // self.domains


@attrs.frozen
class ControlCost:
    """The cost of control traffic for one VM.

    :param relay: whether the VM was chosen as a relay, see :func:`measure`
    :param core_fraction: processor time per second, as a fraction of a core
    :param resident_mb: resident memory in MB
    :param sent: datagrams sent in KB/s
    :param received: datagrams received in KB/s
    :param start_seconds: processor time in seconds from the start until the VM is ready
    """

    fleet: Fleet
    relay: bool
    core_fraction: float
    resident_mb: float
    sent: float
    received: float
    start_seconds: float

    def __str__(self) -> str:
        role = "relay" if self.relay else "member"
        return (
            f"{self.fleet.vms:5} VMs {self.fleet.domains:3} domains {role:6}  "
            f"core {100 * self.core_fraction:5.2f}%  resident {self.resident_mb:5.1f} MB  "
            f"sent {self.sent:6.1f} KB/s  received {self.received:6.1f} KB/s  "
            f"start {self.start_seconds:.2f} s"
        )


def main(
    sizes: str = "16:6,50:6,100:6,200:9,400:18,1000:50", seconds: float = 10.0, targets: int = 550
) -> None:
    """Print the cost at each size, for a VM with the fewest possible relay roles and for a relay.

    :param sizes: numbers of VMs and domains of each fleet, as ``vms:domains``
    :param seconds: duration of each measurement
    :param targets: number of registered targets
    """
    for size in sizes.split(",") if isinstance(sizes, str) else sizes:
        vms, _, domains = size.partition(":")
        fleet = Fleet(int(vms), int(domains), targets)
        for relay in (False, True):
            print(measure(fleet, relay, seconds), flush=True)


def measure(fleet: Fleet, relay: bool, seconds: float) -> ControlCost:
    """Measure the cost of control traffic for one VM of a fleet.

    :param relay: True for a VM that is the first relay of its domain for at least one other domain,
        False for one that is it for as few domains as possible
    :param seconds: duration of the measurement
    """
    return curio.run(_SimulatedFleet(fleet, relay).measure, seconds)


class _SimulatedFleet:
    """The store and the other VMs of a fleet, simulated around one gateway process."""

    def __init__(self, fleet: Fleet, relay: bool) -> None:
        self._fleet = fleet
        self._relay = relay
        self._random = random.Random(1)
        self._port = 20_000 + self._random.randrange(200) * _PORT_STEP + os.getpid() % 3000
        self._domains = [f"domain-{index}" for index in range(fleet.domains)]
        self._regions = {name: f"region-{i // 3}" for i, name in enumerate(self._domains)}
        domain_peers = [f"vm-0-{number}" for number in range(1, fleet.vms_per_domain)]
        own_name = next(
            name
            for name in (f"vm-0-own{index}" for index in range(10_000))
            if self._has_role(name, domain_peers, relay)
        )
        self._own = self._vm(0, 250, own_name)
        self._domain_peers = [
            self._vm(0, number, name) for number, name in enumerate(domain_peers, 1)
        ]
        self._target_hashes = [short_hash(f"i-{index:08x}") for index in range(fleet.targets)]

    def _has_role(self, name: str, domain_peers: list[str], relay: bool) -> bool:
        """Return whether a VM of this name has the role that is measured.

        :param relay: True for the first relay for at least one other domain, False for a VM that
            is it for as few domains as possible
        """
        relayed_domains = [
            name in relays("domain-0", domain, [*domain_peers, name])[:1]
            for domain in self._domains[1:]
        ]
        # In a small domain among many domains, every VM is a relay for some domain.
        max_unavoidable = len(relayed_domains) // self._fleet.vms_per_domain
        return any(relayed_domains) if relay else sum(relayed_domains) <= max_unavoidable

    def _vm(self, domain: int, number: int, name: str = "") -> VMIdentity:
        host = f"127.{40 + domain // 200}.{domain % 200}.{number}"
        name = name or f"vm-{domain}-{number}"
        return VMIdentity(
            name, host, self._domains[domain], self._regions[self._domains[domain]], 1
        )

    async def measure(self, seconds: float) -> ControlCost:
        """Start the gateway process, simulate the fleet and return the cost for the process."""
        store = PlatformStoreStandIn()
        await self._fill_store(store)
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, store.http.serve, daemon=True)
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            settings = folder / "gateway.ini"
            settings.write_text(self._settings_text(sock.getsockname()[1]))
            process = subprocess.Popen(
                [sys.executable, str(_GATEWAY_PROGRAM)],
                env=os.environ | {"CARAWAYQUAY_NODE_FILE": str(settings)},
                stdout=subprocess.DEVNULL,
            )
            try:
                return await self._measure_process(process.pid, seconds)
            finally:
                process.terminate()
                process.wait()

    async def _measure_process(self, pid: int, seconds: float) -> ControlCost:
        for peer in self._domain_peers:
            await curio.spawn(self._report, peer, daemon=True)
        for index in range(1, self._fleet.domains):
            await curio.spawn(self._summarize, index, daemon=True)
        while not await self._ready():
            await curio.sleep(0.05)
        startup_cpu_seconds = _cpu_seconds(pid)
        await curio.sleep(_SETTLE_SECONDS)
        cpu_seconds, transferred = _cpu_seconds(pid), await self._datagram_bytes()
        await curio.sleep(seconds)
        cpu_seconds_after, transferred_after = _cpu_seconds(pid), await self._datagram_bytes()
        return ControlCost(
            self._fleet,
            self._relay,
            (cpu_seconds_after - cpu_seconds) / seconds,
            _resident_mb(pid),
            (transferred_after["sent"] - transferred["sent"]) / seconds / 1000,
            (transferred_after["taken"] - transferred["taken"]) / seconds / 1000,
            startup_cpu_seconds,
        )

    async def _report(self, vm: VMIdentity) -> None:
        """Send the load reports of one VM in the domain of the process."""
        sock = _datagram_socket(vm.host)
        timing = report_timing(Distance.DOMAIN, self._fleet.vms_per_domain - 1)
        await curio.sleep(self._random.random() * timing.interval.total_seconds())
        sequence = 0
        while True:
            sequence += 1
            report = LoadReport(
                sender=vm,
                sequence=sequence,
                leaving=False,
                revisions=(2, self._fleet.targets + 2, 0),
                watching=vm is self._domain_peers[0],
                targets=self._target_counts(_REPORTED_TARGETS),
                rates=tuple(ServiceRate(short_hash(name), 3.0) for name in _SERVICES),
                warmed=self._warm_objects(_REPORTED_WARM_OBJECTS),
                members=tuple(self._domain_peers[:3]) if sequence % 11 == 0 else (),
            )
            sock.sendto(encode_report(report), (self._own.host, self._port + 4))
            await curio.sleep(timing.interval.total_seconds())

    async def _summarize(self, index: int) -> None:
        """Send the summaries of one other domain to the process."""
        members = tuple(
            self._vm(index, number) for number in range(1, self._fleet.vms_per_domain + 1)
        )
        own_distance = Distance.REGION if members[0].region == self._own.region else Distance.FAR
        counts: dict[Distance, int] = {}
        for name in self._domains[1:]:
            same = self._regions[name] == self._own.region
            distance = Distance.REGION if same else Distance.FAR
            counts[distance] = counts.get(distance, 0) + 1
        timing = summary_timing(own_distance, counts, self._fleet.vms_per_domain - 1)
        # If a peer of the process is the first relay for this domain, it forwards the summaries.
        names = [self._own.name, *(peer.name for peer in self._domain_peers)]
        first_relay = relays("domain-0", self._domains[index], names)[0]
        relaying_peer = next(
            (peer for peer in self._domain_peers if peer.name == first_relay), None
        )
        sock = _datagram_socket(
            relaying_peer.host if relaying_peer is not None else members[0].host
        )
        await curio.sleep(self._random.random() * timing.interval.total_seconds())
        sequence = 0
        while True:
            sequence += 1
            summary = DomainSummary(
                sender=members[0],
                sequence=sequence,
                revisions=(2, self._fleet.targets + 2, 0),
                vms=len(members),
                members=members if sequence % 4 == 1 else (),
                targets=self._target_counts(_SUMMARY_TARGETS),
                rates=tuple(ServiceRate(short_hash(name), 40.0) for name in _SERVICES),
                warmed=self._warm_objects(_SUMMARY_WARM_OBJECTS),
            )
            sock.sendto(encode_summary(summary), (self._own.host, self._port + 5))
            await curio.sleep(timing.interval.total_seconds())

    def _target_counts(self, number: int) -> tuple[TargetCount, ...]:
        chosen = self._random.sample(self._target_hashes, min(number, len(self._target_hashes)))
        return tuple(TargetCount(target_hash, 1 + target_hash % 5) for target_hash in chosen)

    def _warm_objects(self, number: int) -> tuple[WarmObject, ...]:
        return tuple(
            WarmObject(self._random.choice(self._target_hashes), self._random.randrange(2000))
            for _ in range(number)
        )

    async def _ready(self) -> bool:
        try:
            address = Address(self._own.host, self._port + 1)
            request = HttpRequest("GET", "/ready", (), b"")
            return (await HttpClient().exchange(address, request, 1.0)).status == 200
        except Exception:
            return False

    async def _datagram_bytes(self) -> dict[str, float]:
        """Return the bytes of the datagrams that the process has sent and received."""
        address = Address(self._own.host, self._port + 3)
        request = HttpRequest("GET", "/metrics", (), b"")
        text = (await HttpClient().exchange(address, request, 5.0)).body.decode()
        transferred_bytes = {"sent": 0.0, "taken": 0.0}
        for line in text.splitlines():
            for direction in transferred_bytes:
                if f"datagram_bytes_{direction}_total{{" in line:
                    transferred_bytes[direction] += float(line.rpartition(" ")[2])
        return transferred_bytes

    async def _fill_store(self, store: PlatformStoreStandIn) -> None:
        await store.put("config", "main", _configuration())
        for index in range(self._fleet.targets):
            await store.put(
                "servers",
                f"i-{index:08x}",
                {
                    "service": _SERVICES[index % len(_SERVICES)],
                    "address": f"127.90.0.1:{10_000 + index}",
                    "zone": self._domains[index % len(self._domains)],
                    "max_concurrency": 9,
                    "state": "ready",
                    "cold_left": "0ms",
                    "sequence": 1,
                },
            )

    def _settings_text(self, store_port: int) -> str:
        host, port = self._own.host, self._port
        regions = "\n".join(f"{domain} = {region}" for domain, region in self._regions.items())
        return f"""
[vm]
name = {self._own.name}
domain = {self._own.domain}
region = {self._own.region}
[listen]
callers = {host}:{port}
ready = {host}:{port + 1}
lookups = {host}:{port + 2}
admin = {host}:{port + 3}
ports = {port + 4},{port + 6}
[peers]
seeds = {self._domain_peers[0].host}:{port + 3}
[store]
address = 127.0.0.1:{store_port}
[bounds]
lookup_life = 5s
stop = 2s
[regions]
{regions}
"""


def _configuration() -> dict[str, Any]:
    paths = [
        {
            "name": f"r-{name}",
            "path_prefix": f"/{name}/",
            "kind": "idempotent",
            "timeout": "3s",
            "target_latency": "1s",
            "service": name,
            "max_attempts": 2,
            "sticky": True,
        }
        for name in _SERVICES
    ]
    return {
        "version": "r1",
        "services": [{"name": name, "max_conns": 100} for name in _SERVICES],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
        "virtual_hosts": [{"host": "stones.example", "paths": paths}],
    }


def _datagram_socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, 0))
    return sock


def _cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


if __name__ == "__main__":
    fire.Fire(main)
