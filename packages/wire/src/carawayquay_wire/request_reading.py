"""Reads requests from callers' connections, and checks them against the limits of a server."""

from __future__ import annotations

import re
import sys
from typing import TYPE_CHECKING, Any

import attrs
import curio
import h11

from carawayquay_wire.body_budget import SMALL_BODY_BYTES
from carawayquay_wire.chunk_limit import ChunkLimit

if TYPE_CHECKING:
    from carawayquay_wire.body_budget import Reservation
    from carawayquay_wire.http import HttpLimits

__all__ = [
    "RejectedError",
    "check_head",
    "content_length",
    "first_bytes",
    "new_parser",
    "next_parser",
    "origin_form",
    "read_body",
    "read_head",
]

_READ_BYTES = 65536

#: An empty line, which some clients send before a request.
_EMPTY_LINE = b"\r\n"

#: Bytes of empty lines before a request after which more of them are rejected.
_MAX_EMPTY_BYTES = 16

#: Matches a target in absolute form, which names the host too.
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#]+)([^#]*)", re.IGNORECASE)


@attrs.frozen
class RejectedError(Exception):
    """A request that violates the protocol or a limit, with the status to respond with."""

    status: int
    reason: str


def new_parser() -> h11.Connection:
    """Return a parser without a limit of its own, as that could not follow the configured one."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)


def next_parser(connection: h11.Connection) -> h11.Connection:
    """Return the parser of a connection's next request, without empty lines before it."""
    data, closed = connection.trailing_data
    if not data.startswith(b"\r"):
        connection.start_next_cycle()
        return connection
    following = new_parser()
    if rest := data.lstrip(_EMPTY_LINE):
        following.receive_data(rest)
    if closed:
        following.receive_data(b"")
    return following


async def first_bytes(sock: Any) -> bytes:
    """Receive the first bytes of a request, without a few empty lines before it.

    :returns: no bytes if the client closed the connection
    """
    skipped = 0
    while data := await sock.recv(_READ_BYTES):
        rest = data.lstrip(_EMPTY_LINE)
        skipped += len(data) - len(rest)
        if rest or skipped > _MAX_EMPTY_BYTES:
            return rest or data
    return data


async def read_head(sock: Any, connection: h11.Connection, limits: HttpLimits) -> Any:
    """Return the next event of a connection, reading until there is one.

    :raises RejectedError: if it does not arrive in time or exceeds a limit
    """
    event = connection.next_event()
    if event is not h11.NEED_DATA:
        return event
    try:
        async with curio.timeout_after(limits.header_seconds):
            while event is h11.NEED_DATA:
                await _receive(sock, connection, limits)
                event = connection.next_event()
    except curio.TaskTimeout:
        raise RejectedError(408, "headers did not arrive in time") from None
    return event


async def _receive(sock: Any, connection: h11.Connection, limits: HttpLimits) -> None:
    """Receive more of an incomplete head, chunk header or trailer.

    :raises RejectedError: if what has arrived of it exceeds the limit of headers
    """
    if len(connection.trailing_data[0]) > limits.header_bytes:
        raise RejectedError(431, f"headers exceed {limits.header_bytes} bytes")
    connection.receive_data(await sock.recv(_READ_BYTES))


async def read_body(
    sock: Any,
    connection: h11.Connection,
    limits: HttpLimits,
    length: int,
    reservation: Reservation,
) -> bytes | bytearray:
    """Read the body of a request.

    :param length: the value of content-length, 0 if there is none
    :raises RejectedError: if it does not arrive in time, exceeds a limit or is incomplete
    :raises h11.RemoteProtocolError: if it violates the protocol or has too many chunks
    """
    event = connection.next_event()
    if isinstance(event, h11.EndOfMessage):
        return b""
    if connection.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        await sock.sendall(connection.send(continue_response))
    body = bytearray()
    chunks = ChunkLimit(limits.many_chunks_status)
    try:
        async with curio.timeout_after(limits.body_seconds):
            await reservation.grow_to(length)
            while not isinstance(event, h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    await _receive(sock, connection, limits)
                elif isinstance(event, h11.Data):
                    size = len(body) + len(event.data)
                    if size > limits.body_bytes:
                        limit = limits.body_bytes
                        raise RejectedError(413, f"body exceeds {limit} bytes")
                    if size > length:
                        await reservation.grow_with(size, limits.body_bytes)
                    await chunks.add(event, size)
                    body += event.data
                else:
                    raise RejectedError(400, "body is incomplete")
                event = connection.next_event()
    except curio.TaskTimeout:
        raise RejectedError(408, "body did not arrive in time") from None
    await reservation.settle(len(body))
    return bytes(body) if len(body) <= SMALL_BODY_BYTES else body


def origin_form(head: h11.Request) -> tuple[bytes, tuple[tuple[bytes, bytes], ...]]:
    """Return the path and query of a request, and its headers.

    The host in a target in absolute form replaces that of the ``Host`` header.
    """
    absolute = _ABSOLUTE_FORM.fullmatch(head.target)
    if absolute is None:
        return head.target, tuple(head.headers)
    host, path = absolute.groups()
    others = (pair for pair in head.headers if pair[0] != b"host")
    return path if path.startswith(b"/") else b"/" + path, ((b"host", host), *others)


def content_length(head: h11.Request) -> int:
    """Return the value of content-length, 0 if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def check_head(head: h11.Request, limits: HttpLimits) -> None:
    """Reject a head that exceeds a limit, or that allows request smuggling.

    :raises RejectedError: if it exceeds a limit, or has both content-length and transfer-encoding
    """
    if len(head.headers) > limits.headers:
        raise RejectedError(431, f"more than {limits.headers} headers")
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limits.header_bytes:
        raise RejectedError(431, f"headers exceed {limits.header_bytes} bytes")
    length = content_length(head)
    if not length:
        return
    if any(name == b"transfer-encoding" for name, _ in head.headers):
        raise RejectedError(400, "both content-length and transfer-encoding")
    if length > limits.body_bytes:
        raise RejectedError(413, f"body exceeds {limits.body_bytes} bytes")
