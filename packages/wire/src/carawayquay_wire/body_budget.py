"""Bounds the memory that the bodies of all requests in a process take together."""

from __future__ import annotations

import curio

__all__ = ["SMALL_BODY_BYTES", "BodyBudget", "Reservation", "unknown_length_reservation"]

#: Bodies up to this size are not counted.
SMALL_BODY_BYTES = 64 * 1024

#: Memory that is reserved for a body of unknown length, before it turns out to be larger.
_INITIAL_RESERVATION_BYTES = 1024 * 1024


def unknown_length_reservation(size: int, max_body_bytes: int) -> int:
    """Return the memory to reserve for a body of unknown length that has a size so far.

    Two steps, so that bodies which grow side by side seldom wait for each other.

    :param largest: the size of the largest body that is taken
    """
    if size <= SMALL_BODY_BYTES:
        return 0
    return _INITIAL_RESERVATION_BYTES if size <= _INITIAL_RESERVATION_BYTES else max_body_bytes


class BodyBudget:
    """Hands out memory for bodies; who gets none waits, and so does the sender of the body.

    :param capacity: bytes of all bodies together; a larger body is let through alone
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._released = curio.Condition()

    @property
    def used(self) -> int:
        """Bytes that are handed out."""
        return self._used

    def new_reservation(self) -> Reservation:
        """Return a reservation of nothing, for one body."""
        return Reservation(self)

    async def acquire(self, size: int, *, already_reserved: int) -> None:
        """Wait until bytes are free, and take them.

        :param held: bytes that the same body has already
        """
        async with self._released:
            while self._used + size > self._capacity and self._used > already_reserved:
                await self._released.wait()
            self._used += size

    async def release(self, size: int) -> None:
        """Give bytes back."""
        async with self._released:
            self._used -= size
            await self._released.notify_all()


class Reservation:
    """The memory of one body."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0

    async def grow_to(self, size: int) -> None:
        """Wait until the body may have a size."""
        if size > max(self._size, SMALL_BODY_BYTES):
            await self._budget.acquire(size - self._size, already_reserved=self._size)
            self._size = size

    async def release(self) -> None:
        """Give the memory back."""
        size, self._size = self._size, 0
        if size:
            await self._budget.release(size)
