"""Ways to end a connection, and what its other end has received."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any

import curio

__all__ = ["discard_input", "reset_on_close", "shut_down", "unacknowledged_bytes"]

_READ_BYTES = 65536

#: Value of ``SO_LINGER`` with which a close resets the connection and drops its unsent bytes.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_INT = struct.Struct("i")


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many sent bytes the other end has not acknowledged, 0 if it is not known."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    return _INT.unpack(answer)[0]


def reset_on_close(sock: Any) -> None:
    """Let the close of a socket reset the connection, so that the kernel drops what is unsent."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


async def shut_down(sock: Any) -> None:
    """End a connection both ways, which wakes the task that reads or writes."""
    with suppress(OSError):
        await sock.shutdown(socket.SHUT_RDWR)


async def discard_input(sock: Any) -> None:
    """Read and discard what arrives until the other end closes, or the connection fails.

    Other tasks run between two reads, since a read of bytes that are there does not wait.
    """
    with suppress(OSError):
        while await sock.recv(_READ_BYTES):
            await curio.sleep(0)
