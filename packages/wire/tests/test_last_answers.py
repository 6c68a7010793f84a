"""The answer behind which a connection closes reaches its client whole, whatever follows it."""

from __future__ import annotations

import socket

import attrs
import curio
import curio.io
import pytest
from curio.network import run_server, tcp_server_socket
from http_socket_pair import LIMITS

from carawayquay_wire.connection_budget import ConnectionBudget
from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.socket_closing import reset_on_close

_GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
_CLOSING_GET = b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
_OLD_GET = b"GET /a HTTP/1.0\r\nhost: x\r\n\r\n"
_TOO_LARGE = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n"

_BODY_BYTES = 400_000
_WINDOW_BYTES = 8192
_STEP_BYTES = 8000
_IDLE_SECONDS = 0.4

_LIMITS = attrs.evolve(
    LIMITS, idle_seconds=1.0, write_seconds=10.0, send_buffer_bytes=2 * _BODY_BYTES
)


class _Site:
    """A server at a TCP port, whose client has a small receive buffer.

    :ivar ends: the connections that the server ended, with the response that was lost, if any
    """

    def __init__(self, limits=_LIMITS, budget=None):
        self.ends = []
        self.server = HttpServer(
            lambda _: HttpResponse(200, ((b"request-id", b"a1"),), b"x" * _BODY_BYTES),
            _reject,
            limits,
            on_end=lambda *end: self.ends.append(end),
            connection_budget=budget,
        )
        self.client = None

    async def start(self):
        """Listen and connect."""
        listening = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, listening, self.server.serve, daemon=True)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        sock.connect(listening.getsockname())
        sock.setblocking(False)
        self.client = curio.io.Socket(sock)
        while not self.server.open_connections:
            await curio.sleep(0.01)

    async def read_slowly(self, seconds, *, behind=b""):
        """Return what arrives until the connection ends, read evenly over about some seconds.

        :param behind: sent again with every step, as by a client that pipelines
        """
        pause = seconds * _STEP_BYTES / _BODY_BYTES
        received = b""
        while part := await self._read():
            received += part
            if behind:
                try:
                    await self.client.sendall(behind)
                except OSError:
                    behind = b""
            await curio.sleep(pause)
        return received

    async def _read(self):
        try:
            return await self.client.recv(_STEP_BYTES)
        except OSError:
            return b""

    async def until_closed(self, seconds):
        """Wait until the server has no connection left."""
        async with curio.timeout_after(seconds):
            while self.server.open_connections:
                await curio.sleep(0.02)


def _reject(status, reason):
    return HttpResponse(status, (), b"x" * _BODY_BYTES + reason.encode())


def _run(check, **options):
    async def go():
        site = _Site(**options)
        async with curio.timeout_after(30.0):
            await site.start()
            await check(site)

    curio.run(go)


def _is_whole(received):
    head, _, body = received.partition(b"\r\n\r\n")
    [length] = [
        line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length: ")
    ]
    return len(body) == int(length.partition(b" ")[2])


# Guards against a reset that drops the rest of an answer, since requests arrived behind it.
@pytest.mark.parametrize(
    ("first", "announced"),
    [(_GET, True), (_CLOSING_GET, False), (_OLD_GET, False), (_TOO_LARGE, False)],
    ids=["stop announced", "close asked for", "HTTP/1.0", "rejected"],
)
@pytest.mark.parametrize("seconds", [0.3, 2.5])
def test_last_answer_is_whole_although_requests_arrive_behind_it(first, announced, seconds):
    async def check(site):
        if announced:
            site.server.announce_close()
        await site.client.sendall(first + _GET)
        assert _is_whole(await site.read_slowly(seconds, behind=_GET))
        await site.until_closed(2.0)
        assert site.ends == []

    _run(check)


# Guards against an idle connection whose close drops the answer that its client is still taking.
@pytest.mark.parametrize("how", ["drain", "idle timeout"])
def test_answer_in_flight_is_whole_although_its_connection_is_closed_as_idle(how):
    async def check(site):
        await site.client.sendall(_GET)
        await curio.sleep(_IDLE_SECONDS / 2)
        if how == "drain":
            await site.server.drain()
        await curio.sleep(_IDLE_SECONDS)
        assert _is_whole(await site.read_slowly(2.0, behind=_GET))
        await site.until_closed(2.0)
        (cause, _), *others = site.ends
        assert cause is (ConnectionEnd.DRAINED if how == "drain" else ConnectionEnd.IDLE)
        assert others in ([], [(ConnectionEnd.CROSSED, None)])

    limits = _LIMITS if how == "drain" else attrs.evolve(_LIMITS, idle_seconds=_IDLE_SECONDS)
    _run(check, limits=limits)


def test_connection_ends_soon_after_its_client_has_received_everything():
    async def check(site):
        site.server.announce_close()
        await site.client.sendall(_GET)
        received = b""
        while not received or not _is_whole(received):
            received += await site.client.recv(_STEP_BYTES)
        await site.until_closed(1.5)
        assert site.ends == []

    _run(check)


def test_connection_of_a_client_that_takes_nothing_ends_at_the_write_timeout():
    async def check(site):
        site.server.announce_close()
        await site.client.sendall(_GET)
        await site.until_closed(2.0)
        [(cause, response)] = site.ends
        assert cause is ConnectionEnd.UNDELIVERED
        assert (response.headers, response.body) == (((b"request-id", b"a1"),), b"")

    _run(check, limits=attrs.evolve(_LIMITS, write_seconds=0.5))


def test_connection_that_lingers_counts_as_open_and_holds_what_is_not_received():
    async def check(site):
        site.server.announce_close()
        await site.client.sendall(_GET)
        await curio.sleep(0.3)
        assert site.server.open_connections == 1
        assert budget.used > _BODY_BYTES / 2
        await site.client.close()
        await site.until_closed(1.0)
        assert budget.used == 0

    budget = ConnectionBudget(10 * _BODY_BYTES)
    _run(check, budget=budget)


def test_connection_whose_client_takes_too_little_is_ended_while_it_lingers():
    async def check(site):
        site.server.announce_close()
        await site.client.sendall(_GET)
        await site.until_closed(15.0)
        [(cause, _)] = site.ends
        assert cause is ConnectionEnd.SLOW

    limits = attrs.evolve(_LIMITS, write_seconds=20.0, min_read_bytes_per_s=50_000.0)
    _run(check, limits=limits)


# Guards against a server that goes on looking at connections which have ended.
@pytest.mark.parametrize("how", ["drain", "announce"])
def test_connection_that_its_client_resets_while_it_lingers_is_forgotten(how):
    async def check(site):
        if how == "announce":
            site.server.announce_close()
        await site.client.sendall(_GET)
        await curio.sleep(_IDLE_SECONDS)
        if how == "drain":
            await site.server.drain()
        assert budget.used > 0
        reset_on_close(site.client)
        await site.client.close()
        await site.until_closed(1.0)
        assert not site.server._lingering._lingering
        assert budget.used == 0

    budget = ConnectionBudget(10 * _BODY_BYTES)
    _run(check, budget=budget)
