"""Sends responses, and ends the connections whose clients take them too slowly."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import h11

from carawayquay_wire.body_budget import SMALL_BODY_BYTES
from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.response_encoding import encode_head, encode_response
from carawayquay_wire.socket_closing import reset_on_close, shut_down

if TYPE_CHECKING:
    from carawayquay_wire.connection_budget import ConnectionBudget, ConnectionBytes
    from carawayquay_wire.http import HttpResponse

__all__ = ["ResponseSender", "can_respond"]

#: Time over which the rate at which a client reads an answer is judged.
_READ_RATE_WINDOW_SECONDS = 5.0


class ResponseSender:
    """Sends responses on the open connections of a server.

    :param budget: limits what the connections hold
    """

    def __init__(self, budget: ConnectionBudget) -> None:
        self._budget = budget
        #: The connections to which a response is being sent, with the time by when.
        self._deadlines: dict[Any, float] = {}
        #: What each open connection holds, and why this server ends some of them.
        self._held: dict[Any, ConnectionBytes] = {}
        self._end_causes: dict[Any, ConnectionEnd] = {}

    def open(self, sock: Any, peer: str) -> ConnectionBytes:
        """Return what a new connection of a client address holds, nothing yet."""
        self._held[sock] = held = self._budget.open(peer)
        return held

    def close(self, sock: Any) -> None:
        """Forget a connection."""
        self._budget.close(self._held.pop(sock))
        self._end_causes.pop(sock, None)

    def end_cause(self, sock: Any) -> ConnectionEnd | None:
        """Return why this server ended a connection while a response was sent, or None."""
        return self._end_causes.get(sock)

    async def write(
        self,
        sock: Any,
        connection: h11.Connection,
        response: HttpResponse,
        method: str,
        seconds: float,
        *,
        close: bool,
    ) -> bool:
        """Send a response and return whether that succeeded within the write timeout.

        :param seconds: the write timeout, of the head and of a large body each
        :param close: whether the connection closes after the response
        """
        if not can_respond(connection):
            return False
        if len(response.body) <= SMALL_BODY_BYTES or method == "HEAD":
            data = encode_response(connection, response, method, close)
            return await self.send(sock, data, seconds)
        # A large body is not copied.
        head = encode_head(connection, response, "", close)
        if not await self.send(sock, head, seconds):
            return False
        connection.send_with_data_passthrough(h11.Data(data=response.body))
        if not await self.send(sock, response.body, seconds):
            return False
        connection.send(h11.EndOfMessage())
        return True

    async def send(self, sock: Any, data: bytes | bytearray, seconds: float) -> bool:
        """Send bytes and return whether that succeeded within the write timeout."""
        now = time.monotonic()
        held = self._held[sock]
        self._deadlines[sock] = now + seconds
        self._budget.start_answer(held, len(data), now)
        try:
            await self._end_over_capacity(held)
            left = memoryview(data)
            while left:
                sent = await sock.send(left)
                held.taken += sent
                left = left[sent:]
        except OSError:
            return False
        finally:
            self._deadlines.pop(sock, None)
            self._budget.end_answer(held)
        return sock not in self._end_causes

    async def end_late(self, now: float, min_read_bytes_per_s: float) -> None:
        """End the connections whose clients take an answer too slowly.

        A curio timeout around each write would cost more than handling a small request.

        :param min_read_bytes_per_s: rate at which a client has to read, 0 for none
        """
        for sock in [sock for sock, deadline in self._deadlines.items() if deadline <= now]:
            await shut_down(sock)
        if not min_read_bytes_per_s:
            return
        for sock, held in list(self._held.items()):
            if held.is_slow(now, min_read_bytes_per_s, _READ_RATE_WINDOW_SECONDS):
                await self._end(sock, ConnectionEnd.SLOW)

    async def _end_over_capacity(self, held: ConnectionBytes) -> None:
        """End connections, slowest readers first, until the others are within the budget."""
        now = time.monotonic()
        while slowest := self._budget.slowest_over_capacity(held.peer, now):
            self._budget.close(slowest)
            for sock in [sock for sock, it in self._held.items() if it is slowest]:
                await self._end(sock, ConnectionEnd.MEMORY)

    async def _end(self, sock: Any, cause: ConnectionEnd) -> None:
        """End a connection on which a response is being sent, which its sender reports.

        The connection is reset, so that the kernel frees what it has not delivered.
        """
        self._end_causes[sock] = cause
        reset_on_close(sock)
        await shut_down(sock)


def can_respond(connection: h11.Connection) -> bool:
    """Return whether a response can be sent in the state of a connection."""
    return connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)
