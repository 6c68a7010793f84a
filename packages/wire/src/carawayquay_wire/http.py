"""HTTP requests and answers as both adapters of h11 give them."""

from __future__ import annotations

import json
from typing import Any

import attrs

__all__ = ["HttpLimits", "HttpRequest", "HttpResponse", "json_response"]

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class HttpLimits:
    """What one HTTP message may cost its reader.

    :param header_bytes: request line and headers together
    :param headers: number of headers
    :param body_bytes: whole body
    :param header_seconds: time in which the headers must have come
    :param body_seconds: time in which the body must have come
    :param idle_seconds: time for which an unused connection stays open
    :param write_seconds: time in which the reader of an answer must have taken it
    :param connections: number of connections that are open at once
    """

    header_bytes: int = 16 * 1024
    headers: int = 64
    body_bytes: int = 1024 * 1024
    header_seconds: float = 5.0
    body_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 15.0
    connections: int = 1000


@attrs.frozen
class HttpRequest:
    """One whole request.

    :param target: path and query as sent
    :param headers: names in lower case
    :param peer: the caller's IP address
    """

    method: str
    target: str
    headers: Headers
    body: bytes | bytearray
    peer: str = ""

    def header(self, name: bytes) -> str | None:
        """Return the first header of a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None

    def values(self, name: bytes) -> list[str]:
        """Return all headers of a lower-case name."""
        return [value.decode("latin-1") for key, value in self.headers if key == name]


@attrs.frozen
class HttpResponse:
    """One whole answer."""

    status: int
    headers: Headers = ()
    body: bytes | bytearray = b""

    def header(self, name: bytes) -> str | None:
        """Return the first header of a lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None

    def json(self) -> Any:
        """Return the body read as JSON.

        :raises ValueError: if the body is not JSON
        """
        return json.loads(self.body)


def json_response(status: int, value: Any, headers: Headers = ()) -> HttpResponse:
    """Return an answer that carries a value as JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, ((b"content-type", b"application/json"), *headers), body)
