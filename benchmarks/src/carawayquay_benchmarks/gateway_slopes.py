"""Cost slopes of the gateway's decisions and codec, for docs/CAPACITY.md."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayquay.configuration_drafts import build_configuration
from carawayquay.discovery import RegisteredTarget, TargetRegistry, TargetState
from carawayquay.entry_peers import EntryPeers
from carawayquay.forwarding_peers import ForwardingPeers
from carawayquay.load_reports import LoadReport, TargetCount, VMIdentity, WarmObject
from carawayquay.membership import Address
from carawayquay.placement import Candidate, WorkTimes, choose_cheapest
from carawayquay.target_pools import TargetPool
from carawayquay.target_stats import TargetStats
from carawayquay.warm_objects import WarmObjects
from carawayquay_benchmarks.regression import Slope, bytes_slope, cpu_slope, memory_slope
from carawayquay_platform.configuration import parse_configuration
from carawayquay_wire.reports import decode_report, encode_report

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["main"]

_ROUTES = (10, 100, 400, 1600)
_TARGETS = (12, 50, 150, 600)
_VMS = (20, 143, 500, 2000)
_REPEATS = 100

#: Number of candidate targets of a request.
_CONSIDERED = 2
_NOW = timedelta(seconds=10)
_OWN_VM = VMIdentity("edge-0", "10.0.0.1", "puget-a", "puget", 1)


def configuration_slopes() -> list[Slope]:
    """Measure the cost of a configuration by its number of routes."""
    return [
        cpu_slope("parsing of a configuration, by routes", _ROUTES, _read_work),
        memory_slope("configuration in force, by routes", _ROUTES, _configuration),
    ]


def report_slopes() -> list[Slope]:
    """Measure the cost of load reports by the number of targets in them and of sending VMs."""
    return [
        bytes_slope("load report, by targets", _TARGETS, lambda n: len(encode_report(_report(n)))),
        cpu_slope("100 load reports encoded, by targets", _TARGETS, _encode_work),
        cpu_slope("100 load reports decoded, by targets", _TARGETS, _decode_work),
        memory_slope("reports of other VMs, by VMs", _VMS, _peers),
    ]


def placement_slopes() -> list[Slope]:
    """Measure the cost of placement by the number of targets."""
    return [
        cpu_slope("100 choices of a target, by targets", _TARGETS, _choice_work),
        memory_slope("targets with 100 warm objects each, by targets", _TARGETS, _warm_objects),
    ]


def forwarding_slopes() -> list[Slope]:
    """Measure the cost of choosing a VM through which to send, by the number of other VMs."""
    return [
        cpu_slope(
            "a sample and 100 choices of a VM to send through, by VMs", _VMS, _forwarding_work
        )
    ]


def main() -> None:
    """Print every slope."""
    slopes = (
        *configuration_slopes(),
        *report_slopes(),
        *placement_slopes(),
        *forwarding_slopes(),
    )
    for slope in slopes:
        print(slope)


def _configuration_value(routes: int) -> dict[str, Any]:
    paths = [
        {
            "name": f"r-{index}",
            "path_prefix": f"/part{index}/",
            "kind": "idempotent",
            "timeout": "1200ms",
            "target_latency": "200ms",
            "priority": 2,
            "service": "granite",
            "max_attempts": 2,
            "sticky": True,
            "allowed_regions": [],
        }
        for index in range(routes)
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    hosts = [{"host": "stones.example", "paths": paths}]
    return {"version": "r1", "services": [], "limits": limits, "virtual_hosts": hosts}


def _read_work(routes: int) -> Callable[[], Any]:
    value = _configuration_value(routes)
    return lambda: build_configuration(parse_configuration(value))


def _configuration(routes: int) -> Any:
    return build_configuration(parse_configuration(_configuration_value(routes)))


def _report(targets: int, vm: VMIdentity = _OWN_VM) -> LoadReport:
    return LoadReport(
        sender=vm,
        sequence=1,
        leaving=False,
        revisions=(1, 2, 3),
        targets=tuple(TargetCount(index * 7919, index % 9) for index in range(targets)),
        warmed=tuple(WarmObject(index, index) for index in range(20)),
    )


def _encode_work(targets: int) -> Callable[[], Any]:
    report = _report(targets)
    return lambda: [encode_report(report) for _ in range(_REPEATS)]


def _decode_work(targets: int) -> Callable[[], Any]:
    data = encode_report(_report(targets))
    return lambda: [decode_report(data) for _ in range(_REPEATS)]


def _peers(vms: int) -> EntryPeers:
    peers = EntryPeers(_OWN_VM)
    for index in range(vms):
        vm = VMIdentity(f"edge-{index}", f"10.0.{index >> 8}.{index & 255}", "puget-a", "puget", 1)
        peers.receive(_report(12, vm), _NOW)
    return peers


def _forwarding_work(vms: int) -> Callable[[], Any]:
    peers = _peers(vms)
    forwarding = ForwardingPeers(_OWN_VM, random.Random(1))

    def choose() -> None:
        sample = forwarding.sample(peers.forwarding_vms(_NOW), _NOW)
        for _ in range(_REPEATS):
            forwarding.choose(sample, (), (), _NOW)

    return choose


def _registered(targets: int) -> list[RegisteredTarget]:
    registry = TargetRegistry()
    for index in range(targets):
        target = RegisteredTarget(
            name=f"i-{index:08x}",
            service="granite",
            address=Address("10.0.0.1", 1000 + index),
            domain="puget-a",
            region="puget",
            slots=9,
            state=TargetState.READY,
            cold_for=timedelta(),
            incarnation=1,
        )
        registry.register(target, _NOW)
    return list(registry.ready("granite"))


def _choice_work(targets: int) -> Callable[[], Any]:
    registered = _registered(targets)
    pool = TargetPool(tuple(registered))
    stats = {target.name: TargetStats() for target in registered}
    times = WorkTimes(0.08, 0.26, 0.1)

    def choose() -> None:
        for index in range(_REPEATS):
            order = pool.first(f"k{index}", lambda _: True, _CONSIDERED)
            candidates = [
                Candidate(target, stats[target.name], 3, target is order[0], 0.001)
                for target in order
            ]
            choose_cheapest(candidates, times, lambda _: 0.1)

    return choose


def _warm_objects(targets: int) -> WarmObjects:
    warm = WarmObjects()
    for index in range(targets):
        for key in range(100):
            warm.record(f"i-{index:08x}", (index * 31 + key) * 104729)
    return warm


if __name__ == "__main__":
    main()
