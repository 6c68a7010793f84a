"""A request that crosses the closing of its idle connection is not handled."""

from __future__ import annotations

import socket

import curio
import curio.io
import pytest
from http_socket_pair import LIMITS, echo, reject

from carawayquay_wire.http_server import HttpServer

_REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


class _CrossingSocket:
    """Server end of a connection whose caller sends a request just before each shutdown."""

    def __init__(self, server_end, client_end):
        self._server_end = server_end
        self._client_end = client_end

    def __getattr__(self, name):
        return getattr(self._server_end, name)

    async def shutdown(self, how):
        self._client_end.send(_REQUEST)
        await self._server_end.shutdown(how)


async def _close_by_idle_timeout(server):
    await curio.sleep(LIMITS.idle_seconds * 1.5)


async def _close_by_drain(server):
    await server.drain()


@pytest.mark.parametrize("close", [_close_by_idle_timeout, _close_by_drain])
@pytest.mark.parametrize("used", [False, True])
def test_request_that_crosses_the_close_of_an_idle_connection_is_not_handled(close, used):
    handled = []

    def handle(request):
        handled.append(request.target)
        return echo(request)

    async def go():
        client_end, server_end = socket.socketpair()
        wrapped = curio.io.Socket(server_end)
        server = HttpServer(handle, reject, LIMITS)
        serving = await curio.spawn(
            server.serve, _CrossingSocket(wrapped, client_end), ("192.0.2.1", 1)
        )
        if used:
            client_end.send(_REQUEST)
            await curio.sleep(0.05)
            assert handled.pop() == "/a"
        else:
            await curio.sleep(0)
        await close(server)
        async with curio.timeout_after(1.0):
            await serving.join()
        await wrapped.close()
        client_end.close()

    curio.run(go)
    assert handled == []
