"""The HTTP client leaves used connections that are old, ended or silent."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest

from carawayquay.clock import ManualClock
from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import MAX_IDLE_TIME, HttpClient, HttpError

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = HttpRequest("GET", "/stones", (), b"")


class Server:
    """Answers so many requests on each connection, then does as told."""

    def __init__(self, answers=1000, close=False):
        self.answers = answers
        self.close = close
        self.connections = 0

    async def serve(self, sock, _):
        self.connections += 1
        left = self.answers
        while await sock.recv(65536):
            if left:
                await sock.sendall(ANSWER)
                left -= 1
            if not left and self.close:
                return


async def listening(server):
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(curio.network.run_server, sock, server.serve, daemon=True)
    return Address(*sock.getsockname())


def run(server, steps, clock=None):
    async def go():
        address = await listening(server)
        client = HttpClient(clock=clock)
        try:
            return await steps(client, address)
        finally:
            await client.close()

    return curio.run(go)


async def two_exchanges(client, address, between=lambda: None, **options):
    await client.exchange(address, REQUEST, 1.0)
    await curio.sleep(0.05)
    between()
    return await client.exchange(address, REQUEST, 1.0, **options)


def test_young_connection_is_used_again():
    server = Server()
    run(server, two_exchanges)
    assert server.connections == 1


def test_connection_that_was_unused_for_long_is_not_used_again():
    clock, server = ManualClock(), Server()

    async def steps(client, address):
        await two_exchanges(client, address, lambda: clock.advance(MAX_IDLE_TIME * 1.01))

    run(server, steps, clock)
    assert server.connections == 2


def test_caller_may_ask_for_a_connection_that_was_used_lately():
    clock, server = ManualClock(), Server()
    second = timedelta(seconds=1)

    async def steps(client, address):
        await two_exchanges(client, address, lambda: clock.advance(second * 2), max_idle=second)

    run(server, steps, clock)
    assert server.connections == 2


def test_connection_that_the_server_closed_is_not_used_again():
    server = Server(answers=1, close=True)
    assert run(server, two_exchanges).body == b"ok"
    assert server.connections == 2


def test_silent_used_connection_is_given_up_early_and_told_from_a_fresh_one():
    server = Server(answers=1)

    async def steps(client, address):
        with pytest.raises(HttpError) as caught:
            await two_exchanges(client, address, reused_connection_seconds=0.05)
        answer = await client.exchange(address, REQUEST, 1.0)
        return caught.value, answer

    failure, answer = run(server, steps)
    assert (failure.fresh, failure.sent, failure.timed_out) == (False, True, True)
    assert answer.body == b"ok"
    assert server.connections == 2


def test_silent_fresh_connection_speaks_against_the_server():
    async def steps(client, address):
        with pytest.raises(HttpError) as caught:
            await client.exchange(address, REQUEST, 0.05)
        return caught.value

    failure = run(Server(answers=0), steps)
    assert (failure.fresh, failure.sent, failure.timed_out) == (True, True, True)


def test_refused_connection_is_told_as_refused_and_not_sent():
    async def steps(client, _):
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        address = Address(*sock.getsockname())
        await sock.close()
        with pytest.raises(HttpError) as caught:
            await client.exchange(address, REQUEST, 1.0)
        return caught.value

    failure = run(Server(), steps)
    assert (failure.refused, failure.sent) == (True, False)
