"""Invalid, oversized, slow and smuggled requests get an error response or a close."""

from __future__ import annotations

import json
import re
import socket

import attrs
import curio
import pytest
from http_socket_pair import LIMITS, echo, exchange_bytes, reject
from hypothesis import given, settings
from hypothesis import strategies as st

from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def statuses(received):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d\d\d)", received)]


def complete_bodies(received):
    """Return the bodies of all responses.

    :raises ValueError: if a response is incomplete
    """
    bodies = []
    while received:
        head, separator, received = received.partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 100"):
            continue
        length = int(re.search(rb"content-length: (\d+)", head)[1])
        if not separator or len(received) < length:
            raise ValueError(f"response is incomplete: {head}")
        bodies.append(received[:length])
        received = received[length:]
    return bodies


def post(*headers, body=b""):
    return (
        b"POST /b HTTP/1.1\r\nHost: x\r\n" + b"".join(h + b"\r\n" for h in headers) + b"\r\n" + body
    )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (post(b"Content-Length: 3", b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"), 400),
        (post(b"Transfer-Encoding: chunked", b"Content-Length: 3", body=b"0\r\n\r\n"), 400),
        (post(b"Content-Length: 3", b"Content-Length: 4", body=b"abcd"), 400),
        (post(b"Content-Length: 3, 4", body=b"abcd"), 400),
        (post(b"Content-Length: -1", body=b"a"), 400),
        (post(b"Content-Length: +3", body=b"abc"), 400),
        (post(b"Content-Length: 0x3", body=b"abc"), 400),
        (post(b"Content-Length: \xb2", body=b"ab"), 400),
        (post(b"Content-Length: 99999999999999999999999999", body=b"a"), 400),
        (post(b"Content-Length: 4097"), 413),
        (post(b"Transfer-Encoding: chunked", body=b"1001\r\n" + b"a" * 4097 + b"\r\n"), 413),
        (post(b"Transfer-Encoding: chunked", body=b"zz\r\n"), 400),
        (post(b"Transfer-Encoding: chunked", body=b"3\r\nabcdef\r\n"), 400),
        (post(b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"), 501),
        (post(b"Transfer-Encoding: identity"), 501),
        (post(b"Content-Length : 3", body=b"abc"), 400),
        (post(b"X: a\x00b"), 400),
        (post(b"X: a\rY: b"), 400),
        (post(*[b"X-%d: y" % i for i in range(17)]), 431),
        (post(b"X: " + b"y" * 4096), 431),
        (b"GET /" + b"a" * 4096 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 431),
        (b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"GET /a\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    ],
)
def test_invalid_request_gets_one_error_response_and_a_close(data, status):
    received = exchange_bytes(data + GET)
    assert statuses(received) == [status]
    assert b"connection: close" in received.lower()


def test_incomplete_body_is_rejected():
    assert statuses(exchange_bytes(post(b"Content-Length: 9", body=b"abc"))) == [400]


def test_folded_header_line_is_not_parsed_as_a_header():
    received = exchange_bytes(post(b"X: a", b" Content-Length: 5", body=b"") + GET)
    assert [json.loads(body)["target"] for body in complete_bodies(received)] == ["/b", "/a"]


def test_large_head_sent_at_once_is_rejected():
    limits = attrs.evolve(LIMITS, headers=100)
    data = post(*[b"X-%d: %s" % (i, b"y" * 100) for i in range(30)])
    assert statuses(exchange_bytes(data, limits=limits)) == [431]


@pytest.mark.parametrize(
    "data",
    [b"GET /a HTT", b"GET /a HTTP/1.1\r\nHost: x\r\nX: ", post(b"Content-Length: 5", body=b"ab")],
)
def test_stalled_request_is_rejected_after_a_timeout(data):
    assert statuses(exchange_bytes(data, end=False)) == [408]


def test_idle_connection_is_closed_without_a_response():
    assert exchange_bytes(b"", end=False) == b""


def test_pipelined_requests_are_answered_in_order():
    data = b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(20))
    received = exchange_bytes(data, end=False)
    assert re.findall(rb'"target":"/(\d+)"', received) == [b"%d" % i for i in range(20)]


def test_connection_of_a_caller_that_does_not_read_is_closed():
    def large(request):
        return HttpResponse(200, (), b"x" * (8 << 20))

    exchange_bytes(GET, handler=large, end=False, read=False)


def test_response_to_head_has_a_length_and_no_body():
    received = exchange_bytes(b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + GET)
    first, _, rest = received.partition(b"\r\n\r\n")
    assert re.search(rb"content-length: [1-9]", first)
    assert rest.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("status", [204, 304])
def test_response_with_a_bodiless_status_has_no_body(status):
    received = exchange_bytes(GET + GET, handler=lambda request: HttpResponse(status, (), b"x"))
    assert statuses(received) == [status, status]
    assert b"content-length" not in received


def test_connection_above_the_limit_gets_status_503():
    received = exchange_bytes(GET, limits=attrs.evolve(LIMITS, connections=0))
    assert statuses(received) == [503]


def test_handler_is_cancelled_when_the_caller_closes():
    cancelled = []

    async def slow_handler(request):
        try:
            await curio.sleep(60)
        except curio.CancelledError:
            cancelled.append(request.target)
            raise

    assert exchange_bytes(GET, handler=slow_handler) == b""
    assert cancelled == ["/a"]


_FRAGMENTS = st.sampled_from(
    [
        b"GET ",
        b"POST ",
        b"/a",
        b" HTTP/1.1\r\n",
        b" HTTP/1.0\r\n",
        b"Host: x\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 0\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Connection: upgrade\r\nUpgrade: websocket\r\n",
        b"Expect: 100-continue\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b"0\r\n\r\n",
        b"5\r\nabcde\r\n",
        b"abcde",
        b"\0",
        b"\xff",
        GET,
    ]
)


@settings(max_examples=300)
@given(st.lists(st.one_of(_FRAGMENTS, st.binary(max_size=8)), max_size=16).map(b"".join))
def test_any_input_yields_complete_responses_and_a_close(data):
    """Every response is complete, and none follows an error response."""
    received = exchange_bytes(data)
    found = [status for status in statuses(received) if status != 100]
    assert all(status == 200 for status in found[:-1])
    assert all(status == 200 or 400 <= status < 600 for status in found)
    bodies = complete_bodies(received)
    assert len(bodies) == len(found)
    for body in bodies:
        json.loads(body)


@given(st.binary(max_size=40), st.integers(1, 7))
def test_body_is_parsed_alike_with_a_length_and_in_chunks(body, size):
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    plain = exchange_bytes(post(b"Content-Length: %d" % len(body), body=body))
    chunked = exchange_bytes(post(b"Transfer-Encoding: chunked", body=chunks))
    assert plain.partition(b"\r\n\r\n")[2] == chunked.partition(b"\r\n\r\n")[2]
    assert json.loads(plain.partition(b"\r\n\r\n")[2])["body"] == body.decode("latin-1")


@pytest.mark.parametrize("used", [False, True])
def test_unread_request_is_answered_when_a_server_drains(used):
    async def go():
        client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
        server = HttpServer(echo, reject, LIMITS)
        async with server_end:
            serving = await curio.spawn(server.serve, server_end, ("192.0.2.1", 1))
            await curio.sleep(0.02)
            if used:
                await client_end.sendall(GET)
                await client_end.recv(65536)
                await curio.sleep(0.02)
            client_end._socket.send(GET)
            await server.drain()
            received = await curio.timeout_after(1, client_end.recv, 65536)
            assert statuses(received) == [200]
            assert b"connection: close" in received.lower()
            await serving.join()

    curio.run(go)


def test_idle_connection_is_closed_at_once_when_a_server_drains():
    async def go():
        _client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
        server = HttpServer(echo, reject, attrs.evolve(LIMITS, idle_seconds=30.0))
        async with server_end:
            serving = await curio.spawn(server.serve, server_end, ("192.0.2.1", 1))
            await curio.sleep(0.02)
            await server.drain()
            await curio.timeout_after(1, serving.join)

    curio.run(go)


@pytest.mark.parametrize(("before", "after", "closes"), [(0.2, 5.0, False), (5.0, 0.2, True)])
def test_changed_idle_limit_holds_for_connections_that_are_idle_already(before, after, closes):
    async def go():
        _client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
        server = HttpServer(echo, reject, attrs.evolve(LIMITS, idle_seconds=before))
        async with server_end:
            serving = await curio.spawn(server.serve, server_end, ("192.0.2.1", 1))
            await curio.sleep(0.05)
            server.set_limits(attrs.evolve(LIMITS, idle_seconds=after))
            await curio.sleep(0.6)
            assert serving.terminated is closes
            await serving.cancel()

    curio.run(go)
