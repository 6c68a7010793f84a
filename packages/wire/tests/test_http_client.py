"""The HTTP client reuses no connection that was idle for too long, was closed or timed out."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest

from carawayquay.clock import ManualClock
from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import MAX_IDLE_TIME, HttpClient, HttpError

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = HttpRequest("GET", "/stones", (), b"")


class Server:
    """Answers a number of requests on each connection, then stops answering or closes.

    :param answers: the number of requests answered on each connection
    :param close: whether to close the connection after them
    """

    def __init__(self, answers=1000, close=False):
        self.answers = answers
        self.close = close
        self.connections = 0

    async def serve(self, sock, _):
        self.connections += 1
        remaining = self.answers
        while await sock.recv(65536):
            if remaining:
                await sock.sendall(RESPONSE)
                remaining -= 1
            if not remaining and self.close:
                return


async def start_server(server):
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(curio.network.run_server, sock, server.serve, daemon=True)
    return Address(*sock.getsockname())


def run(server, steps, clock=None):
    async def go():
        address = await start_server(server)
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


def test_recently_used_connection_is_reused():
    server = Server()
    run(server, two_exchanges)
    assert server.connections == 1


def test_connection_that_was_idle_for_too_long_is_not_reused():
    clock, server = ManualClock(), Server()

    async def steps(client, address):
        await two_exchanges(client, address, lambda: clock.advance(MAX_IDLE_TIME * 1.01))

    run(server, steps, clock)
    assert server.connections == 2


def test_max_idle_of_an_exchange_limits_the_reuse():
    clock, server = ManualClock(), Server()
    second = timedelta(seconds=1)

    async def steps(client, address):
        await two_exchanges(client, address, lambda: clock.advance(second * 2), max_idle=second)

    run(server, steps, clock)
    assert server.connections == 2


def test_connection_that_the_server_closed_is_not_reused():
    server = Server(answers=1, close=True)
    assert run(server, two_exchanges).body == b"ok"
    assert server.connections == 2


def test_reused_connection_times_out_early_and_is_reported_as_not_fresh():
    server = Server(answers=1)

    async def steps(client, address):
        with pytest.raises(HttpError) as caught:
            await two_exchanges(client, address, reused_connection_seconds=0.05)
        response = await client.exchange(address, REQUEST, 1.0)
        return caught.value, response

    failure, response = run(server, steps)
    assert (failure.fresh, failure.sent, failure.timed_out) == (False, True, True)
    assert response.body == b"ok"
    assert server.connections == 2


def test_timeout_on_a_new_connection_is_reported_as_fresh():
    async def steps(client, address):
        with pytest.raises(HttpError) as caught:
            await client.exchange(address, REQUEST, 0.05)
        return caught.value

    failure = run(Server(answers=0), steps)
    assert (failure.fresh, failure.sent, failure.timed_out) == (True, True, True)


def test_refused_connection_is_reported_as_refused_and_not_sent():
    async def steps(client, _):
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        address = Address(*sock.getsockname())
        await sock.close()
        with pytest.raises(HttpError) as caught:
            await client.exchange(address, REQUEST, 1.0)
        return caught.value

    failure = run(Server(), steps)
    assert (failure.refused, failure.sent) == (True, False)


def test_connections_that_are_idle_for_too_long_are_closed_on_request():
    clock = ManualClock()

    async def steps(client, address):
        await client.exchange(address, REQUEST, 1.0)
        clock.advance(timedelta(seconds=4))
        await client.close_idle(timedelta(seconds=5))
        kept = len(client._idle[address])
        clock.advance(timedelta(seconds=1))
        await client.close_idle(timedelta(seconds=5))
        return kept, client._idle

    assert run(Server(), steps, clock) == (1, {})
