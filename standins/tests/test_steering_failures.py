"""Tests of spill-over between regions on real processes, checked against the targets' runs."""

from __future__ import annotations

import time
from itertools import pairwise

import pytest
from steering_load import send_load, spill_over_shares, target_runs, three_region_layout

from carawayquay_standins.site import Site, http_request

pytestmark = pytest.mark.processes

CAP = {"planned": 0.34, "failure": 0.5, "window": 1}
RATE = 60

#: Share of a window that five requests make up: by the caller's clock, requests near an edge may
#: count in the neighbouring window.
WINDOW_EDGE_TOLERANCE = 5 / RATE


@pytest.fixture
def start(tmp_path):
    sites = []

    def run(layout):
        site = Site(layout, tmp_path)
        sites.append(site)
        site.up()
        return site

    yield run
    for site in sites:
        site.down()


def change_document(site: Site, layout, **changes):
    service = layout.services[0]
    version = site.state("puget-a-1")["documents"]["sledway"]["version"]
    site.write_document("sledway", site.document(service, **changes), replaces=version)


def test_drained_region_is_evacuated_within_the_cap_without_refusals(start):
    layout = three_region_layout(cap=CAP)
    site = start(layout)
    drained_at = []

    def drain():
        change_document(site, layout, drains=["puget"])
        drained_at.append(time.monotonic())

    answers = send_load(site, "puget", RATE, 8.0, {1.0: drain})
    assert {answer.status for answer in answers} == {200}
    shares = spill_over_shares(answers, target_runs(site), "puget", drained_at[0], CAP["window"])
    assert max(share_increases(shares)) <= CAP["planned"] + WINDOW_EDGE_TOLERANCE
    assert shares[-1] == 1.0


def test_failover_from_a_lost_region_stays_within_the_cap_and_the_rest_is_refused_as_not_run(start):
    site = start(three_region_layout(cap=CAP))
    lost_at = []

    def kill_home_targets():
        for name, process in site.targets.items():
            if "-puget-" in name:
                process.kill()
        lost_at.append(time.monotonic())

    answers = send_load(site, "puget", RATE, 6.0, {1.5: kill_home_targets})
    after = [answer for answer in answers if answer.sent_at >= lost_at[0]]
    runs = target_runs(site)
    shares = spill_over_shares(after, runs, "puget", lost_at[0], CAP["window"])
    assert max(share_increases(shares)) <= CAP["failure"] + WINDOW_EDGE_TOLERANCE
    assert shares[-1] == 1.0
    ran = {run.path for run in runs}
    refused = [answer for answer in after if answer.status != 200]
    assert any(answer.error == "cap-reached" for answer in refused)
    reported_not_run = [answer for answer in refused if answer.outcome == "not-run"]
    assert reported_not_run and not [answer for answer in reported_not_run if answer.path in ran]


def test_region_that_receives_spill_over_never_exceeds_its_limit(start):
    limit = 3
    regions = {"puget": {"limit": 8}, "willamette": {"limit": limit}, "inland": {"limit": 0}}
    layout = three_region_layout(
        cap={"planned": 1, "failure": 1, "window": 1}, regions=regions, drains=["puget"]
    )
    site = start(layout)
    for process in site.targets.values():
        site.control(process, work_ms=60)
    answers = send_load(site, "puget", 120, 4.0, {})
    received = [
        http_request(process.address, "GET", "/runs").json()
        for name, process in site.targets.items()
        if "-willamette-" in name
    ]
    assert sum(len(report["runs"]) for report in received) > 20
    assert max_concurrent_runs(received) <= limit
    assert all(report["offered_over"] == 0 for report in received)
    assert {answer.error for answer in answers} <= {"", "overloaded", "cap-reached"}


def share_increases(shares: list[float]) -> list[float]:
    """Return the increase of the share from each window to the next, starting from 0."""
    return [after - before for before, after in pairwise([0.0, *shares])]


def max_concurrent_runs(reports) -> int:
    """Return the most concurrent runs on several targets; all use the machine's monotonic clock."""
    changes = []
    for report in reports:
        for run in report["runs"]:
            changes.append((run["started_ms"], 1))
            changes.append((run["finished_ms"] or float("inf"), -1))
    running = max_running = 0
    for _, step in sorted(changes):
        running += step
        max_running = max(max_running, running)
    return max_running
