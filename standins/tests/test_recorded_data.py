"""What an earlier build wrote is read by this one, and written again byte for byte."""

from __future__ import annotations

import pytest
from recorded_values import filled, plain, recorded

from carawayquay.errors import FrameError
from carawayquay.load_reports import DomainSummary, LoadReport
from carawayquay_wire import codec, reports

MESSAGES = recorded("messages")["messages"]
REPORTS = recorded("reports")["reports"]
REPORT_CODECS = {
    "LoadReport": (LoadReport, reports.encode_report, reports.decode_report),
    "DomainSummary": (DomainSummary, reports.encode_summary, reports.decode_summary),
}


def _identify(item):
    return f"{item['struct']}-{item['true_flag']}"


@pytest.mark.parametrize("item", MESSAGES, ids=_identify)
def test_recorded_message_is_decoded_to_the_same_fields(item):
    message = codec.decode(item["code"], bytes.fromhex(item["bytes"]))
    assert plain(message) == item["fields"]
    assert message == filled(type(message), item["true_flag"])


@pytest.mark.parametrize("item", MESSAGES, ids=_identify)
def test_message_is_encoded_to_the_recorded_code_and_bytes(item):
    kind = type(codec.decode(item["code"], bytes.fromhex(item["bytes"])))
    message = filled(kind, item["true_flag"])
    assert kind.__name__ == item["struct"]
    assert codec.message_code(message) == item["code"]
    assert codec.encode(message).hex() == item["bytes"]


def test_message_codes_are_those_recorded():
    known = set()
    for code in range(256):
        try:
            codec.decode(code, b"")
        except FrameError as error:
            if "unknown" not in str(error):
                known.add(code)
        else:
            known.add(code)
    assert known == {item["code"] for item in MESSAGES}


@pytest.mark.parametrize("item", REPORTS, ids=_identify)
def test_recorded_report_is_decoded_and_encoded_to_the_same_bytes(item):
    kind, encode, decode = REPORT_CODECS[item["struct"]]
    value = filled(kind, item["true_flag"])
    assert plain(value) == item["fields"]
    assert decode(bytes.fromhex(item["bytes"])) == value
    assert encode(value).hex() == item["bytes"]


def test_filled_values_differ_in_every_field_but_flags():
    for item in (*MESSAGES, *REPORTS):
        leaves = [leaf for leaf in _leaves(item["fields"]) if not isinstance(leaf, bool)]
        assert len(set(map(str, leaves))) == len(leaves), item["struct"]


def _leaves(value):
    if not isinstance(value, list):
        return [value]
    return [leaf for item in value for leaf in _leaves(item)]
