"""Signals that request a graceful stop or a reload of the settings."""

from __future__ import annotations

import signal
import socket
from contextlib import suppress

from curio.io import Socket

__all__ = ["ReloadSignal", "StopSignal"]


class _SignalWaiter:
    """Waits for any of a set of signals.

    The handler only writes a byte to a socket, since it may interrupt the event loop anywhere,
    even while the loop holds a lock.
    """

    _signals: tuple[signal.Signals, ...] = ()

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = Socket(reader)
        for signal_number in self._signals:
            signal.signal(signal_number, self._handle)

    async def wait(self) -> None:
        """Wait until a signal arrives; only one task may wait at a time."""
        await self._reader.recv(1)

    def _handle(self, *_: object) -> None:
        with suppress(BlockingIOError):
            self._writer.send(b"\0")


class StopSignal(_SignalWaiter):
    """Waits for SIGTERM or SIGINT, which request a graceful stop."""

    _signals = (signal.SIGTERM, signal.SIGINT)


class ReloadSignal(_SignalWaiter):
    """Waits for SIGHUP, which requests a reload of the settings file."""

    _signals = (signal.SIGHUP,)
