"""Demonstration on small sites of real processes; fails if a guarantee was violated."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import curio
import fire

from carawayquay_standins.caller import ResultKind
from carawayquay_standins.layout import CASCADE, KOHLENGLUT, LAYOUTS
from carawayquay_standins.site import Site, SiteError, http_request, wait_until
from carawayquay_standins.workload import Workload, check_records

if TYPE_CHECKING:
    from carawayquay_standins.layout import Layout
    from carawayquay_standins.workload import CheckResult

__all__ = ["Demo", "main"]

_VMS_PER_DOMAIN = 3
_CALLERS_PER_DOMAIN = 2
_PHASE_SECONDS = 3.0
_VM_LIST_DELAY_SECONDS = 1.0
_COMMAND_SECONDS = 15.0


class Demo:
    """Runs a site under load through a drain, the loss of an entry VM and a document change."""

    def __init__(self, layout: Layout, folder: Path) -> None:
        self._layout = attrs.evolve(layout, vms_per_domain=_VMS_PER_DOMAIN)
        self._site = Site(self._layout, folder)
        self._settings = self._site.write_operator_settings()
        entries = {
            domain: [self._site.callers[vm] for vm in self._site.vms_in_domain(domain)]
            for _, domain in self._layout.domains
        }
        self._workload = Workload(self._layout, entries, _CALLERS_PER_DOMAIN)
        self._problems: list[str] = []

    def run(self) -> bool:
        """Run all phases and return whether no problem was found."""
        started = time.monotonic()
        try:
            self._site.up()
            print(
                f"{self._layout.name}: {len(self._site.vms)} entry VMs and "
                f"{len(self._site.targets)} targets in {len(self._layout.domains)} failure "
                f"domains run after {time.monotonic() - started:.1f} s"
            )
            check_result = self._run_phases()
        finally:
            self._site.down()
        self._report(check_result)
        return not self._problems

    def _run_phases(self) -> CheckResult:
        """Run all phases under load and check the callers' results against the targets' runs."""
        self._workload.phase = "steady"
        caller_thread = threading.Thread(target=curio.run, args=(self._workload.run,))
        caller_thread.start()
        try:
            time.sleep(_PHASE_SECONDS)
            for phase, run_phase in (
                ("drain", self._drain_domain),
                ("entry VM killed", self._replace_vm),
                ("changed document", self._change_document),
            ):
                self._workload.phase = phase
                run_phase()
        except SiteError as error:
            self._problems.append(str(error))
        finally:
            self._workload.stop()
            caller_thread.join()
        return check_records(self._workload.records, self._site.runs())

    def _drain_domain(self) -> None:
        """Drain a failure domain for all services, check that it stays idle, and lift the drain."""
        place = self._layout.domains[0][1]
        services = [service.name for service in self._layout.services]
        started = time.monotonic()
        for service in services:
            self._ctl_json("drain", place, service)
        wait_until(lambda: self._is_drained(place, len(services)), f"{place} is drained")
        seconds = time.monotonic() - started
        before = self._run_count(place)
        time.sleep(1.0)
        late_starts = self._run_count(place) - before
        print(f"  drain of {place}: empty after {seconds:.1f} s, {late_starts} requests afterwards")
        if late_starts:
            self._problems.append(f"{late_starts} requests started on drained {place}")
        for service in services:
            self._ctl_json("undrain", place, service)
        time.sleep(_PHASE_SECONDS)

    def _replace_vm(self) -> None:
        """Kill an entry VM, remove it from the VM list after a delay, then replace it."""
        region, domain = self._layout.domains[-1]
        name = self._site.vms_in_domain(domain)[0]
        self._site.vms[name].kill()
        print(f"  entry VM {name} killed")
        time.sleep(_VM_LIST_DELAY_SECONDS)
        self._site.publish_vm_list(region, domain, without=(name,))
        time.sleep(_PHASE_SECONDS)
        self._site.vms[name].start()
        self._site.publish_vm_list(region, domain)
        self._site.wait_ready(name)
        print(f"  entry VM {name} replaced")

    def _change_document(self) -> None:
        """Apply a changed document and wait until it is in force on every entry VM."""
        service = self._layout.services[0]
        document = self._site.document(service, timeout=1.9)
        file = self._settings.with_name("changed.json")
        file.write_text(json.dumps(document))
        started = time.monotonic()
        applied = self._ctl_json("apply", str(file))
        version = applied["version"]
        wait_until(
            lambda: all(
                self._site.state(vm)["documents"][service.name]["version"] == version
                for vm in self._site.vms
            ),
            f"version {version} is in force everywhere",
        )
        seconds = time.monotonic() - started
        print(
            f"  change of {service.name}: version {version} in force on all VMs in {seconds:.1f} s"
        )
        time.sleep(_PHASE_SECONDS)

    def _ctl_json(self, *arguments: str) -> Any:
        """Run ``carawayquayctl`` and return the JSON value that it prints.

        :raises SiteError: if it exits with an error
        """
        completed_process = self._run_ctl(*arguments)
        if completed_process.returncode != 0:
            raise SiteError(
                f"carawayquayctl {' '.join(arguments)}: {completed_process.stderr.strip()}"
            )
        return json.loads(completed_process.stdout)

    def _run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "carawayquayctl.cli", *arguments, "--json"]
        command += ["--settings", str(self._settings)]
        return subprocess.run(command, capture_output=True, text=True, timeout=_COMMAND_SECONDS)

    def _is_drained(self, place: str, services: int) -> bool:
        drains = json.loads(self._run_ctl("status").stdout)["drains"]
        states = [drain["state"] for drain in drains if drain["place"] == place]
        return states == ["drained"] * services

    def _run_count(self, domain: str) -> int:
        """Return the number of runs recorded by the targets of a failure domain."""
        return sum(
            len(http_request(process.address, "GET", "/runs").json()["runs"])
            for name, process in self._site.targets.items()
            if f"-{domain}-" in name
        )

    def _report(self, check_result: CheckResult) -> None:
        self._problems += check_result.problems
        counts = ", ".join(
            f"{count} {kind}" for kind, count in sorted(check_result.result_counts.items())
        )
        total = sum(check_result.result_counts.values())
        print(f"  {total} requests, {check_result.bookings} of them bookings: {counts}")
        print(f"  {check_result.retried} were sent more than once")
        for record in self._workload.records:
            refusal = (
                record.result.response if record.result.kind is not ResultKind.ANSWERED else None
            )
            if refusal is not None:
                error = refusal.header(b"carawayquay-error")
                print(f"  refused after {record.result.attempts} attempts: {record.path}: {error}")
        for phase in dict.fromkeys(record.phase for record in self._workload.records):
            print(f"  {phase}: {self._latency(phase)}")
        for problem in self._problems:
            print(f"  PROBLEM: {problem}")

    def _latency(self, phase: str) -> str:
        """Return a summary of the latency and headroom in a phase."""
        records = [record for record in self._workload.records if record.phase == phase]
        answered = [record for record in records if record.result.kind is ResultKind.ANSWERED]
        times = sorted(record.seconds for record in answered)
        if not times:
            return "no request was answered"
        p50, p99 = (times[min(len(times) - 1, int(len(times) * q))] for q in (0.5, 0.99))
        return (
            f"{len(answered)} of {len(records)} answered, latency p50 {p50 * 1000:.0f} ms, "
            f"p99 {p99 * 1000:.0f} ms, headroom {self._headroom(records):.0%}"
        )

    def _headroom(self, records: list[Any]) -> float:
        """Return the fraction of slots that was free on average during the given requests."""
        if len(records) < 2:
            return 1.0
        slots = sum(
            service.slots * service.targets_per_domain * len(self._layout.domains)
            for service in self._layout.services
        )
        durations = [record.seconds for record in records]
        elapsed = max(r.started + r.seconds for r in records) - min(r.started for r in records)
        return max(0.0, 1 - sum(durations) / elapsed / slots)


def main(layout: str = "both") -> None:
    """Run the demonstration; exit 1 if a guarantee was violated or a phase failed.

    :param layout: cascade, kohlenglut, small or both
    """
    layouts = [CASCADE, KOHLENGLUT] if layout == "both" else [LAYOUTS[layout]]
    ok = True
    for site_layout in layouts:
        with tempfile.TemporaryDirectory() as folder:
            ok = Demo(site_layout, Path(folder)).run() and ok
    print("no problem found" if ok else "PROBLEMS FOUND")
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    fire.Fire(main)
