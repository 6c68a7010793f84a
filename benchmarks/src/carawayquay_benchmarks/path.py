"""Benchmark of the request path: look-ups/s, latency added by entry VMs, memory of a daemon."""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING

import attrs

from carawayquay_benchmarks.load import exchange, open_socket, quantile, request_rate
from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site, free_address, http_request, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.membership import Address

__all__ = ["main"]

_LAYOUT = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=2)
_SERVICE = "sledway"
_ROUNDS = 5
_ROUND_SECONDS = 2.0
_CONNECTIONS = 16
_REQUESTS = 1500
_MIN_LOOKUP_RATIO = 0.7
_MIN_LOOKUPS_PER_SECOND = 4800
_IDLE_PROGRAM = "import sys, time, carawayquayd.app; print('ready', flush=True); time.sleep(600)"


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: entry\r\nX-Work-Ms: 1\r\n\r\n".encode()


def _measure_lookups(site: Site, folder: Path) -> None:
    """Compare the look-up rate with that of a bare server with the same answers, alternately."""
    vm = next(iter(site.vms))
    lookup = f"/lookup/{_SERVICE}"
    body = folder / "lookup.json"
    body.write_bytes(http_request(site.callers[vm], "GET", lookup).body)
    with _bare_server(body) as bare:
        rates = []
        for _ in range(_ROUNDS):
            bare_rate = request_rate(bare, _request(lookup), _CONNECTIONS, _ROUND_SECONDS)
            daemon_rate = request_rate(
                site.callers[vm], _request(lookup), _CONNECTIONS, _ROUND_SECONDS
            )
            rates.append((bare_rate, daemon_rate))
    ratio = median(daemon / bare for bare, daemon in rates)
    daemon = median(daemon for _, daemon in rates)
    print(f"look-ups/s: bare {median(bare for bare, _ in rates):.0f}, daemon {daemon:.0f}")
    print(
        f"look-up ratio: {ratio:.2f} (aim {_MIN_LOOKUP_RATIO}, {_met(ratio >= _MIN_LOOKUP_RATIO)})"
    )
    print(
        f"look-up goal: {_MIN_LOOKUPS_PER_SECOND}/s on one core, "
        f"{_met(daemon >= _MIN_LOOKUPS_PER_SECOND)}"
    )


def _measure_hops(site: Site) -> None:
    """Compare the latency through entry VMs with that of direct requests, alternately."""
    target = next(iter(site.targets.values()))
    sockets = {"direct": open_socket(target.address)}
    owns_slots = {vm: bool(site.state(vm)["targets"]) for vm in site.vms}
    for vm, has_slots in owns_slots.items():
        name = "through the owner" if has_slots else "through another entry VM"
        sockets.setdefault(name, open_socket(site.callers[vm]))
    times: dict[str, list[float]] = {name: [] for name in sockets}
    for _ in range(_REQUESTS):
        for name, sock in sockets.items():
            path = "/stones" if name == "direct" else f"/services/{_SERVICE}/stones"
            times[name].append(exchange(sock, _request(path)))
    for sock in sockets.values():
        sock.close()
    direct = times.pop("direct")
    for name, latencies in times.items():
        added = [quantile(latencies, q) - quantile(direct, q) for q in (0.5, 0.99)]
        print(
            f"added latency {name}: p50 {added[0] * 1000:.2f} ms, p99 {added[1] * 1000:.2f} ms "
            f"(ratio p50 {quantile(latencies, 0.5) / quantile(direct, 0.5):.2f})"
        )


def _measure_memory(site: Site) -> None:
    """Compare the memory of a daemon with that of an interpreter with the same imports."""
    daemon = _resident_mib(next(iter(site.vms.values())).pid)
    with subprocess.Popen([sys.executable, "-c", _IDLE_PROGRAM], stdout=subprocess.PIPE) as idle:
        idle.stdout.readline()
        bare = _resident_mib(idle.pid)
        idle.kill()
    print(
        f"memory: daemon {daemon:.1f} MiB, interpreter with the same imports {bare:.1f} MiB, "
        f"{daemon - bare:.1f} MiB above it, ratio {daemon / bare:.2f}"
    )


def _met(met: bool) -> str:
    return "met" if met else "MISSED"


def _resident_mib(pid: int) -> float:
    found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024


@contextmanager
def _bare_server(body: Path) -> Iterator[Address]:
    address = free_address()
    command = [sys.executable, "-m", "carawayquay_benchmarks.bare_server"]
    command += [address.host, str(address.port), str(body)]
    with subprocess.Popen(command) as process:
        try:
            wait_until(
                lambda: http_request(address, "GET", "/").status == 200, "the bare server answers"
            )
            yield address
        finally:
            process.kill()


def main() -> None:
    """Measure on a small site and print each result with its reference from the same run."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = Site(_LAYOUT, folder)
        try:
            site.up()
            _measure_memory(site)
            _measure_lookups(site, folder)
            _measure_hops(site)
            _measure_memory(site)
        finally:
            site.down()
    print(f"took {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
