"""Tests of the reader of JSON from other writers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_wire.json_reader import MAX_DEPTH, read_json

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def _page(entry: bytes) -> bytes:
    """Return a page of three entries around an odd one."""
    items = b",".join(
        (
            b'{"metadata":{"name":"a"},"spec":{"s":"]}\\"["}}',
            b'{"metadata":{"name":"odd"},"spec":%s}' % entry,
            b'{"metadata":{"name":"c"},"spec":{"n":1}}',
        )
    )
    return b'{"items":[%s],"has_more":true,"current_rev":7}' % items


@pytest.mark.parametrize(
    "entry",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
        b'{"a":[' * 1_500 + b'"]"' + b"]}" * 1_500,
        b"9" * 5_000,
        b'{"n":-' + b"9" * 5_000 + b"}",
        b'{"s":"\xff\xfe\x80"}',
        b'{"s":"\xed\xa0\x80"}',
        b'{"s":"\\ud800"}',
        b'{"s":"a\nb\x00c"}',
        b'{"n":NaN,"m":-Infinity,"k":1e999}',
        b'{"a":1,"a":2}',
        b'{"n":01}',
        b"{'n':1}",
        b'{"n":}',
        b"[1,,2]",
    ],
    ids=lambda entry: entry[:12].decode(errors="replace"),
)
def test_one_odd_entry_costs_only_itself(entry):
    page = read_json(_page(entry))
    assert page["has_more"] is True
    assert page["current_rev"] == 7
    first, odd, last = page["items"]
    assert first == {"metadata": {"name": "a"}, "spec": {"s": ']}"['}}
    assert odd["metadata"] == {"name": "odd"}
    assert last == {"metadata": {"name": "c"}, "spec": {"n": 1}}


@pytest.mark.parametrize("entry", [b"01", b"nul", b"'x'"])
def test_malformed_scalar_costs_only_its_entry(entry):
    first, odd, last = read_json(_page(entry))["items"]
    assert odd is None
    assert (first["metadata"]["name"], last["metadata"]["name"]) == ("a", "c")


def test_values_at_the_greatest_depth_are_read_and_deeper_ones_are_null():
    text = "[" * MAX_DEPTH + "]" * MAX_DEPTH
    assert read_json(text.encode()) == json.loads(text)
    for depth in (MAX_DEPTH + 1, MAX_DEPTH + 2, 500, 50_000):
        text = "[" * (MAX_DEPTH - 1) + "[null]" + "]" * (MAX_DEPTH - 1)
        assert read_json(b"[" * depth + b"]" * depth) == json.loads(text)


@pytest.mark.parametrize("text", [b"", b"{", b"]", b"[" * 100_000, b'"', b"}{", b'{"a":"' * 9_000])
def test_text_that_is_no_json_is_refused(text):
    with pytest.raises(ValueError, match=r"."):
        read_json(text)


@given(_JSON)
def test_valid_json_is_read_unchanged(value):
    assert read_json(json.dumps(value).encode()) == value


@given(st.binary())
def test_any_bytes_are_read_or_refused(data):
    for text in (data, _page(data)):
        try:
            read_json(text)
        except ValueError:
            continue
