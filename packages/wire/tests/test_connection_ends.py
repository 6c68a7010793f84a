"""A server reports each connection that it ends, with the answer that was lost."""

from __future__ import annotations

import socket

import curio
import curio.io
from http_socket_pair import LIMITS, echo, reject

from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer

_REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


def _ends_of(use, handler=echo):
    """Return the ends that a server reports while *use* acts on it and its caller's socket."""
    ends = []

    async def go():
        client_end, server_end = socket.socketpair()
        server = HttpServer(
            handler, reject, LIMITS, on_end=lambda cause, response: ends.append((cause, response))
        )
        wrapped = curio.io.Socket(server_end)
        serving = await curio.spawn(server.serve, wrapped, ("192.0.2.1", 1))
        await curio.sleep(0)
        async with curio.timeout_after(2.0):
            await use(server, client_end, wrapped)
            await serving.join()
        client_end.close()
        server_end.close()

    curio.run(go)
    return ends


def test_idle_connection_that_is_closed_is_reported():
    async def wait(*_):
        await curio.sleep(0)

    assert _ends_of(wait) == [(ConnectionEnd.IDLE, None)]


def test_connection_that_is_drained_is_reported():
    async def drain(server, *_):
        await server.drain()

    assert _ends_of(drain) == [(ConnectionEnd.DRAINED, None)]


def test_answer_that_cannot_be_sent_is_reported_with_its_headers():
    answer = HttpResponse(200, ((b"request-id", b"a1"),), b"ok")
    sockets = []

    async def handle(_request):
        sockets[0].shutdown(socket.SHUT_WR)
        return answer

    async def send(_server, client_end, wrapped):
        sockets.append(wrapped._socket)
        client_end.send(_REQUEST)

    assert _ends_of(send, handle) == [(ConnectionEnd.UNDELIVERED, answer)]
