"""Memory budget shared by the HTTP bodies that a process buffers at once."""

from __future__ import annotations

import attrs
import curio

__all__ = ["SMALL_BODY_BYTES", "BodyBudget", "Reservation"]

#: Bodies up to this size are not counted against the budget.
SMALL_BODY_BYTES = 64 * 1024

#: Reserved for a body of unknown length that is larger than a small body and at most this size.
_INITIAL_RESERVATION_BYTES = 256 * 1024

#: Shares of the budget for bodies of unknown length: those with an initial reservation, and those
#: that are larger. The rest is left to bodies whose length is known.
_INITIAL_SHARE = 0.125
_LARGE_SHARE = 0.75


@attrs.define
class _Share:
    """Part of a budget that some bodies may use; a larger body is admitted when it is the only one.

    :param capacity: bytes of these bodies together
    :param used: bytes that are reserved
    """

    capacity: int
    used: int = 0

    def has_room(self, size: int) -> bool:
        """Return whether a body that uses nothing of this share may reserve bytes."""
        return self.used == 0 or self.used + size <= self.capacity


class BodyBudget:
    """Limits the memory of all bodies together; a body for which there is no room waits.

    A waiting body is not read from its socket, so that TCP flow control holds back its sender.

    Bodies of unknown length, which may have no end, leave room for the others. They reserve a
    little first, and then as much as one may have, since two that grew bit by bit could each wait
    for the memory of the other.

    :param capacity: bytes of all bodies together; a larger body is admitted when it is the only one
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._released = curio.Condition()
        #: For bodies of unknown length that have an initial reservation, and for larger ones.
        self.initial_share = _Share(int(capacity * _INITIAL_SHARE))
        self.large_share = _Share(int(capacity * _LARGE_SHARE))

    @property
    def used(self) -> int:
        """Bytes that are reserved."""
        return self._used

    def new_reservation(self) -> Reservation:
        """Return an empty reservation for one body."""
        return Reservation(self)

    async def acquire(
        self, size: int, *, already_reserved: int, share: _Share | None = None
    ) -> None:
        """Reserve bytes, waiting until they are available.

        :param already_reserved: bytes that the same body has reserved before
        :param share: the part of the budget that has to have room for both together, if any
        """
        total = size + already_reserved
        async with self._released:
            while not self._has_room(total, already_reserved, share):
                await self._released.wait()
            self._used += size
            if share is not None:
                share.used += total

    def _has_room(self, total: int, already_reserved: int, share: _Share | None) -> bool:
        used_by_others = self._used - already_reserved
        if share is self.large_share:
            # Bodies with an initial reservation may themselves wait for this share.
            used_by_others -= self.initial_share.used - already_reserved
        if used_by_others > 0 and used_by_others + total > self._capacity:
            return False
        return share is None or share.has_room(total)

    def count(self, size: int) -> None:
        """Count bytes that are in memory already, also beyond the capacity."""
        self._used += size

    async def release(self, size: int, share: _Share | None = None, share_size: int = 0) -> None:
        """Return bytes to the budget and to a part of it, and wake the bodies that wait."""
        self._used -= size
        if share is not None:
            share.used -= share_size
        async with self._released:
            await self._released.notify_all()


class Reservation:
    """The memory reserved for one body."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0
        self._share: _Share | None = None
        self._share_size = 0

    async def grow_to(self, size: int) -> None:
        """Extend the reservation to the known length of a body, waiting for the budget.

        Small bodies need no reservation.
        """
        if size > max(self._size, SMALL_BODY_BYTES):
            await self._budget.acquire(size - self._size, already_reserved=self._size)
            self._size = size

    async def grow_with(self, size: int, max_body_bytes: int) -> None:
        """Extend the reservation for a body of unknown length, waiting for the budget.

        :param size: the bytes received so far
        :param max_body_bytes: the limit of the body's size
        """
        if size <= max(self._size, SMALL_BODY_BYTES):
            return
        share, needed = self._budget.large_share, max_body_bytes
        if size <= _INITIAL_RESERVATION_BYTES < max_body_bytes:
            share, needed = self._budget.initial_share, _INITIAL_RESERVATION_BYTES
        await self._budget.acquire(needed - self._size, already_reserved=self._size, share=share)
        former, former_size = self._share, self._share_size
        self._size = self._share_size = needed
        self._share = share
        if former is not None:
            await self._budget.release(0, former, former_size)

    def count(self, size: int) -> None:
        """Extend the reservation to the size of a body that is in memory already, without waiting.

        Bodies that come later wait for the budget instead.
        """
        if size > max(self._size, SMALL_BODY_BYTES):
            self._budget.count(size - self._size)
            self._size = size

    async def settle(self, size: int) -> None:
        """Reduce the reservation to the size of a body that is complete."""
        surplus = self._size - (size if size > SMALL_BODY_BYTES else 0)
        if surplus <= 0 and self._share is None:
            return
        self._size -= surplus
        share, self._share = self._share, None
        await self._budget.release(surplus, share, self._share_size)

    async def release(self) -> None:
        """Return the reserved memory to the budget."""
        size, self._size = self._size, 0
        share, self._share = self._share, None
        if size:
            await self._budget.release(size, share, self._share_size)
