"""Opens TCP connections by IP address without a resolver thread."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from curio.io import Socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.membership import Address

    Dialer = Callable[[Address], Awaitable[Socket]]

__all__ = ["dial"]


async def dial(address: Address, source: tuple[str, int] | None = None) -> Socket:
    """Open a TCP connection.

    :func:`curio.open_connection` resolves the host in a thread, even if it is an IP address.

    :param address: the address to connect to, with an IPv4 address as host
    :param source: the local address to connect from, None for any
    :raises OSError: if the connection cannot be opened
    """
    sock = Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        if source is not None:
            sock.bind(source)
        await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    return sock
