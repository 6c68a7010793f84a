"""The lag of an event loop is recorded, and logged if it is long."""

from __future__ import annotations

import time
from functools import partial

import curio
import logbook
import pytest

from carawayquay.clock import MonotonicClock
from carawayquay_wire.loop_lag import LoopLag
from carawayquay_wire.metrics import Metrics


async def _measure(busy_seconds, times=1):
    metrics = Metrics()
    lag = LoopLag(MonotonicClock(), metrics)

    async def hold_up():
        time.sleep(busy_seconds)

    for _ in range(times):
        task = await curio.spawn(hold_up)
        await lag.measure(partial(curio.sleep, 0.01), 0.01)
        await task.join()
    return metrics.dump()["timings"]["loop_lag_seconds"]


def test_lag_is_the_time_beyond_the_planned_one():
    assert curio.run(_measure, 0.2)["p99_ms"] >= 180


@pytest.mark.parametrize("busy_seconds, lines", [(0.0, 0), (0.6, 1)])
def test_long_lag_is_logged_at_most_once_in_an_interval(busy_seconds, lines):
    with logbook.TestHandler() as handler:
        assert curio.run(_measure, busy_seconds, 2)["count"] == 2
    assert sum("loop-late" in record.message for record in handler.records) == lines
