"""Benchmark of slot use, takeover and draining of the targets of Cascade and Kohlenglut.

It runs real processes. One failure domain with three entry VMs is representative, since domains
share no slots.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import fire

from carawayquay_standins.layout import CASCADE, KOHLENGLUT
from carawayquay_standins.load import BackgroundLoad
from carawayquay_standins.site import Site, http_request, wait_until

if TYPE_CHECKING:
    from carawayquay_standins.layout import Layout, Service

__all__ = ["SlotFigures", "main", "measure"]

_VMS = 3
_WORK_MS = 20.0
_STEADY_SECONDS = 4.0
_TAKEOVER_SECONDS = 6.0

#: Requests in flight per slot; above 1, so that some always wait.
_IN_FLIGHT_PER_SLOT = 2

_DOCUMENT = {"timeout": 1, "warm_up": 0}


@attrs.frozen
class SlotFigures:
    """The measurements of one service.

    :param slots: slots of all its targets
    :param slot_use: utilization of the slots by completed work, 0 to 1
    :param refused: number of answers without status 200 before and during that measurement
    :param overruns: number of requests offered to targets above their slots, in all phases
    :param gap_seconds: longest time without an answer after an owner was killed
    :param takeover_ratio: answers/s after the kill, relative to those before
    :param drain_seconds: time from the change of the document to the last request that the
        drained target started
    :param cut_off: number of requests that were cancelled on the drained target
    """

    service: str
    slots: int
    slot_use: float
    refused: int
    overruns: int
    gap_seconds: float
    takeover_ratio: float
    drain_seconds: float
    cut_off: int


def measure(layout: Layout, service: Service) -> SlotFigures:
    """Measure one service of a layout in a failure domain of its own."""
    service = attrs.evolve(service, work_ms=_WORK_MS, document=_DOCUMENT)
    single_domain_layout = attrs.evolve(
        layout,
        regions=layout.regions[:1],
        services=(service,),
        domains_per_region=1,
        vms_per_domain=_VMS,
    )
    with tempfile.TemporaryDirectory() as folder:
        site = Site(single_domain_layout, Path(folder))
        try:
            site.up()
            return _measure_site(site, service)
        finally:
            site.down()


def main() -> None:
    """Measure every service of both layouts and print the results."""
    for layout in (CASCADE, KOHLENGLUT):
        for service in layout.services:
            figures = measure(layout, service)
            print(" ".join(f"{name}={value}" for name, value in attrs.asdict(figures).items()))


def _measure_site(site: Site, service: Service) -> SlotFigures:
    slots = service.slots * service.targets_per_domain
    _wait_all_slots(site, slots)
    path = f"/services/{service.name}/stones"
    with BackgroundLoad(list(site.callers.values()), path, slots * _IN_FLIGHT_PER_SLOT) as load:
        time.sleep(1.0)
        steady = _answers(load, _STEADY_SECONDS)
        refused = sum(answer.status != 200 for answer in load.results)
        drained = next(iter(site.targets))
        drain_seconds, cut_off = _drain(site, service, drained)
        _undrain(site, service)
        _wait_all_slots(site, slots)
        before = _answers(load, _STEADY_SECONDS) / _STEADY_SECONDS
        killed_at = time.monotonic()
        site.vms[_owner(site)].kill()
        after = _answers(load, _TAKEOVER_SECONDS) / _TAKEOVER_SECONDS
    return SlotFigures(
        service=service.name,
        slots=slots,
        slot_use=round(steady * _WORK_MS / 1000 / _STEADY_SECONDS / slots, 3),
        refused=refused,
        overruns=sum(_report(site, name)["offered_over"] for name in site.targets),
        gap_seconds=round(_longest_gap(load, killed_at), 2),
        takeover_ratio=round(after / before, 2),
        drain_seconds=round(drain_seconds, 2),
        cut_off=cut_off,
    )


def _answers(load: BackgroundLoad, seconds: float) -> int:
    """Return the number of requests that targets answer during the next seconds."""
    before = load.completed
    time.sleep(seconds)
    return load.completed - before


def _drain(site: Site, service: Service, target: str) -> tuple[float, int]:
    """Drain a target and return the seconds to its last start, and the number of cancellations."""
    _write(site, service, drains=[target])
    changed_at = time.monotonic() * 1000
    time.sleep(3.0)
    runs = _report(site, target)["runs"]
    last = max(run["started_ms"] for run in runs)
    return max(0.0, last - changed_at) / 1000, sum(run["cancelled"] for run in runs)


def _undrain(site: Site, service: Service) -> None:
    _write(site, service)


def _write(site: Site, service: Service, **changes: Any) -> None:
    stored = http_request(site.store.address, "GET", f"/objects/documents/{service.name}").json()
    site.write_document(service.name, site.document(service, **changes), stored["version"])


def _wait_all_slots(site: Site, slots: int) -> None:
    def complete() -> bool:
        states = [site.state(vm)["targets"] for vm in site.vms]
        return sum(target["limit"] for state in states for target in state.values()) == slots

    wait_until(complete, "the limits of the entry VMs add up to all slots")


def _owner(site: Site) -> str:
    """Return the entry VM with the most slots."""
    return max(site.vms, key=lambda vm: sum(t["limit"] for t in site.state(vm)["targets"].values()))


def _report(site: Site, target: str) -> dict[str, Any]:
    return http_request(site.targets[target].address, "GET", "/runs").json()


def _longest_gap(load: BackgroundLoad, since: float) -> float:
    times = sorted(
        a.completed_at for a in load.results if a.status == 200 and a.completed_at >= since
    )
    return max((b - a for a, b in zip([since, *times], times, strict=False)), default=0.0)


if __name__ == "__main__":
    fire.Fire(main)
