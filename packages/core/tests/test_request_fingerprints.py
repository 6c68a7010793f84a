"""Equal requests have one fingerprint if the same organisation sends them, and not otherwise."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from carawayquay.forwarding import CallerRequest
from carawayquay.request_fingerprints import request_fingerprint


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
