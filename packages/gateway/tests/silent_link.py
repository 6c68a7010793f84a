"""Proxy whose connections may fall silent in a way that no keep-alive probe shows."""

from __future__ import annotations

import socket
from contextlib import suppress

import curio
from curio.network import tcp_server_socket

from carawayquay.membership import Address
from carawayquay_wire.dialing import dial

__all__ = ["SilentLink"]

_READ_BYTES = 65536


class SilentLink:
    """A proxy before one server.

    The kernel acknowledges what arrives on a silent connection, and probes of it, but nothing is
    passed on any more, in either direction.

    :ivar connections: number of connections that were opened so far
    """

    def __init__(self, host, target):
        self._host = host
        self._target = target
        self._port = 0
        self._accepting = None
        self._open = set()
        self._silent = set()
        self.connections = 0

    async def listen(self):
        """Accept connections, and return the address."""
        sock = tcp_server_socket(self._host, self._port, reuse_address=True)
        self._port = sock.getsockname()[1]
        self._accepting = await curio.spawn(self._accept, sock, daemon=True)
        return Address(self._host, self._port)

    async def refuse(self):
        """Refuse new connections and end the open ones."""
        await self._accepting.cancel()
        await self.reset()

    async def reset(self):
        """End the open connections; new ones are served."""
        for sock in list(self._open):
            with suppress(OSError):
                await sock.shutdown(socket.SHUT_RDWR)

    def silence(self):
        """Let the open connections fall silent for good; new ones are served."""
        self._silent |= self._open

    async def _accept(self, listening):
        async with listening:
            while True:
                sock, _ = await listening.accept()
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock):
        self.connections += 1
        onward = await dial(self._target)
        self._open.add(sock)
        try:
            async with sock, onward, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pass_on, sock, sock, onward)
                await group.spawn(self._pass_on, sock, onward, sock)
        finally:
            self._open.discard(sock)
            self._silent.discard(sock)

    async def _pass_on(self, connection, source, sink):
        with suppress(OSError):
            while data := await source.recv(_READ_BYTES):
                if connection not in self._silent:
                    await sink.sendall(data)
