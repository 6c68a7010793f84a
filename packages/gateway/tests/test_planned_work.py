"""Planned work ends no connection on which a request was read without a complete answer."""

from __future__ import annotations

import os

import curio
import pytest
from planned_work_site import PlannedWorkSite

pytestmark = pytest.mark.processes

#: Names the seeds of a long run, first and last, and the file to which its counts are added.
_SEEDS_VARIABLE = "PLANNED_WORK_SEEDS"
_COUNTS_VARIABLE = "PLANNED_WORK_COUNTS"
_CI_SEEDS = (1, 2)
_WORK_SECONDS = 14.0


def _seeds():
    first, _, last = os.environ.get(_SEEDS_VARIABLE, "").partition("-")
    return range(int(first), int(last or first) + 1) if first else _CI_SEEDS


@pytest.mark.parametrize("seed", _seeds())
def test_planned_work_leaves_no_request_without_an_answer(tmp_path, seed):
    site = PlannedWorkSite(tmp_path, seed, f"127.9.{20 + seed % 10}")

    async def go():
        try:
            await site.start()
            await site.run(_WORK_SECONDS)
        finally:
            site.stop()

    curio.run(go)
    violations = site.journal.violations()
    if _COUNTS_VARIABLE in os.environ:
        with open(os.environ[_COUNTS_VARIABLE], "a") as counts:
            print(seed, len(violations), site.journal.counts(), site.work_done, file=counts)
    assert violations == []
