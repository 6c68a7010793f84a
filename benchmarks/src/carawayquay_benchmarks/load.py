"""A load of HTTP requests over raw sockets, which costs far less than the servers that it loads."""

from __future__ import annotations

import re
import selectors
import socket
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from carawayquay.membership import Address

__all__ = ["exchange", "open_socket", "quantile", "request_rate"]

_READ_BYTES = 65536
_LENGTH = re.compile(rb"\r\n[Cc]ontent-[Ll]ength: (\d+)")


@attrs.define
class _Caller:
    sock: socket.socket
    data: bytes = b""


def open_socket(address: Address) -> socket.socket:
    """Return a connection that sends small requests at once."""
    sock = socket.create_connection((address.host, address.port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request_rate(address: Address, request: bytes, connections: int, seconds: float) -> float:
    """Return the answers per second on kept-open connections, one request at a time on each.

    :param request: the bytes of one request
    """
    selector = selectors.DefaultSelector()
    callers = [_Caller(open_socket(address)) for _ in range(connections)]
    for caller in callers:
        selector.register(caller.sock, selectors.EVENT_READ, caller)
        caller.sock.sendall(request)
    answers = 0
    started = time.perf_counter()
    while (elapsed := time.perf_counter() - started) < seconds:
        for key, _ in selector.select(1.0):
            caller = key.data
            caller.data += caller.sock.recv(_READ_BYTES)
            if _is_complete(caller.data):
                caller.data = b""
                answers += 1
                caller.sock.sendall(request)
    for caller in callers:
        caller.sock.close()
    return answers / elapsed


def exchange(sock: socket.socket, request: bytes) -> float:
    """Send one request, read its whole answer and return the seconds that it took.

    :raises OSError: if the answer is not 200
    """
    started = time.perf_counter()
    sock.sendall(request)
    data = b""
    while not _is_complete(data):
        part = sock.recv(_READ_BYTES)
        if not part:
            raise OSError("connection closed before the answer")
        data += part
    elapsed = time.perf_counter() - started
    if not data.startswith(b"HTTP/1.1 200"):
        raise OSError(f"answer is {data[:64]!r}")
    return elapsed


def quantile(values: list[float], fraction: float) -> float:
    """Return the value that a fraction of the values does not exceed.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def _is_complete(data: bytes) -> bool:
    """Return whether an answer has come to its end."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = _LENGTH.search(head)
    return length is not None and len(body) >= int(length[1])
