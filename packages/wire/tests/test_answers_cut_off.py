"""An answer that ends anywhere before its end is never taken for a complete one."""

from __future__ import annotations

import curio
import pytest

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpConnection, HttpError

_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nRequest-Id: a1\r\n"
_ANSWERS = {
    "length": _HEAD + b"Content-Length: 5\r\n\r\nwhole",
    "no body": _HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": _HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
    "until close": _HEAD + b"\r\n",
    "after interim": b"HTTP/1.1 100 Continue\r\n\r\n" + _HEAD + b"Content-Length: 1\r\n\r\nw",
    "bare line feeds": (_HEAD + b"Content-Length: 1\r\n\r\nw").replace(b"\r\n", b"\n"),
}


class _CutSocket:
    """Socket that delivers bytes one by one or at once, and then ends or is reset."""

    def __init__(self, data, step, reset):
        self._data = data
        self._step = step
        self._reset = reset

    async def sendall(self, _):
        """Take the request."""

    async def recv(self, _):
        part, self._data = self._data[: self._step], self._data[self._step :]
        if not part and self._reset:
            raise ConnectionResetError("reset by peer")
        return part


async def _exchange(data, step, reset):
    connection = HttpConnection(_CutSocket(data, step, reset), Address("127.0.0.1", 80), 1024)
    return await connection.exchange(HttpRequest("GET", "/", (), b""))


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("step", [1, 4096])
@pytest.mark.parametrize("form", _ANSWERS)
def test_answer_that_ends_early_fails_at_every_byte(form, step, reset):
    answer = _ANSWERS[form]
    for length in range(len(answer)):
        with pytest.raises(HttpError):
            curio.run(_exchange, answer[:length], step, reset)


@pytest.mark.parametrize("form", [form for form in _ANSWERS if form != "until close"])
def test_whole_answer_is_complete(form):
    assert curio.run(_exchange, _ANSWERS[form], 1, True).status == 200


def test_answer_until_the_end_of_its_connection_is_complete_unless_it_is_reset():
    answer = _ANSWERS["until close"] + b"body"
    assert curio.run(_exchange, answer, 1, False).body == b"body"
    with pytest.raises(HttpError):
        curio.run(_exchange, answer, 1, True)
