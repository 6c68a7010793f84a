"""Checks what is forwarded of a caller's request, and the response to each refusal."""

from __future__ import annotations

import curio
import pytest
from caller_builders import FakeSteering, caller_api, get, node_state, post

from carawayquay.errors import ANSWERS, ErrorKind, RequestError
from carawayquay.requests import Forwarded, Header
from carawayquayd.callers import refusal_response

KEY = (b"idempotency-key", b"pickup-1")


def send_request(request, steering=None, state=None):
    steering = steering or FakeSteering()
    answer = curio.run(_await, caller_api(state, steering).handle(request))
    return answer, steering.forwards


async def _await(answer):
    return await answer


def error_kind(answer):
    return answer.header(b"carawayquay-error")


def test_request_is_forwarded_with_key_attempt_and_deadline():
    request = post(
        "/services/sledway/pickups?week=2", KEY, (b"attempt", b"2"), (b"deadline-ms", b"500")
    )
    _, [forward] = send_request(request)
    assert (forward.path, forward.key, forward.attempt) == ("/pickups?week=2", "pickup-1", 2)
    assert (forward.deadline_ms, forward.body, forward.home) == (500, b"x", "puget")


def test_deadline_is_at_most_the_timeout_of_the_document():
    _, [forward] = send_request(get("/services/sledway/stones", (b"deadline-ms", b"999999999")))
    assert forward.deadline_ms == 2000


def test_hop_by_hop_request_headers_are_not_forwarded():
    headers = [
        (b"connection", b"close, X-Private"),
        (b"x-private", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"start-by-ms", b"9"),
        (b"target-boot", b"z"),
        (b"accept", b"text/html"),
    ]
    _, [forward] = send_request(get("/services/sledway/stones", *headers))
    assert forward.headers == [Header(b"accept", b"text/html")]


def test_hop_by_hop_response_headers_are_not_returned():
    headers = [
        Header(b"Connection", b"x-hop"),
        Header(b"X-Hop", b"1"),
        Header(b"Content-Length", b"2"),
        Header(b"ETag", b"7"),
    ]
    steering = FakeSteering(Forwarded(200, headers, b"ok"))
    answer, _ = send_request(get("/services/sledway/stones"), steering)
    assert answer.headers == ((b"etag", b"7"),)


# Guards against a booking that a target ran and that its answer declares as not run.
@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("name", [b"Carawayquay-Outcome", b"carawayquay-outcome"])
def test_target_does_not_tell_callers_an_outcome(status, name):
    headers = [Header(name, b"not-run"), Header(b"Carawayquay-Error", b"overloaded")]
    steering = FakeSteering(Forwarded(status, [*headers, Header(b"ETag", b"7")], b"ok"))
    answer, _ = send_request(get("/services/sledway/stones"), steering)
    assert (answer.status, answer.headers) == (status, ((b"etag", b"7"),))


@pytest.mark.parametrize(
    ("request_", "kind"),
    [
        (post("/services/sledway/pickups"), ErrorKind.KEY_REQUIRED),
        (post("/services/sledway/p", (b"idempotency-key", b"")), ErrorKind.KEY_INVALID),
        (post("/services/sledway/p", (b"idempotency-key", b"a b")), ErrorKind.KEY_INVALID),
        (post("/services/sledway/p", (b"idempotency-key", b"\xe9")), ErrorKind.KEY_INVALID),
        (post("/services/sledway/p", (b"idempotency-key", b"k" * 129)), ErrorKind.KEY_INVALID),
        (post("/services/sledway/p", KEY, KEY), ErrorKind.MALFORMED),
        (post("/services/sledway/p", KEY, (b"attempt", b"one")), ErrorKind.MALFORMED),
        (post("/services/sledway/p", KEY, (b"attempt", b"-1")), ErrorKind.MALFORMED),
        (get("/services/sledway/p", (b"deadline-ms", b"\xb2")), ErrorKind.MALFORMED),
        (get("/services/sledway/p", (b"deadline-ms", b"1" * 10)), ErrorKind.MALFORMED),
        (get("/services/sledway/p", method="TRACE"), ErrorKind.METHOD_NOT_ALLOWED),
        (get("/services/nothing/p"), ErrorKind.UNKNOWN_SERVICE),
    ],
)
def test_bad_request_is_refused_and_not_forwarded(request_, kind):
    answer, forwards = send_request(request_)
    assert (error_kind(answer), forwards) == (kind.value, [])


@pytest.mark.parametrize(
    "request_",
    [get("/"), get("/lookup"), get("/services/sledway"), get("*"), get("http://x/lookup/sledway")],
)
def test_unknown_path_is_refused(request_):
    assert error_kind(caller_api().handle(request_)) == "unknown-path"


def test_look_up_with_another_method_is_refused():
    assert error_kind(caller_api().handle(post("/lookup/sledway"))) == "method-not-allowed"


@pytest.mark.parametrize("kind", ErrorKind)
def test_each_refusal_kind_gets_the_answer_of_the_table(kind):
    answer = refusal_response(RequestError(kind, "detail"))
    expected = ANSWERS[kind]
    assert answer.status == expected.status
    assert answer.header(b"carawayquay-outcome") == expected.outcome.value
    assert (answer.header(b"retry-after") is not None) == expected.retryable


def test_internal_error_is_answered_as_outcome_unknown_and_counted():
    state = node_state()
    answer, _ = send_request(get("/services/sledway/p"), FakeSteering(ZeroDivisionError()), state)
    assert (answer.status, answer.header(b"carawayquay-outcome")) == (500, "outcome-unknown")
    assert state.metrics.dump()["counters"] == {'refusals_total{kind="internal"}': 1}
