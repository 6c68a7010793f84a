"""Encodes the responses of an HTTP server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from carawayquay_wire.http import HttpResponse

__all__ = ["encode_head", "encode_response"]

_BODILESS_STATUSES = frozenset({204, 304})


def encode_response(
    connection: h11.Connection, response: HttpResponse, method: str, close: bool
) -> bytes:
    """Encode a response to a request.

    :param method: the request's method, empty if unknown
    :param close: whether the connection closes after the response
    """
    data = encode_head(connection, response, method, close)
    if response.body and method != "HEAD" and response.status not in _BODILESS_STATUSES:
        data += connection.send(h11.Data(data=response.body))
    return data + connection.send(h11.EndOfMessage())


def encode_head(
    connection: h11.Connection, response: HttpResponse, method: str, close: bool
) -> bytes:
    """Encode the head of a response.

    :param method: the request's method, empty if unknown
    :param close: whether the connection closes after the response
    """
    headers = list(response.headers)
    has_content_length = method == "HEAD" and response.header(b"content-length") is not None
    if response.status not in _BODILESS_STATUSES and not has_content_length:
        headers.append((b"content-length", b"%d" % len(response.body)))
    if close:
        headers.append((b"connection", b"close"))
    return connection.send(h11.Response(status_code=response.status, headers=headers))
