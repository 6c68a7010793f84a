"""HTTP load generator on raw sockets, which uses far less processor time than the servers."""

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
    """Open a connection with TCP_NODELAY, so that small requests are sent without delay."""
    sock = socket.create_connection((address.host, address.port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request_rate(address: Address, request: bytes, connections: int, seconds: float) -> float:
    """Measure the answers per second on persistent connections with one request in flight each.

    :param request: bytes of one request
    :param connections: number of connections
    :param seconds: duration of the measurement
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
    """Send one request, read the complete answer and return the latency in seconds.

    :raises OSError: if the connection closes early, or the status is not 200
    """
    started = time.perf_counter()
    sock.sendall(request)
    data = b""
    while not _is_complete(data):
        part = sock.recv(_READ_BYTES)
        if not part:
            raise OSError("connection closed before the answer was complete")
        data += part
    elapsed = time.perf_counter() - started
    if not data.startswith(b"HTTP/1.1 200"):
        raise OSError(f"expected status 200, got {data[:64]!r}")
    return elapsed


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of the values.

    :param fraction: rank of the quantile, 0 to 1

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def _is_complete(data: bytes) -> bool:
    """Return whether the data holds a complete answer."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = _LENGTH.search(head)
    return length is not None and len(body) >= int(length[1])
