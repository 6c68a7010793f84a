"""An odd header of a target or caller costs no request and ends no task."""

from __future__ import annotations

from datetime import timedelta

import pytest
from gateway_builders import (
    ScriptedTarget,
    answer_bytes,
    configuration,
    new_forwarder,
    request,
    run,
    target,
)
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_platform import headers
from carawayquay_wire.http import HttpResponse

_ODD_NUMBERS = (
    "9" * 15,
    "9" * 400,
    "9" * 5_000,
    "-5",
    "1e400",
    "nan",
    "inf",
    "-inf",
    "1_0",
    "0x10",
    "\xb2",
    "",
    " ",
    "1.5",
    "5s",
)
_TEXTS = st.text(st.characters(max_codepoint=255))

odd_numbers = pytest.mark.parametrize(
    "number", _ODD_NUMBERS, ids=lambda number: f"{number[:9]}-{len(number)}"
)


def _answers(name, value):
    """Return the statuses of two requests to a target that sends a header."""

    async def check():
        server = await ScriptedTarget(answer_bytes(**{name: value})).start()
        forwarder, state = new_forwarder(
            [("t0", target(server.address, max_concurrency=4))], configuration()
        )
        statuses = [(await forwarder.handle(request())).status for _ in range(2)]
        state.update(state.clock.now())
        return statuses

    return run(check)


@odd_numbers
@pytest.mark.parametrize(
    ("name", "form"),
    [
        ("keep_alive", "timeout={}"),
        ("server_load", "{},0,8"),
        ("server_load", "0,{},8"),
        ("server_load", "3,0,{}"),
        ("server_limit", "{}"),
        ("retry_after", "{}"),
        ("cold_ms", "{}"),
    ],
)
def test_odd_number_in_an_answer_costs_no_request(name, form, number):
    assert _answers(name, form.format(number)) == [200, 200]


@odd_numbers
def test_odd_deadline_of_a_caller_is_read_as_none(number):
    parsed = headers.parse_request(request(left_ms=number))
    assert parsed.time_left in (None, timedelta(milliseconds=1.5))


@given(_TEXTS, _TEXTS, _TEXTS)
def test_any_headers_of_an_answer_are_read(keep_alive, load, limit):
    pairs = zip(
        (b"keep-alive", b"server-load", b"server-limit"), (keep_alive, load, limit), strict=True
    )
    answer = headers.parse_response(
        HttpResponse(200, tuple((name, value.encode("latin-1")) for name, value in pairs))
    )
    if answer.load is not None:
        assert 0 <= answer.load.running + answer.load.waiting < 2**32


@given(st.lists(st.sampled_from(("timeout=", "max=", "=", ",", " ", "9", "0", "\xb2"))))
def test_any_keep_alive_is_read(parts):
    response = HttpResponse(200, ((b"keep-alive", "".join(parts).encode("latin-1")),))
    found = headers.parse_response(response).keep_alive_timeout
    assert found is None or timedelta() <= found <= timedelta(days=1)
