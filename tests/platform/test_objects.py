"""Objects of the store are parsed into the product's types; invalid ones are refused."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.discovery import TargetState
from carawayquay.errors import ObjectError
from carawayquay.load_reports import VMIdentity
from carawayquay_platform.objects import (
    entry_vm_spec,
    parse_entry_vm,
    parse_object,
    parse_target,
)

REGIONS = {"puget-a": "puget"}
TARGET = {
    "service": "granite",
    "address": "10.1.0.9:8080",
    "zone": "puget-a",
    "version": "v1",
    "max_concurrency": 9,
    "state": "ready",
    "cold_left": "2500ms",
    "sequence": 4,
    "born": 1764835200123,
}


def _object(spec, **metadata):
    return parse_object({"metadata": {"name": "i-7", "revision": 12} | metadata, "spec": spec})


def test_target_is_read():
    target = parse_target(_object(TARGET), REGIONS)
    assert (target.name, target.service, target.region) == ("i-7", "granite", "puget")
    assert target.cold_for == timedelta(seconds=2.5)
    assert target.incarnation == 1764835200123
    assert target.state is TargetState.READY


def test_target_pending_deletion_is_draining():
    target = parse_target(_object(TARGET, pending_delete=True), REGIONS)
    assert target.state is TargetState.DRAINING


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "dancing"},
        {"state": 1},
        {"zone": "mars-a"},
        {"address": "10.1.0.9"},
        {"address": None},
        {"max_concurrency": "9"},
        {"max_concurrency": -1},
        {"cold_left": 2500},
        {"service": ""},
        {"sequence": True},
    ],
)
def test_target_with_an_invalid_field_is_refused(changes):
    with pytest.raises(ObjectError):
        parse_target(_object(TARGET | changes), REGIONS)


@pytest.mark.parametrize("spec", [None, "text", [], 7])
def test_target_spec_that_is_not_an_object_is_refused(spec):
    with pytest.raises(ObjectError):
        parse_target(_object(spec), REGIONS)


def test_entry_vm_identity_survives_a_round_trip():
    vm = VMIdentity("i-7", "10.0.0.1", "puget-a", "puget", 1764835200000)
    assert parse_entry_vm(_object(entry_vm_spec(vm))) == vm


@pytest.mark.parametrize("raw", [None, {}, {"metadata": {}}, {"metadata": {"name": "x"}}])
def test_object_with_missing_metadata_is_refused(raw):
    with pytest.raises(ObjectError):
        parse_object(raw)
