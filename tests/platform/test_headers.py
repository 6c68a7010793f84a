"""Headers of callers and targets come back as what they mean, and only those meant to pass do."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.errors import ErrorKind
from carawayquay.forwarding import TargetLoad
from carawayquay_platform import headers
from carawayquay_wire.http import HttpRequest, HttpResponse


def _request(*pairs):
    return HttpRequest("GET", "/a/b?c=d", ((b"host", b"stones.example"), *pairs), b"")


def test_request_is_read():
    call = headers.read_request(
        _request((b"request-id", b"r1"), (b"affinity-key", b"17"), (b"deadline-ms", b"1200"))
    )
    assert (call.request_id, call.object_key, call.host) == ("r1", "17", "stones.example")
    assert call.time_left == timedelta(milliseconds=1200)
    assert call.path == "/a/b?c=d"


@pytest.mark.parametrize("text", [b"", b"soon", b"-4", b"1e99", b"nan"])
def test_deadline_that_is_no_time_counts_as_none(text):
    assert headers.read_request(_request((b"deadline-ms", text))).time_left is None


def test_headers_of_one_connection_and_those_set_here_are_not_passed_on():
    call = headers.read_request(
        _request(
            (b"connection", b"keep-alive, X-Private"),
            (b"x-private", b"1"),
            (b"expect-instance", b"forged"),
            (b"deadline-ms", b"5"),
            (b"x-other", b"2"),
        )
    )
    sent = headers.target_request(call, "i-7", timedelta(milliseconds=432.9))
    assert sent.values(b"expect-instance") == ["i-7"]
    assert sent.values(b"deadline-ms") == ["432"]
    assert sent.header(b"x-other") == "2"
    assert sent.header(b"x-private") is None
    assert sent.header(b"connection") is None


def test_answer_is_read():
    answer = headers.read_answer(
        HttpResponse(
            503,
            (
                (b"Server-Load", b"3,1,8"),
                (b"Not-Executed", b"1"),
                (b"Keep-Alive", b"timeout=5, max=9"),
            ),
        )
    )
    assert answer.load == TargetLoad(3, 1, 8)
    assert answer.not_run
    assert answer.keep_alive_timeout == timedelta(seconds=5)
    assert not answer.address_reused


@pytest.mark.parametrize("text", [b"", b"3,1", b"a,b,c", b"1,2,3,4"])
def test_load_that_is_no_load_counts_as_none(text):
    assert headers.read_answer(HttpResponse(200, ((b"server-load", text),))).load is None


def test_answer_belongs_to_the_request_whose_id_it_carries():
    sent = _request((b"request-id", b"r1"))
    for fresh in (True, False):
        mine, other = (HttpResponse(200, ((b"Request-Id", name),)) for name in (b"r1", b"r2"))
        assert headers.answer_belongs(sent, mine, fresh)
        assert not headers.answer_belongs(sent, other, fresh)


@pytest.mark.parametrize("status", [200, 421, 503])
def test_answer_without_an_id_is_believed_on_a_fresh_connection_only(status):
    sent = _request((b"request-id", b"r1"))
    assert headers.answer_belongs(sent, HttpResponse(status), True)
    assert not headers.answer_belongs(sent, HttpResponse(status), False)


def test_refusal_carries_no_stamp_of_a_target():
    answer = headers.refusal(ErrorKind.OVERLOADED, 503, "r1", 0.25)
    assert dict(answer.headers).keys() == {b"content-type", b"request-id", b"retry-after"}
    assert answer.header(b"retry-after") == "0.250"
