"""Equal requests have one fingerprint if the same organisation sends them, and not otherwise."""

from __future__ import annotations

from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import given

from carawayquay.forwarding import CallerRequest
from carawayquay.quarantine import CrashStatus, QuarantineTable
from carawayquay.request_fingerprints import (
    booking_fingerprint,
    request_fingerprint,
    suspect_fingerprint,
)
from carawayquay.requests import Forward, Header


def _call(**changes):
    values = {
        "request_id": "r1",
        "host": "h",
        "method": "GET",
        "path": "/a/",
        "object_key": "k",
        "time_left": None,
        "headers": (),
        "body": b"",
    }
    return CallerRequest(**(values | changes))


def test_equal_requests_share_a_fingerprint_whatever_their_ids():
    assert request_fingerprint(_call()) == request_fingerprint(_call(request_id="r2"))
    assert request_fingerprint(_call()) != request_fingerprint(_call(body=b"x"))
    assert request_fingerprint(_call(path="/a/b")) != request_fingerprint(_call(host="hb"))


# Guards against a request that is taken for that of another organisation.
@given(st.lists(st.text(min_size=1), unique=True, min_size=2, max_size=5))
def test_equal_requests_of_two_organisations_differ(names):
    names = [name for name in names if name.isascii()] + [""]
    prints = {request_fingerprint(_call(organisation=name)) for name in names}
    assert len(prints) == len(names)


def test_equal_requests_of_one_organisation_share_a_fingerprint_whatever_its_key():
    north = _call(organisation="north")
    again = _call(organisation="north", request_id="r2", api_key="another key")
    assert request_fingerprint(north) == request_fingerprint(again)


def test_long_names_that_begin_alike_differ():
    first, second = (_call(organisation="north" * 200 + end) for end in "ab")
    assert request_fingerprint(first) != request_fingerprint(second)


# Guards against VMs of two versions that count the crashes of one request apart.
def test_fingerprint_without_an_organisation_is_the_one_of_the_version_before():
    assert request_fingerprint(_call()) == 0x9033B8AEE5193B
    assert request_fingerprint(_call(body=b"x", path="/b")) == 0xC68AF57E10E4EA90


def _forward(*headers, **changes):
    values = {"service": "sledway", "method": "POST", "path": "/pickups", "body": b"8", **changes}
    return Forward(headers=[Header(*pair) for pair in headers], deadline_ms=100, **values)


@pytest.mark.parametrize("fingerprint", [booking_fingerprint, suspect_fingerprint])
def test_fingerprint_depends_on_service_method_path_and_body_only(fingerprint):
    changes = ({}, {"service": "s"}, {"method": "PUT"}, {"path": "/p"}, {"body": b"9"})
    assert len({fingerprint(_forward(**change)) for change in changes}) == len(changes)
    assert fingerprint(_forward(key="a")) == fingerprint(_forward(key="b"))
    split = (_forward(service="ab", method="C"), _forward(service="a", method="bC"))
    assert fingerprint(split[0]) != fingerprint(split[1])


# Guards against a request that is never refused, since another caller's equal one completes.
@pytest.mark.parametrize("scheme", [b"Bearer", b"basic"])
def test_suspects_of_callers_with_other_credentials_differ(scheme):
    callers = [_forward((b"authorization", scheme + b" " + name)) for name in (b"a", b"b")]
    prints = {suspect_fingerprint(it) for it in (*callers, _forward())}
    assert len(prints) == 3


# Guards against a request that is never refused, since another caller's equal one completes.
def test_completion_of_another_callers_equal_request_clears_no_suspect():
    crashing, sound = (
        suspect_fingerprint(_forward((b"authorization", b"Bearer " + name)))
        for name in (b"a", b"b")
    )
    table, now = QuarantineTable(), timedelta()
    table.record_crash("t-1", [], [crashing], now)
    assert table.record_completion(sound) is None
    table.record_crash("t-2", [crashing], [], now)
    assert table.status_of(crashing, now) is CrashStatus.QUARANTINED
    assert table.status_of(sound, now) is CrashStatus.CLEAR


@pytest.mark.parametrize("name", [b"authorization", b"accept"])
def test_header_that_differs_from_request_to_request_is_not_in_the_fingerprint(name):
    sent = [_forward((name, b"Digest nonce=%d" % number)) for number in (1, 2)]
    assert len({suspect_fingerprint(it) for it in (*sent, _forward())}) == 1


def test_booking_that_is_sent_again_with_other_credentials_is_the_same_booking():
    sent = [_forward((b"authorization", b"Bearer " + token)) for token in (b"a", b"b")]
    assert len({booking_fingerprint(it) for it in sent}) == 1
