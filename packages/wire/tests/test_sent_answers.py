"""An answer's memory is free once it is sent, without a run of the garbage collector."""

from __future__ import annotations

import gc
import weakref

import curio
from curio.network import run_server, tcp_server_socket

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient
from carawayquay_wire.http_server import HttpServer

_BODY_BYTES = 200_000


class _Body(bytearray):
    """A body to which a weak reference is possible."""


def test_sent_answers_do_not_wait_for_the_garbage_collector():
    bodies = []

    async def handle(_):
        body = _Body(_BODY_BYTES)
        bodies.append(weakref.ref(body))
        return HttpResponse(200, (), body)

    async def go():
        server = HttpServer(handle, lambda status, _: HttpResponse(status))
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        address = Address(*sock.getsockname())
        client = HttpClient()
        for _ in range(5):
            await client.exchange(address, HttpRequest("GET", "/", (), b""), 5.0)
        await curio.sleep(0.05)

    gc.disable()
    try:
        curio.run(go)
        assert [body() is None for body in bodies] == [True] * 5
    finally:
        gc.enable()
