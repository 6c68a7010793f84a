"""Processes of callers that each send a request, wait for its answer, and send the next."""

from __future__ import annotations

import contextlib
import itertools
import selectors
import socket
import subprocess
import sys
import time

__all__ = ["BusyCallers"]

_REQUEST = (
    b"GET /reports/%d HTTP/1.1\r\nhost: stones.example\r\nrequest-id: %x\r\n"
    b"affinity-key: k%d\r\ndeadline-ms: %d\r\n\r\n"
)
_READ_BYTES = 65536

#: Number of objects that the callers ask for.
_OBJECTS = 60

_SWEEP_SECONDS = 0.05


class BusyCallers:
    """Callers of one gateway in a process of their own.

    :param address: where the gateway takes callers' requests
    :param connections: the number of callers, each with a connection of its own
    :param deadline_ms: how long each waits for an answer, after which it closes its connection
    """

    def __init__(self, address, connections, deadline_ms):
        arguments = (address.host, address.port, connections, deadline_ms)
        self._process = subprocess.Popen([sys.executable, __file__, *map(str, arguments)])

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()


class _Caller:
    def __init__(self, address, selector, numbers, deadline_ms):
        self._address = address
        self._selector = selector
        self._numbers = numbers
        self._deadline_ms = deadline_ms
        self._sock = None
        self.due = 0.0

    def begin(self):
        """Open a connection in place of the former one, and send a request."""
        self.close()
        self._sock = sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self._address)
        self._selector.register(sock, selectors.EVENT_WRITE, self)
        self.due = time.monotonic() + self._deadline_ms / 1000

    def proceed(self, events):
        """Send the request once the connection is open, and the next one after each answer."""
        try:
            if events & selectors.EVENT_WRITE:
                self._selector.modify(self._sock, selectors.EVENT_READ, self)
            elif not self._sock.recv(_READ_BYTES):
                self.begin()
                return
            self._send()
        except OSError:
            self.begin()

    def close(self):
        """Close the connection, if there is one."""
        if self._sock is not None:
            self._selector.unregister(self._sock)
            self._sock.close()

    def _send(self):
        number = next(self._numbers)
        self._sock.send(_REQUEST % (number, number, number % _OBJECTS, self._deadline_ms))
        self.due = time.monotonic() + self._deadline_ms / 1000


def _play(host, port, connections, deadline_ms):
    selector = selectors.DefaultSelector()
    numbers = itertools.count(1)
    address = (host, int(port))
    callers = [
        _Caller(address, selector, numbers, int(deadline_ms)) for _ in range(int(connections))
    ]
    for caller in callers:
        caller.begin()
    swept_at = time.monotonic()
    while True:
        for key, events in selector.select(_SWEEP_SECONDS):
            key.data.proceed(events)
        now = time.monotonic()
        if now - swept_at < _SWEEP_SECONDS:
            continue
        swept_at = now
        for caller in callers:
            if caller.due < now:
                caller.begin()


if __name__ == "__main__":
    _play(*sys.argv[1:])
