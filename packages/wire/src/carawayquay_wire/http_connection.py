"""One HTTP/1.1 connection to a server, on h11 and curio, without pipelining."""

from __future__ import annotations

from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs
import h11

from carawayquay.errors import CarawayquayError
from carawayquay_wire.body_budget import SMALL_BODY_BYTES, BodyBudget
from carawayquay_wire.chunk_limit import ChunkLimit
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.socket_closing import reset_on_close, shut_down
from carawayquay_wire.socket_readiness import is_readable

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.membership import Address
    from carawayquay_wire.body_budget import Reservation

    ResponseMatcher = Callable[[HttpRequest, HttpResponse, bool], bool]

__all__ = ["HttpConnection", "HttpError"]

_READ_BYTES = 65536

#: Larger request bodies are sent separately from the head, so that they are not copied.
_MAX_COPIED_BODY_BYTES = 64 * 1024

#: Highest status of HTTP. The parser takes any three digits, and refuses those below 100 itself.
_MAX_STATUS = 599

#: Interim (1xx) responses that one exchange skips; a faulty server may send them without end.
_MAX_INTERIM_RESPONSES = 8

#: Responses to other requests that one exchange skips before it closes the connection.
_MAX_MISMATCHED_RESPONSES = 4


@attrs.frozen
class HttpError(CarawayquayError):
    """An exchange that failed before a complete response arrived.

    :param sent: whether any byte of the request may have reached the server
    :param fresh: whether the connection was new, and not reused
    :param refused: whether the server's host refused the TCP connection
    :param timed_out: whether the exchange or the opening of its connection timed out
    :param too_large: whether the body of the response exceeded the limit
    """

    reason: str
    sent: bool
    fresh: bool = True
    refused: bool = False
    timed_out: bool = False
    too_large: bool = False

    def __str__(self) -> str:
        return self.reason


class HttpConnection:
    """One connection to a server, which is not reusable after a failed exchange.

    :param max_body_bytes: the limit of a response's body
    :param body_budget: the memory that response bodies share while they are received
    """

    def __init__(
        self,
        sock: Any,
        address: Address,
        max_body_bytes: int,
        body_budget: BodyBudget | None = None,
    ) -> None:
        self._sock = sock
        self._address = address
        self._max_body_bytes = self._body_limit = max_body_bytes
        self._body_budget = body_budget or BodyBudget(max_body_bytes)
        self._h11 = h11.Connection(h11.CLIENT)
        self._exchange_count = 0
        self._head_request = False
        self._reusable = True
        self._awaiting_response = False
        #: Reading of the pool's clock when the connection last became idle.
        self.idle_since = timedelta()

    @property
    def fresh(self) -> bool:
        """Whether the connection has carried no exchange before the current one."""
        return self._exchange_count <= 1

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""
        return self._reusable

    def is_stale(self) -> bool:
        """Return whether the server closed this idle connection or sent unsolicited bytes on it."""
        return is_readable(self._sock)

    async def exchange(
        self,
        request: HttpRequest,
        response_matches: ResponseMatcher | None = None,
        max_body_bytes: int | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        :param response_matches: called with the request, a response and whether the connection is
            fresh; returns whether the response belongs to the request. Other responses are skipped.
        :param max_body_bytes: the limit of the response's body, if lower than that of all
        :raises HttpError: if the connection fails before the response is complete, or its body
            exceeds the limit
        """
        fresh = self._exchange_count == 0
        self._body_limit = min(self._max_body_bytes, max_body_bytes or self._max_body_bytes)
        self._head_request = request.method == "HEAD"
        self._exchange_count += 1
        self._reusable = False
        self._awaiting_response = True
        try:
            await self._send(request)
            response = await self._receive()
            mismatched = 0
            while response_matches is not None and not response_matches(request, response, fresh):
                mismatched += 1
                if mismatched > _MAX_MISMATCHED_RESPONSES:
                    raise OSError(
                        f"more than {_MAX_MISMATCHED_RESPONSES} responses to other requests"
                    )
                self._expect_next_response(request)
                response = await self._receive()
        except (OSError, h11.ProtocolError) as error:
            raise HttpError(f"{self._address}: {error}", sent=True, fresh=fresh) from error
        self._awaiting_response = False
        complete = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if complete and not self._h11.trailing_data[0]:
            self._h11.start_next_cycle()
            self._reusable = True
        return response

    async def close(self) -> None:
        """Close the connection; the server may then cancel the request that it is handling.

        A connection with an unanswered request is reset, so that the kernel does not deliver the
        request later, for example once a cut link has healed.
        """
        self._reusable = False
        if self._awaiting_response:
            reset_on_close(self._sock)
        with suppress(OSError):
            await self._sock.close()

    async def shut_down(self) -> None:
        """End the connection, also for an exchange that waits for its response."""
        await shut_down(self._sock)

    async def _send(self, request: HttpRequest) -> None:
        """Send a request, a large body without copying it."""
        head, body = self._encode(request), request.body
        if len(body) <= _MAX_COPIED_BODY_BYTES:
            await self._sock.sendall(head + body)
            return
        await self._sock.sendall(head)
        await self._sock.sendall(body)

    def _encode(self, request: HttpRequest) -> bytes:
        """Encode the head of a request, and advance the parser past its body."""
        headers = [*request.headers, (b"content-length", b"%d" % len(request.body))]
        if request.header(b"host") is None:
            headers.insert(0, (b"host", str(self._address).encode()))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self._h11.send(head)
        if request.body:
            self._h11.send_with_data_passthrough(h11.Data(data=request.body))
        self._h11.send(h11.EndOfMessage())
        return data

    def _expect_next_response(self, request: HttpRequest) -> None:
        """Reset the parser to read another response, after one to a different request.

        :raises OSError: if the connection cannot carry another response
        """
        if self._h11.their_state is not h11.DONE:
            raise OSError("connection ends after a response to another request")
        received = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode(request)
        if received:
            self._h11.receive_data(received)

    async def _receive(self) -> HttpResponse:
        """Receive a complete response.

        :raises OSError: if the connection closes early, there are too many interim responses, or
            the status is none of HTTP
        :raises h11.ProtocolError: if the response is invalid or its body has too many chunks
        :raises HttpError: if the body exceeds the limit
        """
        reservation = self._body_budget.new_reservation()
        try:
            return await self._receive_with_reservation(reservation)
        finally:
            await reservation.release()

    async def _receive_with_reservation(self, reservation: Reservation) -> HttpResponse:
        head = await self._receive_head()
        length = 0 if self._head_request else _content_length(head)
        if length is not None and length > self._body_limit:
            raise self._too_large()
        await reservation.grow_to(length or 0)
        body = bytearray()
        chunks = ChunkLimit()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                small = len(body) <= SMALL_BODY_BYTES
                return HttpResponse(
                    head.status_code, tuple(head.headers), bytes(body) if small else body
                )
            if not isinstance(event, h11.Data):
                raise OSError("connection closed within the response")
            size = len(body) + len(event.data)
            if size > self._body_limit:
                raise self._too_large()
            if length is None:
                await reservation.grow_with(size, self._body_limit)
            await chunks.add(event, size)
            body += event.data

    async def _receive_head(self) -> h11.Response:
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return _checked_status(event)
            if not isinstance(event, h11.InformationalResponse):
                raise OSError("connection closed before the response")
        raise OSError(f"more than {_MAX_INTERIM_RESPONSES} interim responses")

    async def _next_event(self) -> Any:
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            self._h11.receive_data(await self._sock.recv(_READ_BYTES))
            event = self._h11.next_event()
        return event

    def _too_large(self) -> HttpError:
        reason = f"{self._address}: response body exceeds {self._body_limit} bytes"
        return HttpError(reason, sent=True, fresh=self.fresh, too_large=True)


def _checked_status(head: h11.Response) -> h11.Response:
    """Return the head of a response.

    :raises OSError: if its status is above those of HTTP
    """
    if head.status_code > _MAX_STATUS:
        raise OSError(f"response with status {head.status_code}, which is none of HTTP")
    return head


def _content_length(head: h11.Response) -> int | None:
    """Return the value of content-length, None if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return None
