"""Tests that data recorded by an earlier build is read and written unchanged."""

from __future__ import annotations

import json

import attrs
import pytest
from recorded_values import (
    OBSERVATIONS,
    enum_values,
    filled,
    plain,
    recorded,
    reports_schema,
)

from carawayquay.deadlines import Deadlines
from carawayquay.forwarding import LimitAbsent
from carawayquay.load_reports import DomainSummary, LoadReport
from carawayquay.quotas import QuotaTolerance
from carawayquay_wire import codec, reports

MESSAGES = recorded("messages")["messages"]
REPORTS = recorded("reports_with_suspect_organisations")["reports"]
#: Earlier builds: their recorded reports, their schema, and what later builds added to a report.
EARLIER_BUILDS = (
    (
        "reports",
        "reports_before_limits",
        (
            "limits",
            "era",
            "version",
            "cut_off",
            "confirmed_ms",
            "capacity",
            "suspects",
            "suspect_organisations",
        ),
    ),
    (
        "reports_with_limits",
        "reports_before_eras",
        (
            "era",
            "version",
            "cut_off",
            "confirmed_ms",
            "capacity",
            "suspects",
            "suspect_organisations",
        ),
    ),
    (
        "reports_with_eras",
        "reports_before_cut_off",
        ("cut_off", "confirmed_ms", "capacity", "suspects", "suspect_organisations"),
    ),
    (
        "reports_with_cut_off",
        "reports_before_confirmed",
        ("confirmed_ms", "capacity", "suspects", "suspect_organisations"),
    ),
    (
        "reports_with_confirmed",
        "reports_before_capacity",
        ("capacity", "suspects", "suspect_organisations"),
    ),
    ("reports_with_capacity", "reports_before_suspects", ("suspects", "suspect_organisations")),
    (
        "reports_with_suspects",
        "reports_before_suspect_organisations",
        ("suspect_organisations",),
    ),
)
EARLIER_REPORTS = [
    pytest.param(item, schema, added, id=f"{schema}-{item['struct']}-{item['true_flag']}")
    for name, schema, added in EARLIER_BUILDS
    for item in recorded(name)["reports"]
]
#: What a report of an earlier build has in the fields that later builds added.
ABSENT = {
    "limits": None,
    "era": 0,
    "version": 0,
    "cut_off": False,
    "confirmed_ms": (),
    "capacity": 0,
    "suspects": (),
    "suspect_organisations": (),
}
REPORT_CODECS = {
    "LoadReport": (LoadReport, reports.encode_report, reports.decode_report),
    "DomainSummary": (DomainSummary, reports.encode_summary, reports.decode_summary),
}

#: Settings of the gateway that were added, with default and bounds, in the order of the attributes.
ADDED_SETTINGS = {
    "[limits] client_memory_share": ["0.2", 0.05, 0.5],
    "[limits] client_address_share": ["0.5", 0.05, 1],
    "[limits] min_read_bytes_per_s": ["8192", 0, 65536],
    "[limits] cpu_share": ["0", None, None],
    "[limits] cores": ["1", None, None],
    "[limits] link_mbps": ["0", None, None],
}
#: Added settings that the platform's settings file states.
STATED_SETTINGS = ("cpu_share", "cores", "link_mbps")

#: Recorded lists and tables to which a later build may add.
MAY_GROW = ("commands", "headers", "names", "refusals")
#: Recorded values to which a later build added what a test of its own names.
GREW = ("gateway_answers", "gateway_settings", "template_keys", "platform_objects")
UNCHANGED = [name for name in OBSERVATIONS if name not in (*MAY_GROW, *GREW)]


def _identify(item):
    return f"{item['struct']}-{item['true_flag']}"


@pytest.mark.parametrize("item", MESSAGES, ids=_identify)
def test_recorded_message_is_decoded_to_the_same_fields(item):
    message = codec.decode(item["code"], bytes.fromhex(item["bytes"]))
    assert plain(message) == item["fields"]
    assert message == filled(type(message), item["true_flag"])
    assert enum_values(type(message)) == item["enums"]


@pytest.mark.parametrize("item", MESSAGES, ids=_identify)
def test_message_is_encoded_to_the_recorded_code_and_bytes(item):
    kind = type(codec.decode(item["code"], bytes.fromhex(item["bytes"])))
    message = filled(kind, item["true_flag"])
    assert kind.__name__ == item["struct"]
    assert codec.message_code(message) == item["code"]
    assert codec.encode(message).hex() == item["bytes"]


@pytest.mark.parametrize("item", REPORTS, ids=_identify)
def test_recorded_report_is_decoded_and_encoded_to_the_same_bytes(item):
    kind, encode, decode = REPORT_CODECS[item["struct"]]
    value = filled(kind, item["true_flag"])
    assert plain(value) == item["fields"]
    assert decode(bytes.fromhex(item["bytes"])) == value
    assert encode(value).hex() == item["bytes"]


@pytest.mark.parametrize(("item", "_schema", "added"), EARLIER_REPORTS)
def test_report_of_an_earlier_build_is_decoded_to_the_recorded_fields(item, _schema, added):
    kind, _, decode = REPORT_CODECS[item["struct"]]
    report = decode(bytes.fromhex(item["bytes"]))
    names = {field.name for field in attrs.fields(kind)}
    absent = {name: ABSENT[name] for name in added if name in names}
    assert report == attrs.evolve(filled(kind, item["true_flag"]), **absent)
    assert plain(report) == [*item["fields"], *plain(list(absent.values()))]


@pytest.mark.parametrize(("item", "schema", "_added"), EARLIER_REPORTS)
def test_earlier_build_decodes_the_recorded_fields_of_a_report(item, schema, _added):
    kind, encode, _ = REPORT_CODECS[item["struct"]]
    written = encode(filled(kind, item["true_flag"]))
    before = reports_schema(schema)[item["struct"]]
    read = before.from_bytes_packed(written)
    expected = before.from_bytes_packed(bytes.fromhex(item["bytes"]))
    assert read.to_dict() == expected.to_dict()


def test_recorded_messages_differ_in_every_field_but_flags():
    for item in (*MESSAGES, *REPORTS):
        leaves = [leaf for leaf in _leaves(item["fields"]) if not isinstance(leaf, bool)]
        assert len(set(map(str, leaves))) == len(leaves), item["struct"]


@pytest.mark.parametrize("name", UNCHANGED)
def test_value_is_the_one_that_the_earlier_build_recorded(name):
    assert OBSERVATIONS[name]() == recorded(name)["value"]


def test_gateway_settings_are_the_recorded_ones_with_the_defaults_of_what_was_added():
    present = OBSERVATIONS["gateway_settings"]()
    for key, rule in reversed(ADDED_SETTINGS.items()):
        assert present["rules"].pop(key) == rule
        assert present["values"].pop(key) == present["settings"].pop() == float(rule[0])
    assert present["settings"].pop() == plain(QuotaTolerance())
    assert present["settings"].pop() == plain(Deadlines())
    assert present == recorded("gateway_settings")["value"]


def test_gateway_answers_are_the_recorded_ones_with_the_age_of_knowledge():
    present = OBSERVATIONS["gateway_answers"]()
    dump = json.loads(present["/dump"][2])
    assert set(dump.pop("knowledge")) == set(dump["revisions"])
    present["/dump"][2] = json.dumps(dump, separators=(",", ":"))
    assert present == recorded("gateway_answers")["value"]


def test_platform_objects_are_the_recorded_ones_with_routes_that_are_not_public():
    present = OBSERVATIONS["platform_objects"]()
    routes = present["configuration"][1]
    assert [route.pop() for route in routes] == [False] * len(routes)
    assert present == recorded("platform_objects")["value"]


def test_template_has_the_recorded_keys_and_what_was_added():
    present = OBSERVATIONS["template_keys"]()
    for key in STATED_SETTINGS:
        present.remove(key)
    assert present == [*recorded("template_keys")["value"], "[deadlines]"]


def test_headers_are_the_recorded_ones_without_a_limit_a_speed_an_api_key_or_an_organisation():
    present = OBSERVATIONS["headers"]()
    expected = recorded("headers")["value"]
    response = present.pop("response")
    load = next(value for value in response if isinstance(value, list) and value[:3] == [1, 2, 3])
    assert load.pop() is None
    signed, waited_seconds = False, 0.0
    assert response == [*expected.pop("response"), plain(LimitAbsent()), signed]
    assert present.pop("request") == [*expected.pop("request"), None, "", waited_seconds]
    assert present.pop("sent") == [*expected.pop("sent"), waited_seconds]
    assert present == expected


def test_refusal_has_the_recorded_status_outcome_and_advice_to_retry():
    present = OBSERVATIONS["refusals"]()
    expected = recorded("refusals")["value"]
    assert {kind: present.get(kind) for kind in expected} == expected


def test_command_takes_the_recorded_arguments():
    present = OBSERVATIONS["commands"]()
    expected = recorded("commands")["value"]
    assert {name: present.get(name) for name in expected} == expected


@pytest.mark.parametrize("kind", recorded("names")["value"])
def test_recorded_names_are_all_still_in_use_in_their_order(kind):
    expected = recorded("names")["value"][kind]
    assert [name for name in OBSERVATIONS["names"]()[kind] if name in expected] == expected


def _leaves(value):
    if not isinstance(value, list):
        return [value]
    return [leaf for item in value for leaf in _leaves(item)]
