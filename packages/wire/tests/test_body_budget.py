"""Bodies of all connections together take no more memory than the budget."""

from __future__ import annotations

import socket

import curio
import curio.io
from http_pairs import reject

from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.http import HttpLimits, HttpResponse
from carawayquay_wire.http_server import HttpServer

_BODY = b"x" * 1_000_000
_REQUEST = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(_BODY)
_CHUNKED = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
_CHUNK = b"%x\r\n%b\r\n0\r\n\r\n" % (len(_BODY), _BODY)


def _most_held(requests, capacity):
    """Send requests at once; return how many were answered and the most that was held."""
    budget = BodyBudget(capacity)
    held = []
    answers = []

    async def handle(request):
        held.append(budget.used)
        assert bytes(request.body) == _BODY
        await curio.sleep(0.02)
        return HttpResponse(200)

    server = HttpServer(handle, reject, HttpLimits(body_bytes=2_000_000), budget)

    async def ask(data):
        ours, theirs = (curio.io.Socket(sock) for sock in socket.socketpair())
        for sock in (ours, theirs):
            sock._socket.setblocking(False)
        async with ours, theirs:
            serving = await curio.spawn(server.serve, theirs, ("192.0.2.1", 1))
            await ours.sendall(data)
            answers.append(await ours.recv(1000))
            await serving.cancel()

    async def go():
        async with curio.TaskGroup() as group:
            for data in requests:
                await group.spawn(ask, data)

    curio.run(go)
    assert budget.used == 0
    return len([it for it in answers if b"200" in it]), max(held)


def test_bodies_wait_for_their_turn():
    assert _most_held([_REQUEST + _BODY] * 6, 2_000_000) == (6, 2_000_000)


def test_body_larger_than_the_budget_goes_through_alone():
    answered, most = _most_held([_REQUEST + _BODY] * 3, 500_000)
    assert (answered, most) == (3, 1_000_000)


def test_body_of_unknown_length_is_counted_as_it_grows():
    answered, most = _most_held([_CHUNKED + _CHUNK] * 4, 4_000_000)
    assert answered == 4
    assert 1_000_000 <= most <= 4_000_000
