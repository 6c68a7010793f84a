"""Shared ticks for all periodic work of a process, since each wake-up costs CPU time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from random import Random

__all__ = ["Ticker"]

#: Tick interval, the shortest period of any periodic work.
_TICK_SECONDS = 0.2


class Ticker:
    """Ticks at a fixed interval, with a random phase in each process.

    :param random: chooses the phase, so that processes don't all send at the same moment
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random() * _TICK_SECONDS

    @property
    def seconds_left(self) -> float:
        """The seconds until the next tick."""
        return _TICK_SECONDS - (time.monotonic() - self._phase) % _TICK_SECONDS

    async def next(self) -> None:
        """Wait for the next tick."""
        await curio.sleep(self.seconds_left)

    async def next_or(self, event: curio.Event) -> None:
        """Wait for the next tick, or until an event is set."""
        async with curio.ignore_after(self.seconds_left):
            await event.wait()
