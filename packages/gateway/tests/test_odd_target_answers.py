"""A caller gets a complete answer on its kept connection, whatever a target answers."""

from __future__ import annotations

import socket
import struct

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import (
    ScriptedTarget,
    answer_bytes,
    configuration,
    new_forwarder,
    route,
    run,
    target,
)
from planned_work_targets import read_message

from carawayquay.membership import Address
from carawayquay_wire.http_server import HttpServer

_END = b"\r\n\r\n"


def _answer(status=b"200 OK", *lines, body=b"ok", length=True, version=b"HTTP/1.1"):
    head = [version + b" " + status, b"server-stamp: s1", b"request-id: a1", *lines]
    if length:
        head.append(b"content-length: %d" % len(body))
    return b"\r\n".join(head) + _END + body


_ODD_ANSWERS = {
    "status 199": _answer(b"199 X"),
    "status 101": _answer(b"101 X"),
    "status 000": _answer(b"000 X"),
    "status 999": _answer(b"999 X"),
    "no reason": _answer(b"200"),
    "reason with bytes above 127": _answer(b"200 \xe4\xff"),
    "status 204": _answer(b"204 X", body=b"", length=False),
    "status 204 with a length": _answer(b"204 X", body=b"", length=True),
    "status 204 with a body": _answer(b"204 X"),
    "status 304 with a length": _answer(b"304 X", b"content-length: 900", body=b"", length=False),
    "status 205 with a body": _answer(b"205 X"),
    "length twice": _answer(b"200 X", b"content-length: 2"),
    "length twice, different": _answer(b"200 X", b"content-length: 3"),
    "list of lengths": _answer(b"200 X", b"content-length: 2, 2", length=False),
    "length that is no number": _answer(b"200 X", b"content-length: two", length=False),
    "negative length": _answer(b"200 X", b"content-length: -2", length=False),
    "length of 5000 digits": _answer(b"200 X", b"content-length: " + b"1" * 5000, length=False),
    "length of 19 digits": _answer(b"200 X", b"content-length: " + b"1" * 19, length=False),
    "chunked": _answer(
        b"200 X", b"transfer-encoding: chunked", body=b"2\r\nok\r\n0\r\n\r\n", length=False
    ),
    "chunked with trailers": _answer(
        b"200 X",
        b"transfer-encoding: chunked",
        b"trailer: x-a",
        body=b"2\r\nok\r\n0\r\nx-a: b\r\nserver-stamp: s2\r\n\r\n",
        length=False,
    ),
    "chunked and a length": _answer(
        b"200 X", b"transfer-encoding: chunked", body=b"2\r\nok\r\n0\r\n\r\n"
    ),
    "odd chunk": _answer(b"200 X", b"transfer-encoding: chunked", body=b"zz\r\nok", length=False),
    "other encoding": _answer(b"200 X", b"transfer-encoding: gzip"),
    "identity encoding": _answer(b"200 X", b"transfer-encoding: identity"),
    "old version": _answer(version=b"HTTP/1.0"),
    "old version, kept": _answer(b"200 X", b"connection: keep-alive", version=b"HTTP/1.0"),
    "later version": _answer(version=b"HTTP/1.9"),
    "version 2": _answer(version=b"HTTP/2.0"),
    "no version": _answer(version=b"ICY"),
    "connection: close": _answer(b"200 X", b"connection: close"),
    "connection lists odd names": _answer(b"200 X", b"connection: , close,\t,server-stamp, \xff"),
    "upgrade": _answer(b"200 X", b"upgrade: h2c", b"connection: upgrade"),
    "folded header": _answer(b"200 X", b"x-a: b", b" c", b"\td"),
    "empty value": _answer(b"200 X", b"x-a:", b"x-b: \t "),
    "value with bytes above 127": _answer(b"200 X", b"x-a: \xe4\xff\x80"),
    "value with control bytes": _answer(b"200 X", b"x-a: a\x01\x7f\x0bb"),
    "value with a zero byte": _answer(b"200 X", b"x-a: a\x00b"),
    "value with a carriage return": _answer(b"200 X", b"x-a: a\rb"),
    "space before the colon": _answer(b"200 X", b"x-a : b"),
    "no name": _answer(b"200 X", b": b"),
    "no colon": _answer(b"200 X", b"x-a"),
    "name with odd bytes": _answer(b"200 X", b"x\xe4(a): b"),
    "line ends without a carriage return": _answer().replace(b"\r\n", b"\n"),
    "empty lines first": b"\r\n\r\n" + _answer(),
    "500 headers": _answer(b"200 X", *[b"x-%d: b" % index for index in range(500)]),
    "head of 15 KB": _answer(b"200 X", b"x-a: " + b"b" * 15000),
    "head of 70 KB": _answer(b"200 X", b"x-a: " + b"b" * 70000),
    "host header": _answer(b"200 X", b"host: a", b"host: b"),
    "expect header": _answer(b"200 X", b"expect: 100-continue"),
    "odd figures": _answer(
        b"200 X",
        b"server-load: 9999999999999999999999,-1,x",
        b"server-limit: " + b"9" * 400,
        b"keep-alive: timeout=" + b"9" * 30,
    ),
    "odd keep-alive": _answer(b"200 X", b"keep-alive: timeout=\xb2, timeout=, =,,"),
    "body of 300 KB": _answer(body=b"b" * 300_000),
    "bytes after the answer": _answer() + b"more bytes",
    "a second answer": _answer() + _answer(),
    "interim answers": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nlink: a\r\n\r\n" + _answer(),
    "no answer": b"these bytes are no answer\r\n\r\n",
    "answer of another request": answer_bytes(200, request_id="other"),
    "answer without an id": answer_bytes(200, request_id=None),
    "id twice": _answer(b"200 X", b"request-id: a2"),
}


async def _exchange_twice(address, method, kind="non_idempotent"):
    """Send two requests on a connection; return the status of each, None without an answer."""
    kept = configuration(route(kind=kind))
    forwarder, _ = new_forwarder([("t0", target(address))], kept)
    server = HttpServer(forwarder.handle, forwarder.reject)
    listening = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, listening, server.serve, daemon=True)
    statuses = []
    sock = await curio.open_connection(*listening.getsockname())
    async with sock:
        for _ in range(2):
            lines = [f"{method} /reports/7 HTTP/1.1", "host: stones.example", "request-id: a1"]
            head = "\r\n".join([*lines, "deadline-ms: 400", "content-length: 0", "", ""])
            await sock.sendall(head.encode())
            try:
                if method == "HEAD":
                    answer = await sock.recv(65536)
                else:
                    answer, _, rest = await read_message(sock)
                    assert rest == b""
            except EOFError:
                answer = b""
            statuses.append(int(answer[9:12]) if answer else None)
    return statuses


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("name", _ODD_ANSWERS)
def test_odd_answer_of_a_target_leaves_no_caller_without_an_answer(name, method):
    async def check():
        stub = await ScriptedTarget(_ODD_ANSWERS[name], answer_bytes()).start()
        return await _exchange_twice(stub.address, method)

    assert None not in run(check)


class _EndingTarget:
    """Target that ends each connection in a certain way when its second request is due."""

    def __init__(self, how):
        self._how = how
        self.address = None

    async def start(self):
        sock = tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", sock.getsockname()[1])
        await curio.spawn(run_server, sock, self._serve, daemon=True)
        return self

    async def _serve(self, sock, _):
        await read_message(sock)
        if self._how == "half-close before the answer":
            await sock.shutdown(socket.SHUT_WR)
            await sock.recv(1)
            return
        await sock.sendall(answer_bytes())
        if self._how == "half-close after an answer":
            await sock.shutdown(socket.SHUT_WR)
            await sock.recv(65536)
        elif self._how == "reset after an answer":
            await read_message(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif self._how == "close with the request read":
            await read_message(sock)
        elif self._how == "close within the answer":
            await read_message(sock)
            await sock.sendall(answer_bytes()[:-1])


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize(
    ("how", "statuses"),
    [
        ("half-close before the answer", [502, 502]),
        ("half-close after an answer", [200, 200]),
        ("close after an answer", [200, 200]),
        ("reset after an answer", [200, 502]),
        ("close with the request read", [200, 502]),
        ("close within the answer", [200, 502]),
    ],
)
def test_end_of_a_kept_connection_to_a_target_leaves_no_caller_without_an_answer(
    how, statuses, kind
):
    async def check():
        target_stub = await _EndingTarget(how).start()
        return await _exchange_twice(target_stub.address, "POST", kind)

    assert run(check) == statuses
