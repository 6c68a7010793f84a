"""Runs an HTTP server on one end of a socket pair, for tests that send raw bytes."""

from __future__ import annotations

import socket

import curio
import curio.io

from carawayquay_wire.http import HttpLimits, HttpRequest, HttpResponse, json_response
from carawayquay_wire.http_server import HttpServer

__all__ = ["LIMITS", "echo", "exchange_bytes", "reject"]

#: Low limits, so that each test ends quickly.
LIMITS = HttpLimits(
    header_bytes=2048,
    headers=16,
    body_bytes=4096,
    header_seconds=0.2,
    body_seconds=0.2,
    idle_seconds=0.2,
    write_seconds=0.3,
)
_EXCHANGE_TIMEOUT_SECONDS = 5.0


def echo(request: HttpRequest) -> HttpResponse:
    """Respond with the parsed method, target and body."""
    value = {
        "method": request.method,
        "target": request.target,
        "body": request.body.decode("latin-1"),
    }
    return json_response(200, value)


def reject(status: int, reason: str) -> HttpResponse:
    """Build the response to a request that violates HTTP or a limit."""
    return json_response(status, {"error": reason})


def exchange_bytes(data, *, handler=echo, limits=LIMITS, end=True, read=True):
    """Send bytes to a server and return all bytes that it sends until it closes.

    :param end: whether to shut down the sending side after the bytes
    :param read: whether to read the responses
    """

    async def go() -> bytes:
        client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
        for sock in (client_end, server_end):
            sock._socket.setblocking(False)
        server = HttpServer(handler, reject, limits)

        async def serve() -> None:
            async with server_end:
                await server.serve(server_end, ("192.0.2.1", 1))

        async def send() -> None:
            try:
                await client_end.sendall(data)
                if end:
                    await client_end.shutdown(socket.SHUT_WR)
            except OSError:
                pass

        received = b""
        async with curio.timeout_after(_EXCHANGE_TIMEOUT_SECONDS):
            serving = await curio.spawn(serve)
            sending = await curio.spawn(send)
            try:
                while read and (part := await client_end.recv(65536)):
                    received += part
            except OSError:
                pass
            await serving.join()
            await sending.cancel()
        await client_end.close()
        assert server.open_connections == 0
        return received

    return curio.run(go)
