"""Memory budget shared by the HTTP bodies that a process buffers at once."""

from __future__ import annotations

import curio

__all__ = ["SMALL_BODY_BYTES", "BodyBudget", "Reservation", "unknown_length_reservation"]

#: Bodies up to this size are not counted against the budget.
SMALL_BODY_BYTES = 64 * 1024

#: Reserved for a body of unknown length that is larger than a small body and at most this size.
_INITIAL_RESERVATION_BYTES = 1024 * 1024


def unknown_length_reservation(size: int, max_body_bytes: int) -> int:
    """Return the bytes to reserve for a body of unknown length.

    The reservation grows in only two steps, so that concurrent bodies seldom block each other.

    :param size: the bytes received so far
    :param max_body_bytes: the limit of a body's size
    """
    if size <= SMALL_BODY_BYTES:
        return 0
    return _INITIAL_RESERVATION_BYTES if size <= _INITIAL_RESERVATION_BYTES else max_body_bytes


class BodyBudget:
    """Limits the memory of all bodies together; a body for which there is no room waits.

    A waiting body is not read from its socket, so that TCP flow control holds back its sender.

    :param capacity: bytes of all bodies together; a larger body is admitted when it is the only one
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._released = curio.Condition()

    @property
    def used(self) -> int:
        """Bytes that are reserved."""
        return self._used

    def new_reservation(self) -> Reservation:
        """Return an empty reservation for one body."""
        return Reservation(self)

    async def acquire(self, size: int, *, already_reserved: int) -> None:
        """Reserve bytes, waiting until they are available.

        :param already_reserved: bytes that the same body has reserved before
        """
        async with self._released:
            while self._used + size > self._capacity and self._used > already_reserved:
                await self._released.wait()
            self._used += size

    def count(self, size: int) -> None:
        """Count bytes that are in memory already, also beyond the capacity."""
        self._used += size

    async def release(self, size: int) -> None:
        """Return bytes to the budget and wake the bodies that wait."""
        async with self._released:
            self._used -= size
            await self._released.notify_all()


class Reservation:
    """The memory reserved for one body."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0

    async def grow_to(self, size: int) -> None:
        """Extend the reservation to a body's size, waiting for the budget.

        Small bodies need no reservation.
        """
        if size > max(self._size, SMALL_BODY_BYTES):
            await self._budget.acquire(size - self._size, already_reserved=self._size)
            self._size = size

    def count(self, size: int) -> None:
        """Extend the reservation to the size of a body that is in memory already, without waiting.

        Bodies that come later wait for the budget instead.
        """
        if size > max(self._size, SMALL_BODY_BYTES):
            self._budget.count(size - self._size)
            self._size = size

    async def release(self) -> None:
        """Return the reserved memory to the budget."""
        size, self._size = self._size, 0
        if size:
            await self._budget.release(size)
