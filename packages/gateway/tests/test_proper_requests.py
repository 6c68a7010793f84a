"""Proper requests reach a target, however their bytes are split; none is denied by a VM itself."""

from __future__ import annotations

import re
import socket
from datetime import timedelta

import curio
import curio.io
import pytest
from gateway_builders import ScriptedTarget, answer_bytes, new_forwarder, run, target

from carawayquay.routes import TrafficLimits
from carawayquay_gateway.client_limits import configured_limits
from carawayquay_wire.http import HttpLimits
from carawayquay_wire.http_server import HttpServer

_SECOND = timedelta(seconds=1)
_BODY = b"one body"
_CHUNKED = b'4\r\none \r\n4;a=b;c="d e"\r\nbody\r\n0\r\n'

_GET = b"GET /reports/ HTTP/1.1"
_HOST = b"Host: stones.example"

_HEADS = {
    "host with a port": (_GET, _HOST + b":8548"),
    "host in upper case": (_GET, b"HOST: STONES.Example"),
    "host with a trailing dot": (_GET, _HOST + b"."),
    "host with a trailing dot and a port": (_GET, _HOST + b".:80"),
    "absolute form": (b"GET http://stones.example/reports/ HTTP/1.1", _HOST),
    "absolute form and another host": (
        b"GET HTTP://Stones.Example:80/reports/?b HTTP/1.1",
        b"Host: other",
    ),
    "query with slashes": (b"GET /reports/?next=/b/c/&d=http://e/f HTTP/1.1", _HOST),
    "empty line before": (b"", _GET, _HOST),
    "upgrade": (_GET, _HOST, b"Upgrade: h2c", b"Connection: upgrade"),
    "values without text": (_GET, _HOST, b"X-A:", b"X-B: \t "),
    "odd legal names and values": (_GET, b"Host: \tstones.example ", b"!#$%&'*+-.^_`|~: \xe4\xff"),
    "HEAD": (b"HEAD /reports/ HTTP/1.1", _HOST),
    "unknown method": (b"PURGE /reports/ HTTP/1.1", _HOST),
}
_BODIES = {
    "chunks, trailers and extensions": (
        b"Transfer-Encoding: Chunked\r\nTrailer: X-T\r\n\r\n" + _CHUNKED + b"X-T: u\r\n\r\n"
    ),
    "length sent twice": b"Content-Length: 8\r\nContent-Length: 8\r\n\r\n" + _BODY,
    "length listed twice": b"Content-Length: 8, 8\r\n\r\n" + _BODY,
    "expect": b"Expect: 100-continue\r\nContent-Length: 8\r\n\r\n" + _BODY,
}
_ID = b"Request-Id: a1\r\n"
_POST = b"POST /reports/ HTTP/1.1\r\n" + _HOST + b"\r\n"
_ALL = {name: b"\r\n".join((*lines, _ID, b"")) for name, lines in _HEADS.items()} | {
    name: _POST + _ID + rest for name, rest in _BODIES.items()
}


#: Matches the status of an answer that is not an interim one.
_FINAL = re.compile(rb"HTTP/1\.1 ([2-5]\d\d)")
_ANSWERS_SECONDS = 8.0


async def _statuses(parts, limits=None, later=None, count=1):
    """Return the statuses that a VM gives, and the requests that its target received."""
    stub = await ScriptedTarget(answer_bytes(200, b"")).start()
    forwarder, _ = new_forwarder([("t0", target(stub.address))])
    server_limits = limits or HttpLimits()
    server = HttpServer(forwarder.handle, forwarder.reject, server_limits)
    client, served = (curio.io.Socket(it) for it in socket.socketpair())
    for end in (client, served):
        end._socket.setblocking(False)
    serving = await curio.spawn(server.serve, served, ("192.0.2.1", 1))
    received = b""
    for part in parts:
        await client.sendall(part)
        await curio.sleep(0.02 if later else 0)
        server.set_limits(later or server_limits)
    async with curio.ignore_after(_ANSWERS_SECONDS):
        while len(_FINAL.findall(received)) < count and (data := await client.recv(65536)):
            received += data
    await client.close()
    await serving.cancel()
    return [int(it) for it in _FINAL.findall(received)], stub.requests


@pytest.mark.parametrize("name", _ALL)
def test_proper_request_reaches_a_target(name):
    """Guards against denying what HTTP/1.1 allows."""
    statuses, requests = run(_statuses, [_ALL[name]])
    assert statuses == [200], statuses
    assert len(requests) == 1
    assert requests[0].split(b" ")[1].startswith(b"/reports/")


def test_pipelined_proper_requests_reach_a_target_whole_and_byte_by_byte():
    data = b"".join(_ALL.values())
    for parts in ([data], [data[index : index + 1] for index in range(len(data))]):
        statuses, requests = run(_statuses, parts, None, None, len(_ALL))
        assert statuses == [200] * len(_ALL)
        assert len(requests) == len(_ALL)


def _head(size, header):
    """Return a head of a number of bytes, padded in the name of its last header."""
    start = b"\r\n".join((_GET, _HOST, _ID))
    count = (size - len(start) - 32) // len(header)
    rest = size - len(start) - count * len(header) - len(b": \r\n\r\n")
    return start + header * count + b"x" * rest + b": \r\n\r\n"


@pytest.mark.parametrize("header", [b"a:\r\n", b"x-a: some text\r\n"])
def test_head_of_the_largest_size_is_read_however_many_headers_it_has(header):
    """Guards against a limit of the number of headers, which no configuration names."""
    limits = configured_limits(HttpLimits(), TrafficLimits(4096, 4096, _SECOND, _SECOND))
    head = _head(4096, header)
    assert len(head) == 4096
    for parts in ([head], [head[:2000], head[2000:4095], head[4095:]]):
        assert run(_statuses, parts, limits)[0] == [200]
    over = _head(4096, header).replace(b"\r\n\r\n", b"x" * 4096 + b"\r\n\r\n")
    assert run(_statuses, [over], limits)[0] == [431]


def test_raised_limit_of_headers_holds_for_connections_that_are_open():
    """Guards against a parser that keeps the limit with which its connection was opened."""
    old, new = HttpLimits(header_bytes=1024), HttpLimits(header_bytes=32_768)
    first, second = _ALL["host with a port"], _head(32_768, b"x-a: " + b"b" * 1000 + b"\r\n")
    parts = [first, second[:20_000], second[20_000:]]
    assert run(_statuses, parts, old, new, 2)[0] == [200, 200]


@pytest.mark.parametrize("status", [413, 431])
def test_size_above_the_default_is_refused_as_not_run_before_the_configuration_is_known(status):
    """Guards against denying a request by limits that are not the configuration's."""
    forwarder, state = new_forwarder([])
    assert forwarder.reject(status, "too large").status == status
    state.object_applier.configuration = None
    answer = forwarder.reject(status, "too large")
    assert answer.status == 503
    assert float(answer.header(b"retry-after")) > 0


@pytest.mark.parametrize(("count", "statuses", "runs"), [(4000, [200], 1), (7200, [503], 0)])
def test_body_in_too_many_chunks_is_refused_as_not_run(count, statuses, runs):
    """Guards against denying a body inside the limits by a limit that no configuration names."""
    limits = configured_limits(HttpLimits(), TrafficLimits(4096, 8192, _SECOND * 9, _SECOND))
    chunked = b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    given, requests = run(_statuses, [_POST + _ID + chunked], limits)
    assert given == statuses
    assert len(requests) == runs
