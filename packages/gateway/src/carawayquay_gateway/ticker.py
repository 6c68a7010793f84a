"""Wakes all that a process does periodically at the same moments, as each waking costs time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from random import Random

__all__ = ["Ticker"]

#: The shortest period of anything that is done periodically.
_TICK_SECONDS = 0.2


class Ticker:
    """Moments that are whole turns apart, other ones in each process.

    :param random: gives the process's phase, so that many processes don't act at the same moment
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random() * _TICK_SECONDS

    async def next(self) -> None:
        """Wait for the next of these moments."""
        passed = (time.monotonic() - self._phase) % _TICK_SECONDS
        await curio.sleep(_TICK_SECONDS - passed)
