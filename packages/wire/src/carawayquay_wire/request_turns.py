"""Turns of requests, which leave other tasks their part of the event loop."""

from __future__ import annotations

import time
from collections import deque

import curio

__all__ = ["RequestTurns"]

#: Duration of a cycle of the event loop, in which each ready task runs once, above which fewer
#: requests begin in the next one.
_CYCLE_SECONDS = 0.05

#: Requests that begin in a cycle at most, so that the first cycle of a crowd is bounded too.
_MAX_REQUESTS_PER_CYCLE = 32

#: Growth of that number with each cycle that was short enough.
_GROWTH = 1.1


class RequestTurns:
    """Lets requests begin in the order in which they came, a limited number in each cycle.

    The event loop runs all ready tasks before it looks at sockets and timers again. If the requests
    that are ready take seconds, so does each step of every other task, and calls with a timeout
    fail. The limit follows the measured duration of the cycles, whatever takes the time.
    """

    def __init__(self) -> None:
        self._limit = float(_MAX_REQUESTS_PER_CYCLE)
        self._begun = 0
        self._first_begun_at = 0.0
        self._began_any = curio.Event()
        self._waiting: deque[curio.Event] = deque()
        self._counting = False

    @property
    def waiting(self) -> int:
        """The number of requests that wait for their turn."""
        return len(self._waiting)

    async def next(self) -> float:
        """Wait until the next request may begin, and return the seconds that it waited."""
        if not self._counting:
            self._counting = True
            await curio.spawn(self._count_cycles, daemon=True)
        started = time.monotonic()
        if not self._begun:
            self._first_begun_at = started
            await self._began_any.set()
        if not self._waiting and self._has_room(started):
            self._begun += 1
            return 0.0
        turn = curio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except curio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            raise
        return time.monotonic() - started

    def _has_room(self, now: float) -> bool:
        """Return whether another request may begin in this cycle."""
        return self._begun < self._limit and now - self._first_begun_at <= _CYCLE_SECONDS

    async def _count_cycles(self) -> None:
        """Begin a new count with each cycle in which requests begin, and let waiting ones begin."""
        while True:
            if not self._begun:
                await self._began_any.wait()
            self._began_any.clear()
            started = time.monotonic()
            await curio.sleep(0)
            self._adapt(time.monotonic() - started)
            self._first_begun_at = time.monotonic()
            self._begun = min(len(self._waiting), max(1, int(self._limit)))
            for _ in range(self._begun):
                await self._waiting.popleft().set()

    def _adapt(self, seconds: float) -> None:
        """Adapt the limit to the duration of the last cycle."""
        if seconds > _CYCLE_SECONDS:
            self._limit = max(1.0, self._limit * max(0.5, _CYCLE_SECONDS / seconds))
        else:
            self._limit = min(float(_MAX_REQUESTS_PER_CYCLE), self._limit * _GROWTH)
