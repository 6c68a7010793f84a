"""HTTP messages of the client and the server, and the limits of the server."""

from __future__ import annotations

import json
from typing import Any

import attrs

from carawayquay_wire.json_reader import read_json

__all__ = ["HttpLimits", "HttpRequest", "HttpResponse", "json_response"]

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class HttpLimits:
    """Limits that an HTTP server enforces on requests and connections.

    :param header_bytes: size of request line and headers together
    :param headers: number of headers
    :param body_bytes: size of the body
    :param header_seconds: timeout for receiving the headers
    :param body_seconds: timeout for receiving the body
    :param idle_seconds: idle timeout of a keep-alive connection
    :param write_seconds: timeout for sending a response
    :param connections: number of open connections
    :param min_read_bytes_per_s: rate at which a client has to read an answer, judged over several
        seconds, 0 for none
    :param send_buffer_bytes: size of the send buffer of a connection's socket, 0 for the kernel's
    :param many_chunks_status: status of the answer to a body in too many chunks for its size
    """

    header_bytes: int = 16 * 1024
    headers: int = 64
    body_bytes: int = 1024 * 1024
    header_seconds: float = 5.0
    body_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 15.0
    connections: int = 1000
    min_read_bytes_per_s: float = 0.0
    send_buffer_bytes: int = 0
    many_chunks_status: int = 400


@attrs.frozen
class HttpRequest:
    """A request with its complete body.

    :param target: path and query as sent
    :param headers: pairs of name and value, names in lower case
    :param peer: the caller's IP address
    :param waited_seconds: time from its first bytes until its turn to be handled
    """

    method: str
    target: str
    headers: Headers
    body: bytes | bytearray
    peer: str = ""
    waited_seconds: float = 0.0

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None

    def values(self, name: bytes) -> list[str]:
        """Return the values of all headers with a lower-case name."""
        return [value.decode("latin-1") for key, value in self.headers if key == name]


@attrs.frozen
class HttpResponse:
    """A response with its complete body."""

    status: int
    headers: Headers = ()
    body: bytes | bytearray = b""

    def header(self, name: bytes) -> str | None:
        """Return the value of the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None

    def values(self, name: bytes) -> list[str]:
        """Return the values of all headers with a name, given in lower case."""
        return [value.decode("latin-1") for key, value in self.headers if key.lower() == name]

    def json(self) -> Any:
        """Parse the body as JSON, with null for odd values; see :func:`read_json`.

        :raises ValueError: if the body as a whole is not JSON
        """
        return read_json(self.body)


def json_response(status: int, value: Any, headers: Headers = ()) -> HttpResponse:
    """Build a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, ((b"content-type", b"application/json"), *headers), body)
