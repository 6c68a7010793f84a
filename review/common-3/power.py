"""A proxy before an instance, which can go silent as a host does that has lost its power."""

import asyncio
import socket
import struct

#: Connections that fill the queue of a listener that accepts none, so that others time out.
_QUEUE_FILL = 3

#: Value of ``SO_LINGER`` with which a close resets the connection.
_RESET = struct.pack("ii", 1, 0)


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


class PoweredHost:
    """Passes connections on to an instance, until the power is lost."""

    def __init__(self, address, instance):
        self.address = address
        self._instance = instance
        self._server = None
        self._on = True
        self._writers = []
        self._tasks = []
        self._dead = []

    async def start(self):
        """Begin to accept connections."""
        self._on = True
        self._server = await asyncio.start_server(self._serve, *self.address)

    def lose_power(self):
        """Go silent: nothing passes any more, and no new connection is accepted or refused."""
        self._on = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        dead = socket.socket()
        dead.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        dead.bind(self.address)
        dead.listen(0)
        self._dead.append(dead)
        for _ in range(_QUEUE_FILL):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(self.address)
            self._dead.append(filling)

    def get_power(self):
        """End what was open, as a host that has started again resets what it does not know."""
        for writer in self._writers:
            reset(writer)
        for sock in self._dead:
            sock.close()
        self._writers, self._tasks, self._dead = [], [], []

    async def _serve(self, reader, writer):
        try:
            onward_reader, onward = await asyncio.open_connection(*self._instance)
        except OSError:
            reset(writer)
            return
        self._writers += [writer, onward]
        self._tasks += [
            asyncio.create_task(self._pass(reader, onward)),
            asyncio.create_task(self._pass(onward_reader, writer)),
        ]

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self._on:
                    return
                writer.write(data)
                await writer.drain()
            if self._on:
                writer.close()
        except OSError:
            if self._on:
                reset(writer)
