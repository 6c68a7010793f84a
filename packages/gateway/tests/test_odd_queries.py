"""Odd look-ups and admin queries are answered."""

from __future__ import annotations

import pytest
from gateway_builders import new_state
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_gateway.admin import AdminApi, ReadinessApi
from carawayquay_gateway.lookups import LookupApi
from carawayquay_wire.http import HttpRequest

_TARGETS = st.tuples(
    st.sampled_from(["/", "/resolve", "/objects/servers", "/dump", "//[", "http://[", "*", ""]),
    st.text(st.characters(max_codepoint=255))
    | st.lists(
        st.sampled_from(
            [
                "watch=",
                "era=",
                "zone=",
                "name=",
                "&",
                ";",
                "%",
                "%ff",
                "%ef%bc%91",
                "1" * 30,
                "[",
                "#",
            ]
        )
    ).map("".join),
).map("?".join)


@given(_TARGETS)
def test_any_query_is_answered(target):
    state = new_state()
    for api in (LookupApi(state), AdminApi(state), ReadinessApi(state)):
        assert api.handle(HttpRequest("GET", target, (), b"")).status in (200, 404, 410, 503)


@pytest.mark.parametrize("target", ["//[", "//[x]y/objects/servers", "http://[::1/objects/servers"])
def test_target_that_is_no_url_is_not_found(target):
    state = new_state()
    for api in (LookupApi(state), AdminApi(state), ReadinessApi(state)):
        assert api.handle(HttpRequest("GET", target, (), b"")).status == 404
