"""Memory budget of what the connections of a listener hold: read-ahead, and answers not taken."""

from __future__ import annotations

import sys
from collections import defaultdict

import attrs

__all__ = ["ConnectionBudget", "ConnectionBytes"]

#: Parts of a capacity from which on requests are no longer read ahead, and are refused. Reading
#: ahead stops first, because it costs its client nothing.
_READ_AHEAD_SHARE = 0.5
_REFUSE_SHARE = 0.75

#: Shortest time over which the rate of a reader is compared. Younger answers come after all others,
#: since an answer of which nothing is sent yet would look slow.
_MIN_RATE_SECONDS = 1.0


@attrs.define(eq=False)
class ConnectionBytes:
    """What one connection holds.

    :param peer: the client's address
    :param read_ahead: bytes of requests that were read behind the current one
    :param answer: bytes of the answer that is being sent, 0 if there is none
    :param taken: bytes of it that the socket has taken
    :param since: time at which sending began, in seconds
    """

    peer: str
    read_ahead: int = 0
    answer: int = 0
    taken: int = 0
    since: float = 0.0
    _window_start: float | None = None
    _window_taken: int = 0

    @property
    def size(self) -> int:
        """Bytes that the connection holds; an answer is held whole until its last byte is taken."""
        return self.read_ahead + self.answer

    def slowness(self, now: float) -> tuple[bool, float, float]:
        """Return a key that is the lower the slower the client takes the answer."""
        age = now - self.since
        if age < _MIN_RATE_SECONDS:
            return True, 0.0, self.since
        return False, self.taken / age, self.since

    def is_slow(self, now: float, bytes_per_second: float, window_seconds: float) -> bool:
        """Return whether the client took less than a rate in the window that ends, if one ends.

        The first window starts at the first call, when the socket's buffer is full already.
        """
        if not self.answer:
            return False
        if self._window_start is None:
            self._window_start, self._window_taken = now, self.taken
        elapsed = now - self._window_start
        if elapsed < window_seconds:
            return False
        taken = self.taken - self._window_taken
        self._window_start, self._window_taken = now, self.taken
        return taken < bytes_per_second * elapsed

    def start_answer(self, size: int, now: float) -> None:
        """Note that sending of an answer begins."""
        self.answer, self.taken, self.since = size, 0, now
        self._window_start = None


class ConnectionBudget:
    """Limits the bytes that the connections of one listener, and of one client address, hold.

    :param capacity: bytes of all connections together
    :param address_share: the part of it that the connections of one client address may hold
    """

    def __init__(self, capacity: int = sys.maxsize, address_share: float = 1.0) -> None:
        self._capacity = capacity
        self._address_capacity = capacity * address_share
        self._open: dict[ConnectionBytes, int] = {}
        self._used = 0
        self._used_by_address: dict[str, int] = defaultdict(int)

    @property
    def used(self) -> int:
        """Bytes that all connections hold."""
        return self._used

    def open(self, peer: str) -> ConnectionBytes:
        """Return what a new connection of a client address holds, nothing yet."""
        held = ConnectionBytes(peer)
        self._open[held] = 0
        return held

    def close(self, held: ConnectionBytes) -> None:
        """Forget a connection; one that was forgotten before is ignored."""
        if held in self._open:
            self._add(held.peer, -self._open.pop(held))

    def set_read_ahead(self, held: ConnectionBytes, size: int) -> None:
        """Note the bytes that a connection has read ahead."""
        held.read_ahead = size
        self._update(held)

    def start_answer(self, held: ConnectionBytes, size: int, now: float) -> None:
        """Note that sending of an answer of some bytes begins on a connection."""
        held.start_answer(size, now)
        self._update(held)

    def end_answer(self, held: ConnectionBytes) -> None:
        """Note that the socket has taken an answer whole, or that sending it ended."""
        held.answer = 0
        self._update(held)

    def allows_read_ahead(self, held: ConnectionBytes) -> bool:
        """Return whether a connection may read requests ahead."""
        return self._is_below(held.peer, _READ_AHEAD_SHARE)

    def allows_request(self, held: ConnectionBytes) -> bool:
        """Return whether another request of a connection may run."""
        return self._is_below(held.peer, _REFUSE_SHARE)

    def slowest_over_capacity(self, peer: str, now: float) -> ConnectionBytes | None:
        """Return the slowest reader while the connections hold too much, None if they do not.

        The only connection to which an answer is being sent may exceed the capacity.

        :param peer: the client address whose capacity is checked too
        """
        sending = [it for it in self._open if it.answer]
        if self._used <= self._capacity:
            if self._used_by_address.get(peer, 0) <= self._address_capacity:
                return None
            sending = [it for it in sending if it.peer == peer]
        if len(sending) < 2:
            return None
        return min(sending, key=lambda it: it.slowness(now))

    def _is_below(self, peer: str, share: float) -> bool:
        used_by_address = self._used_by_address.get(peer, 0)
        return (
            self._used <= self._capacity * share
            and used_by_address <= self._address_capacity * share
        )

    def _update(self, held: ConnectionBytes) -> None:
        former = self._open.get(held)
        if former is not None:
            self._open[held] = held.size
            self._add(held.peer, held.size - former)

    def _add(self, peer: str, size: int) -> None:
        self._used += size
        self._used_by_address[peer] += size
        if not self._used_by_address[peer]:
            del self._used_by_address[peer]
