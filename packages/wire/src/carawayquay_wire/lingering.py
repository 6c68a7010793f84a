"""Closes connections without losing what their clients have not received yet."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay_wire.socket_closing import (
    discard_input,
    reset_on_close,
    shut_down,
    unacknowledged_bytes,
)

if TYPE_CHECKING:
    from carawayquay_wire.connection_budget import ConnectionBudget, ConnectionBytes

__all__ = ["LingeringConnections"]

#: Interval at which the lingering connections are looked at.
_WATCH_SECONDS = 0.1

#: How long a client that has received everything may take to close the connection itself.
_RECEIVED_SECONDS = 0.5


@attrs.define
class _Lingering:
    """A connection on which no more is sent.

    :param size: bytes that the client had not acknowledged at first
    :param ends_at: time at which the connection ends in any case, in seconds
    :param received_at: time at which everything was found acknowledged, or None
    """

    held: ConnectionBytes
    size: int
    ends_at: float
    received_at: float | None = None


class LingeringConnections:
    """Connections on which no more is sent, and that wait until their clients have everything.

    If a connection is closed while bytes of the client are unread, or arrive afterwards, the kernel
    resets it and drops what it has not delivered. So what arrives is read and discarded, until the
    client closes, or has acknowledged everything for a moment, or the time is over.

    While it waits, a connection counts as one to which an answer of that size is being sent.
    """

    def __init__(self, budget: ConnectionBudget) -> None:
        self._budget = budget
        self._lingering: dict[Any, _Lingering] = {}
        self._watching = False

    def __contains__(self, sock: Any) -> bool:
        return sock in self._lingering

    async def start(self, sock: Any, held: ConnectionBytes, seconds: float) -> None:
        """Send no more on a connection, whose input :meth:`finish` has to read from now on.

        :param seconds: time after which the connection ends in any case
        """
        with suppress(OSError):
            await sock.shutdown(socket.SHUT_WR)
        now = time.monotonic()
        size = unacknowledged_bytes(sock)
        self._lingering[sock] = _Lingering(held, size, now + seconds)
        self._budget.start_answer(held, size, now)
        if not self._watching:
            self._watching = True
            await curio.spawn(self._watch, daemon=True)

    async def finish(self, sock: Any) -> bool:
        """Discard what arrives until the connection ends; return False if its time was over.

        A client that closes its side may still receive the rest, which the kernel delivers.
        """
        await discard_input(sock)
        return time.monotonic() < self._lingering[sock].ends_at

    def remove(self, sock: Any) -> None:
        """Forget a connection, which may not linger."""
        lingering = self._lingering.pop(sock, None)
        if lingering is not None:
            self._budget.end_answer(lingering.held)

    async def _watch(self) -> None:
        """Shut down the connections that need not wait any longer."""
        while self._lingering:
            await curio.sleep(_WATCH_SECONDS)
            now = time.monotonic()
            for sock, lingering in list(self._lingering.items()):
                if self._may_end(sock, lingering, now):
                    await shut_down(sock)
        self._watching = False

    def _may_end(self, sock: Any, lingering: _Lingering, now: float) -> bool:
        """Return whether the client has received everything, or the time is over."""
        unacknowledged = unacknowledged_bytes(sock)
        lingering.held.taken = lingering.size - unacknowledged
        if now >= lingering.ends_at:
            reset_on_close(sock)
            return True
        if unacknowledged:
            return False
        if lingering.received_at is None:
            lingering.received_at = now
        return now - lingering.received_at >= _RECEIVED_SECONDS
