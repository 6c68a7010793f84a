"""Opens connections by IP address, on the event loop alone."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from curio.io import Socket

if TYPE_CHECKING:
    from carawayquay.membership import Address

__all__ = ["dial"]


async def dial(address: Address, source: tuple[str, int] | None = None) -> Socket:
    """Open a TCP connection.

    The event loop's own function asks a resolver in a thread, also for IP addresses.

    :param address: its host is an IPv4 address
    :param source: the address to connect from, if it matters
    :raises OSError: if the connection can't be opened
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
