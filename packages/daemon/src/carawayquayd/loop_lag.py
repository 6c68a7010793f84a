"""Measures the event loop's lag: the time that due work waits in its queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from carawayquayd.state import NodeState

__all__ = ["LoopLag"]

_INTERVAL_SECONDS = 0.25


class LoopLag:
    """Records by how much a periodic wake-up is late."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started = self._state.clock.now()
            await curio.sleep(_INTERVAL_SECONDS)
            slept = (self._state.clock.now() - started).total_seconds()
            self._state.metrics.record("loop_lag_seconds", slept - _INTERVAL_SECONDS)
