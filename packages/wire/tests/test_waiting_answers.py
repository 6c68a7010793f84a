"""An answer that is there does not wait for the memory of other bodies."""

from __future__ import annotations

import socket

import curio
import curio.io
from http_socket_pair import reject

from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.http import HttpLimits, HttpResponse
from carawayquay_wire.http_server import HttpServer

_UPLOAD_BYTES = 1024 * 1024
_ANSWER = HttpResponse(200, (), b"a" * 100_000)
_LIMITS = HttpLimits(body_bytes=_UPLOAD_BYTES, body_seconds=5.0)


async def _connect(server):
    client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
    await curio.spawn(server.serve, server_end, ("192.0.2.1", 1), daemon=True)
    return client_end


def test_answer_is_sent_while_stalled_uploads_hold_the_whole_budget():
    async def go():
        budget = BodyBudget(_UPLOAD_BYTES)
        server = HttpServer(lambda _: _ANSWER, reject, _LIMITS, budget)
        upload = await _connect(server)
        head = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % _UPLOAD_BYTES
        await upload.sendall(head + b"b")
        await curio.sleep(0.05)
        assert budget.used == _UPLOAD_BYTES
        caller = await _connect(server)
        await caller.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        received = b""
        async with curio.timeout_after(0.5):
            while len(received) < len(_ANSWER.body):
                received += await caller.recv(65536)
        assert received.startswith(b"HTTP/1.1 200")

    curio.run(go)
