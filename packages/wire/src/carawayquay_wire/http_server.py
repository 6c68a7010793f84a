"""HTTP/1.1 server on h11 and curio that limits the size and duration of every message."""

from __future__ import annotations

import inspect
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import attrs
import curio
import h11

from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.connection_budget import ConnectionBudget
from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http import HttpLimits, HttpRequest, HttpResponse
from carawayquay_wire.idle_connections import IdleConnections
from carawayquay_wire.lingering import LingeringConnections
from carawayquay_wire.request_reading import (
    RejectedError,
    check_head,
    content_length,
    first_bytes,
    new_parser,
    next_parser,
    origin_form,
    read_body,
    read_head,
)
from carawayquay_wire.response_encoding import encode_response
from carawayquay_wire.response_sending import ResponseSender, can_respond
from carawayquay_wire.socket_closing import discard_input, unacknowledged_bytes
from carawayquay_wire.socket_readiness import is_readable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay_wire.body_budget import Reservation
    from carawayquay_wire.connection_budget import ConnectionBytes
    from carawayquay_wire.connection_ends import EndObserver
    from carawayquay_wire.request_turns import RequestTurns

    MaybeResponse = HttpResponse | None
    Handler = Callable[[HttpRequest], MaybeResponse | Awaitable[MaybeResponse]]

__all__ = ["HttpServer"]

_log = EventLog("http")

_READ_BYTES = 65536
#: Read at once, to notice that the client closes, while the budget leaves no room to read ahead.
_LITTLE_READ_BYTES = 1024
#: Limit of the bytes read ahead while a request is handled; beyond it, reading pauses.
_MAX_PIPELINED_BYTES = 65536
#: Timeout for sending the response to a connection above the limit, and for closing it: short, as
#: these connections are not bounded in number.
_REFUSE_SECONDS = 1.0
#: Number of checks for expired deadlines within the shorter of idle and write timeout.
_SWEEPS_PER_TIMEOUT = 8

#: Time from a request's turn until it is whole, after which it takes another turn.
_LATE_REST_SECONDS = 0.01

#: Body budget of a server that was created without one.
_DEFAULT_BODY_BUDGET_BYTES = 64 * 1024 * 1024


@attrs.frozen
class _Close:
    """What follows a request behind which the connection closes.

    :param behind: the response that was sent last, without its body, or None if none was
    """

    behind: HttpResponse | None = None


class HttpServer:
    """Serves HTTP/1.1 connections with one handler.

    The handler returns a response, or an awaitable of one, which is awaited in a task that is
    cancelled when the caller closes its connection. A response of None closes the connection.

    :param handler: handles a request
    :param reject: builds the response to a request that violates the protocol or a limit, from
        the status and the reason
    :param limits: limits of requests and connections, the defaults if None
    :param body_budget: the memory that the bodies of all connections share
    :param on_end: called with the cause when this server ends a connection, and with the response
        if one could not be sent
    :param connection_budget: limits what connections hold apart from bodies, no limit if None
    :param turns: lets requests begin so that other tasks have time too, all at once if None
    """

    def __init__(
        self,
        handler: Handler,
        reject: Callable[[int, str], HttpResponse],
        limits: HttpLimits | None = None,
        body_budget: BodyBudget | None = None,
        on_end: EndObserver | None = None,
        connection_budget: ConnectionBudget | None = None,
        turns: RequestTurns | None = None,
    ) -> None:
        self._handler = handler
        self._turns = turns
        self._on_end = on_end
        self._connection_budget = connection_budget or ConnectionBudget()
        self._body_budget = body_budget or BodyBudget(_DEFAULT_BODY_BUDGET_BYTES)
        self._reject = reject
        self._limits = limits or HttpLimits()
        self._close_after_response = False
        self._draining = False
        self._sender = ResponseSender(self._connection_budget)
        self._lingering = LingeringConnections(self._connection_budget)
        self._idle = IdleConnections(self._lingering, self._note_end)
        self._sweeping = False
        self._open_count = 0
        self._refused_count = 0

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return self._open_count

    @property
    def refused_connections(self) -> int:
        """The number of connections refused because the limit of open connections was reached."""
        return self._refused_count

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits, also those of open connections."""
        self._limits = limits

    def announce_close(self) -> None:
        """Close every connection after its next response, which carries ``connection: close``."""
        self._close_after_response = True

    async def drain(self) -> None:
        """Close idle connections at once, and the others after their current response."""
        self._close_after_response = True
        self._draining = True
        await self._idle.close_all(self._limits.write_seconds)

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        limits = self._limits
        if self._open_count >= limits.connections and not await self._idle.displace(
            limits.write_seconds
        ):
            await self._refuse(sock)
            return
        connection = new_parser()
        self._set_send_buffer(sock)
        held = self._sender.open(sock, address[0])
        self._open_count += 1
        if not self._sweeping:
            self._sweeping = True
            await curio.spawn(self._sweep, daemon=True)
        try:
            await self._serve_requests(sock, connection, held)
        except OSError:
            pass
        finally:
            self._open_count -= 1
            self._idle.remove(sock)
            self._lingering.remove(sock)
            self._sender.close(sock)

    async def _serve_requests(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes
    ) -> None:
        """Serve requests until the connection is to close, and let the client receive the rest."""
        while (close := await self._serve_one(sock, connection, held)) is None:
            connection = next_parser(connection)
        if self._sender.end_cause(sock) is not None:
            return
        if sock not in self._lingering:
            if close.behind is None and not unacknowledged_bytes(sock):
                return
            await self._lingering.start(sock, held, self._limits.write_seconds)
        received = await self._lingering.finish(sock)
        cause = self._sender.end_cause(sock) or ConnectionEnd.UNDELIVERED
        if not received or cause is not ConnectionEnd.UNDELIVERED:
            self._note_end(cause, close.behind)

    async def _sweep(self) -> None:
        """Shut down the sockets whose time is over, which ends pending reads and writes.

        A curio timeout around each read and write would cost more than handling a small request.
        """
        while True:
            limits = self._limits
            await curio.sleep(min(limits.idle_seconds, limits.write_seconds) / _SWEEPS_PER_TIMEOUT)
            now = time.monotonic()
            # Both may have been replaced meanwhile.
            limits = self._limits
            await self._idle.close_older(now - limits.idle_seconds, limits.write_seconds)
            await self._sender.end_late(now, limits.min_read_bytes_per_s)

    def _set_send_buffer(self, sock: Any) -> None:
        size = self._limits.send_buffer_bytes
        if size:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    async def _refuse(self, sock: Any) -> None:
        """Respond with 503 and close the connection, without waiting for a request."""
        if self._refused_count == 0:
            _log.warning(Event.CONNECTION_REFUSED, limit=self._limits.connections)
        self._refused_count += 1
        response = self._reject(503, f"more than {self._limits.connections} connections")
        with suppress(OSError):
            async with curio.ignore_after(_REFUSE_SECONDS):
                await sock.sendall(encode_response(new_parser(), response, "GET", True))
                await sock.shutdown(socket.SHUT_WR)
                await discard_input(sock)

    async def _serve_one(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes
    ) -> _Close | None:
        """Serve one request, and return None if the connection may carry another."""
        reservation = self._body_budget.new_reservation()
        try:
            return await self._serve_with_reservation(sock, connection, held, reservation)
        finally:
            await reservation.release()

    async def _serve_with_reservation(
        self,
        sock: Any,
        connection: h11.Connection,
        held: ConnectionBytes,
        reservation: Reservation,
    ) -> _Close | None:
        try:
            request = await self._read_request(sock, connection, held, reservation)
        except RejectedError as rejection:
            return await self._write_rejection(sock, connection, rejection)
        if request is None:
            return _Close()
        if not self._connection_budget.allows_request(held):
            self._note_end(ConnectionEnd.REFUSED)
            return await self._write_rejection(
                sock, connection, RejectedError(503, "the memory for connections is used up")
            )
        await self._note_read_ahead(held, connection)
        response = self._handler(request)
        if not isinstance(response, HttpResponse) and inspect.isawaitable(response):
            response = await self._await_unless_closed(sock, connection, held, response)
        if response is None:
            return _Close()
        method = request.method
        # Frees the request's body; the response's is in memory already.
        del request
        await reservation.release()
        reservation.count(len(response.body))
        if not await self._sender.write(
            sock,
            connection,
            response,
            method,
            self._limits.write_seconds,
            close=self._close_after_response,
        ):
            self._note_end(self._sender.end_cause(sock) or ConnectionEnd.UNDELIVERED, response)
            return _Close()
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            return None
        return _Close(attrs.evolve(response, body=b""))

    async def _note_read_ahead(self, held: ConnectionBytes, connection: h11.Connection) -> None:
        """Count the requests that were read ahead; if there are any, let other tasks run.

        Without that, requests that are answered without waiting hold up all other connections.
        """
        size = len(connection.trailing_data[0])
        self._connection_budget.set_read_ahead(held, size)
        if size:
            await curio.sleep(0)

    def _note_end(self, cause: ConnectionEnd, response: HttpResponse | None = None) -> None:
        if self._on_end is not None:
            self._on_end(cause, response)

    async def _read_request(
        self,
        sock: Any,
        connection: h11.Connection,
        held: ConnectionBytes,
        reservation: Reservation,
    ) -> HttpRequest | None:
        try:
            if not connection.trailing_data[0] and not await self._wait_for_request(
                sock, connection, held
            ):
                return None
            waited_seconds = await self._wait_for_turn(sock, connection, held)
            if waited_seconds is None:
                return None
            began_at = time.monotonic()
            head = await self._read_head(sock, connection)
            if head is None:
                return None
            check_head(head, self._limits)
            body = await read_body(
                sock, connection, self._limits, content_length(head), reservation
            )
        except h11.RemoteProtocolError as error:
            raise RejectedError(error.error_status_hint, str(error)) from error
        if time.monotonic() - began_at > _LATE_REST_SECONDS:
            # What came later than its turn takes another one.
            late_seconds = await self._wait_for_turn(sock, connection, held)
            if late_seconds is None:
                return None
            waited_seconds += late_seconds
        target, headers = origin_form(head)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=held.peer,
            waited_seconds=waited_seconds,
        )

    async def _wait_for_turn(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes
    ) -> float | None:
        """Wait until the next request may begin, and return the seconds that it waited.

        Return None if the client closed the connection meanwhile.
        """
        if self._turns is None:
            return 0.0
        waited_seconds = await self._turns.next()
        size = self._read_ahead_size(held) if waited_seconds else 0
        if size and is_readable(sock):
            data = await sock.recv(size)
            if not data:
                return None
            connection.receive_data(data)
        return waited_seconds

    async def _read_head(self, sock: Any, connection: h11.Connection) -> h11.Request | None:
        """Read the head of a request and return it, None if the connection ends before it.

        :raises RejectedError: if the head does not arrive within the timeout
        """
        event = await read_head(sock, connection, self._limits)
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_request(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes
    ) -> bool:
        """Wait for the first bytes of a request and return whether any arrived."""
        if self._draining and not is_readable(sock):
            return False
        self._idle.add(sock, held)
        data = await first_bytes(sock)
        closed_here = not self._idle.remove(sock)
        if closed_here and data:
            self._note_end(ConnectionEnd.CROSSED)
        if closed_here or not data:
            return False
        connection.receive_data(data)
        return True

    async def _await_unless_closed(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes, work: Any
    ) -> HttpResponse | None:
        """Await the response; cancel the work and return None if the caller closes first.

        The group and its tasks refer to each other until the garbage collector runs, so the
        response, which may be large, is not left in one of them.
        """
        responses: list[HttpResponse | None] = []
        async with curio.TaskGroup(wait=any) as group:
            response_task = await group.spawn(_append_result, work, responses)
            await group.spawn(self._wait_closed, sock, connection, held)
        if group.completed is not response_task:
            return None
        if response_task.exception is not None:
            raise response_task.exception
        return responses.pop()

    async def _wait_closed(
        self, sock: Any, connection: h11.Connection, held: ConnectionBytes
    ) -> None:
        """Return when the caller closes; buffer the bytes of pipelined requests.

        Above ``_MAX_PIPELINED_BYTES``, and above the budget, stop reading; the caller's close then
        goes unnoticed.
        """
        with suppress(OSError):
            while size := self._read_ahead_size(held):
                data = await sock.recv(size)
                if not data:
                    return
                connection.receive_data(data)
                self._connection_budget.set_read_ahead(held, held.read_ahead + len(data))
            await curio.Event().wait()

    def _read_ahead_size(self, held: ConnectionBytes) -> int:
        """Return how many bytes of pipelined requests a connection may read, 0 if none."""
        if not self._connection_budget.allows_read_ahead(held):
            return 0 if held.read_ahead else _LITTLE_READ_BYTES
        return max(0, _MAX_PIPELINED_BYTES - held.read_ahead)

    async def _write_rejection(
        self, sock: Any, connection: h11.Connection, rejection: RejectedError
    ) -> _Close:
        """Send the response to a request that is rejected; what is left of it is not read."""
        if not can_respond(connection):
            return _Close()
        response = self._reject(rejection.status, rejection.reason)
        data = encode_response(connection, response, "", close=True)
        sent = await self._sender.send(sock, data, self._limits.write_seconds)
        return _Close(attrs.evolve(response, body=b"") if sent else None)


async def _append_result(work: Any, results: list[HttpResponse | None]) -> None:
    results.append(await work)
