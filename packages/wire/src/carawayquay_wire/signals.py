"""Signals that ask a process for a planned stop, or to read its settings again."""

from __future__ import annotations

import signal
import socket
from contextlib import suppress

from curio.io import Socket

__all__ = ["ReloadSignal", "StopSignal"]


class _SignalWaiter:
    """Waits for any of some signals.

    The handler only writes a byte to a socket, since it may interrupt the event loop anywhere,
    also where the loop holds a lock.
    """

    _signals: tuple[signal.Signals, ...] = ()

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = Socket(reader)
        for signal_number in self._signals:
            signal.signal(signal_number, self._handle)

    async def wait(self) -> None:
        """Return when a signal has come; one task at a time may wait."""
        await self._reader.recv(1)

    def _handle(self, *_: object) -> None:
        with suppress(BlockingIOError):
            self._writer.send(b"\0")


class StopSignal(_SignalWaiter):
    """Waits for SIGTERM or SIGINT, which ask for a planned stop."""

    _signals = (signal.SIGTERM, signal.SIGINT)


class ReloadSignal(_SignalWaiter):
    """Waits for SIGHUP, which says that the settings file has changed."""

    _signals = (signal.SIGHUP,)
