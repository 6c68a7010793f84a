"""Constant-rate load on the entry VMs of a region, and the regions in which its requests ran."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay_standins.caller import CallerStandIn
from carawayquay_standins.layout import Layout, Service
from carawayquay_standins.site import Site, http_request
from carawayquay_wire.http_client import HttpError

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["REGIONS", "LoadResult", "TargetRun", "send_load", "target_runs", "three_region_layout"]

REGIONS = ("puget", "willamette", "inland")


@attrs.frozen
class LoadResult:
    """Answer to one request of the load.

    :param sent_at: seconds on the monotonic clock when the request was sent
    :param error: kind of the refusal; empty if a target answered
    :param outcome: outcome that the refusal reports, or empty
    """

    path: str
    sent_at: float
    status: int
    error: str
    outcome: str


@attrs.frozen
class TargetRun:
    """One run of a request, recorded by its target."""

    path: str
    region: str


def three_region_layout(domains: int = 1, **document) -> Layout:
    service = Service("sledway", 4, targets_per_domain=2, document={"warm_up": 0, **document})
    return Layout("three", REGIONS, (service,), domains_per_region=domains)


def send_load(
    site: Site,
    home: str,
    rate: float,
    seconds: float,
    actions_by_time: dict[float, Callable[[], None]],
) -> list[LoadResult]:
    """Send requests at a constant rate to the entry VMs of a region and return their answers.

    Requests without an answer are left out.

    :param home: region whose entry VMs receive the requests
    :param rate: requests per second
    :param seconds: duration of the load
    :param actions_by_time: functions to call once, by seconds after the start
    """
    answers: list[LoadResult] = []
    entries = [address for vm, address in site.callers.items() if vm.startswith(home)]

    async def send(caller: CallerStandIn, index: int) -> None:
        path = f"/stones/{index}"
        sent_at = time.monotonic()
        try:
            response = await caller.send("sledway", "GET", path)
        except HttpError:
            return
        error = response.header(b"carawayquay-error") or ""
        outcome = response.header(b"carawayquay-outcome") or ""
        answers.append(LoadResult(path, sent_at, response.status, error, outcome))

    async def send_all() -> None:
        caller = CallerStandIn(entries)
        await caller.look_up("sledway")
        started = time.monotonic()
        pending_actions = sorted(actions_by_time.items())
        async with curio.TaskGroup() as group:
            for index in range(int(rate * seconds)):
                while pending_actions and time.monotonic() - started >= pending_actions[0][0]:
                    await curio.run_in_thread(pending_actions.pop(0)[1])
                await group.spawn(send, caller, index)
                await curio.sleep(max(0.0, started + (index + 1) / rate - time.monotonic()))
        await caller.close()

    curio.run(send_all)
    return answers


def target_runs(site: Site) -> list[TargetRun]:
    """Return the runs recorded by all targets that are running, each with its region."""
    found = []
    for name, process in site.targets.items():
        if process.running:
            region = next(region for region in REGIONS if f"-{region}-" in name)
            report = http_request(process.address, "GET", "/runs").json()
            found.extend(TargetRun(run["path"], region) for run in report["runs"])
    return found


def spill_over_shares(
    answers: list[LoadResult], runs: list[TargetRun], home: str, start: float, window: float
) -> list[float]:
    """Return the share of requests that ran outside their home region, for each window.

    The last window is left out, since it may be incomplete, and so are windows without answers.

    :param start: start of the first window, in seconds on the monotonic clock
    :param window: length of a window in seconds
    """
    remote_paths = {run.path for run in runs if run.region != home}
    total_counts: collections.Counter[int] = collections.Counter()
    remote_counts: collections.Counter[int] = collections.Counter()
    for answer in answers:
        index = int((answer.sent_at - start) // window)
        total_counts[index] += 1
        remote_counts[index] += answer.path in remote_paths
    return [
        remote_counts[index] / total_counts[index]
        for index in range(max(total_counts))
        if total_counts[index]
    ]
