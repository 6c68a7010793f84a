"""Wakes all that a process does periodically at the same moments, as each waking costs time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from random import Random

__all__ = ["TURN_SECONDS", "Turns"]

#: The shortest period of anything that is done periodically.
TURN_SECONDS = 0.2


class Turns:
    """Moments that are whole turns apart, other ones in each process.

    :param random: gives the process's phase, so that many processes don't act at the same moment
    """

    def __init__(self, random: Random) -> None:
        self._phase = random.random() * TURN_SECONDS

    async def next(self, turns: int = 1) -> None:
        """Wait for the next moment that is a multiple of so many turns."""
        period = turns * TURN_SECONDS
        await curio.sleep(period - (time.monotonic() - self._phase) % period)
