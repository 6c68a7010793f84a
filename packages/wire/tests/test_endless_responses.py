"""The HTTP client aborts endless responses at a size limit or a timeout."""

from __future__ import annotations

import curio
import pytest
from curio.network import run_server, tcp_server_socket

from carawayquay.membership import Address
from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

REQUEST = HttpRequest("GET", "/stones", ((b"host", b"stones.example"),), b"")
MAX_BODY_BYTES = 200_000

#: Limit of what a server sends before the client closes, with room for both ends' socket buffers.
MAX_SENT_BYTES = 16_000_000

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"


class EndlessServer:
    """Sends first bytes, then repeats others until the client closes.

    :param first: sent once
    :param again: sent repeatedly
    """

    def __init__(self, first, again):
        self._first = first
        self._again = again
        self.sent = 0
        self.closed = curio.Event()

    async def serve(self, sock, _):
        await sock.recv(65536)
        try:
            await sock.sendall(self._first)
            while True:
                await sock.sendall(self._again)
                self.sent += len(self._again)
        except OSError:
            await self.closed.set()


async def _failed_exchange(server, seconds=5.0, **options):
    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, server.serve, daemon=True)
    client = HttpClient(MAX_BODY_BYTES, **options)
    with pytest.raises(HttpError) as caught:
        await client.exchange(Address(*sock.getsockname()), REQUEST, seconds)
    await curio.timeout_after(2, server.closed.wait)
    return caught.value


@pytest.mark.parametrize(
    ("first", "again"),
    [
        (b"", b"\0" * 4096),
        (b"", b"no answer at all "),
        (HEAD, b"x-more: and more\r\n"),
        (HEAD + b"x-long: ", b"x" * 4096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED, CHUNK),
        (CHUNKED + b"1000; ", b"x" * 4096),
        (HEAD + b"\r\n", b"x" * 4096),
        (HEAD + b"content-length: 999999999999\r\n\r\n", b"x" * 4096),
        (CHUNKED + b"0\r\n", b"x-more: and more\r\n"),
    ],
    ids=[
        "zeros",
        "words",
        "headers",
        "one header",
        "interim responses",
        "chunks",
        "one chunk's extension",
        "body without a length",
        "length above the limit",
        "trailers",
    ],
)
def test_endless_response_is_aborted_at_a_size_limit(first, again):
    server = EndlessServer(first, again)
    failure = curio.run(_failed_exchange, server)
    assert failure.sent
    assert not failure.timed_out
    assert server.sent < MAX_SENT_BYTES


def test_endless_slow_response_times_out():
    class SlowServer(EndlessServer):
        async def serve(self, sock, address):
            await sock.recv(65536)
            try:
                while True:
                    await sock.sendall(b"x")
                    await curio.sleep(0.05)
            except OSError:
                await self.closed.set()

    failure = curio.run(_failed_exchange, SlowServer(b"", b""), 0.4)
    assert failure.timed_out


def test_concurrent_responses_share_the_body_budget():
    async def check():
        budget = BodyBudget(300_000)
        peak = 0
        body = b"x" * 190_000
        response = HEAD + b"content-length: 190000\r\n\r\n" + body

        async def serve(sock, _):
            await sock.recv(65536)
            await sock.sendall(response[:1000])
            await curio.sleep(0.1)
            await sock.sendall(response[1000:])

        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, serve, daemon=True)
        client = HttpClient(MAX_BODY_BYTES, body_budget=budget)
        address = Address(*sock.getsockname())
        tasks = [await curio.spawn(client.exchange, address, REQUEST, 5.0) for _ in range(4)]
        while not all(task.terminated for task in tasks):
            peak = max(peak, budget.used)
            await curio.sleep(0.01)
        assert [len((await task.join()).body) for task in tasks] == [190_000] * 4
        assert 0 < peak <= 300_000
        assert budget.used == 0

    curio.run(check)
