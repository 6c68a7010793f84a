"""Measures the lag of an event loop: the time that due work waits in its queue."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import curio

from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.clock import Clock
    from carawayquay_wire.metrics import Metrics

__all__ = ["LoopLag"]

_log = EventLog("loop")

_INTERVAL_SECONDS = 0.25

#: Lag from which on it is logged, and the time between two such lines.
_LOGGED_LAG = timedelta(seconds=0.5)
_LOG_INTERVAL = timedelta(seconds=2)


class LoopLag:
    """Records by how much wake-ups are late."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._logged_at: timedelta | None = None

    async def run(self) -> None:
        """Measure at a fixed interval until cancelled."""
        while True:
            await self.measure(partial(curio.sleep, _INTERVAL_SECONDS), _INTERVAL_SECONDS)

    async def measure(self, wait: Callable[[], Awaitable[None]], seconds: float) -> None:
        """Wait, and record by how much that took longer than planned.

        :param seconds: the planned time
        """
        started = self._clock.now()
        await wait()
        now = self._clock.now()
        lag = max(timedelta(), now - started - timedelta(seconds=seconds))
        self._metrics.record("loop_lag_seconds", lag.total_seconds())
        if lag < _LOGGED_LAG:
            return
        if self._logged_at is None or now - self._logged_at >= _LOG_INTERVAL:
            self._logged_at = now
            _log.warning(Event.LOOP_LATE, lag_ms=lag // timedelta(milliseconds=1))
