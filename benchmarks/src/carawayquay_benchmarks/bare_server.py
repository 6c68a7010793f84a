"""Minimal HTTP server on curio and h11 that answers every request with the same bytes."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any

import curio
import fire
import h11

__all__ = ["serve"]

_READ_BYTES = 65536


def serve(host: str, port: int, body: str) -> None:
    """Serve the same response body until the process is killed.

    :param host: IP address to listen on
    :param port: port to listen on
    :param body: path of the file with the response body
    """
    content = Path(body).read_bytes()
    headers = [
        (b"content-type", b"application/json"),
        (b"cache-control", b"private, max-age=5"),
        (b"content-length", b"%d" % len(content)),
    ]

    async def answer(sock: Any, _: Any) -> None:
        with suppress(ConnectionResetError):
            await serve_one(sock)

    async def serve_one(sock: Any) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await sock.recv(_READ_BYTES))
            elif isinstance(event, h11.EndOfMessage):
                data = connection.send(h11.Response(status_code=200, headers=headers))
                data += connection.send(h11.Data(data=content))
                data += connection.send(h11.EndOfMessage())
                await sock.sendall(data)
                connection.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    curio.run(curio.tcp_server, host, port, answer)


if __name__ == "__main__":
    fire.Fire(serve)
