"""The first-in, first-out queue in which the requests of a service wait for a slot."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeVar

import curio

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.shedding import MAX_QUEUED, RunTimeMeans, wait_estimate

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    Taken = TypeVar("Taken")

__all__ = ["SlotQueue"]


class SlotQueue:
    """The requests of one service that wait for a slot, in order of arrival.

    :param service: name of the service
    :param run_times: gives the mean run time of the service's requests
    :param limit: returns how many requests may run at once
    """

    def __init__(self, service: str, run_times: RunTimeMeans, limit: Callable[[], int]) -> None:
        self._service = service
        self._run_times = run_times
        self._limit = limit
        self._waiting: deque[curio.Event] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    async def take(self, try_take: Callable[[], Taken | None], left: timedelta) -> Taken:
        """Take a slot and return it, waiting in order of arrival while none is free.

        :param try_take: takes and returns a slot, or returns None if none is free
        :param left: time until the deadline
        :raises RequestError: if no slot is free in time, or at once if the queue is full or the
            expected wait exceeds the deadline; the request was not run
        """
        if not self._waiting:
            taken = try_take()
            if taken is not None:
                return taken
        self._reject_if_wait_too_long(left)
        turn = curio.Event()
        self._waiting.append(turn)
        wait_limit = left - self._run_times.mean_run_time(self._service)
        try:
            async with curio.timeout_after(wait_limit.total_seconds()):
                while True:
                    await turn.wait()
                    taken = try_take() if self._waiting[0] is turn else None
                    if taken is not None:
                        return taken
                    turn.clear()
        except curio.TaskTimeout:
            raise self._overloaded("had no free slot in time") from None
        finally:
            self._waiting.remove(turn)
            await self.wake()

    async def wake(self) -> None:
        """Let the first waiting request try again to take a slot."""
        if self._waiting:
            await self._waiting[0].set()

    def _reject_if_wait_too_long(self, left: timedelta) -> None:
        """Apply load shedding to a new request.

        :raises RequestError: if there are no slots, the queue is full or the expected wait and
            run exceed the deadline
        """
        limit = self._limit()
        mean_run_time = self._run_times.mean_run_time(self._service)
        if limit == 0:
            raise self._overloaded("has no slots on this VM")
        if len(self._waiting) >= MAX_QUEUED:
            raise self._overloaded(f"has {MAX_QUEUED} requests queued, the maximum")
        if wait_estimate(len(self._waiting), limit, mean_run_time) + mean_run_time > left:
            raise self._overloaded("has a queue too long for the deadline")

    def _overloaded(self, reason: str) -> RequestError:
        return RequestError(ErrorKind.OVERLOADED, f'service "{self._service}" {reason}')
