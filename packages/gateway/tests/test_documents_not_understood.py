"""An invalid part of a platform document leaves the other parts in force."""

from __future__ import annotations

import copy
from datetime import timedelta

import pytest
from document_mutations import mutated, mutations
from gateway_builders import (
    configuration,
    identity,
    listing,
    new_forwarder,
    new_selection,
    new_state,
    request,
    route,
    run,
    stored,
    target,
)
from hypothesis import given

from carawayquay.errors import ObjectError
from carawayquay.load_reports import VMIdentity
from carawayquay.placement import Placement
from carawayquay.routes import Route
from carawayquay_gateway.state_dump import dump_state
from carawayquay_platform.objects import (
    ObjectKind,
    entry_vm_spec,
    parse_entry_vm,
    parse_objects,
)

HOST = "stones.example"
OTHER_HOST = "pebbles.example"
ROUTES = [
    (HOST, route(name="r-0", path_prefix="/a/")),
    (HOST, route(name="r-1", path_prefix="/a/b/", service="sledway", kind="non_idempotent")),
    (
        OTHER_HOST,
        route(
            name="r-2",
            path_prefix="/c/",
            service=None,
            weighted_backends=[
                {"service": "granite", "weight": 90},
                {"service": "sledway", "weight": 10},
            ],
        ),
    ),
    (OTHER_HOST, route(name="r-3", path_prefix="/d/", allowed_regions=["puget"])),
]
TARGETS = [
    ("t0", target("127.0.0.1:1")),
    ("t1", target("127.0.0.1:2", service="sledway")),
    ("t2", target("127.0.0.1:3", zone="inland-a")),
]


def _document(version):
    value = configuration(version=version)
    value["virtual_hosts"] = [
        {"host": host, "paths": [path for of_host, path in ROUTES if of_host == host]}
        for host in (HOST, OTHER_HOST)
    ]
    return copy.deepcopy(value)


def _state(configured):
    return new_state(configured=configured, targets=TARGETS)


def _put(state, kind, name, value, revision):
    """Apply a listing with a new revision of one object."""
    known = [item for item in state.replicas[kind].objects if item.name != name]
    raw = {"metadata": {"name": name, "revision": revision}, "spec": value}
    state.replicas[kind].apply_listing(listing(revision, *known, *parse_objects([raw])))


def _serves(state, index):
    host, path = ROUTES[index]
    found = state.configuration.find(host, path["path_prefix"] + "7")
    if not isinstance(found, Route) or found.name != path["name"]:
        return False
    chosen = new_selection(state).select(found, found.services[0].service, "k", 0.0, 1.0)
    return isinstance(chosen, Placement)


def _routes_affected_by(path):
    """Return the indices of the routes that a mutation at a path may affect."""
    everything = set(range(len(ROUTES)))
    match path:
        case ("virtual_hosts", int() as host, "paths", int() as at, *_):
            return {2 * host + at}
        case ("virtual_hosts", int() as host, *_):
            return {2 * host, 2 * host + 1}
        case ("virtual_hosts",):
            return everything
    return set()


@given(mutation=mutations(_document(2)))
def test_routes_without_a_mutation_stay_in_service(mutation):
    state = _state(_document(1))
    _put(state, ObjectKind.CONFIGURATION, "main", mutated(_document(2), mutation), 30)
    for index in set(range(len(ROUTES))) - _routes_affected_by(mutation[0]):
        assert _serves(state, index)
    _put(state, ObjectKind.CONFIGURATION, "main", _document(10**13), 40)
    assert all(_serves(state, index) for index in range(len(ROUTES)))


@given(mutation=mutations(_document(2)))
def test_vm_that_starts_with_a_partly_invalid_configuration_serves_the_rest(mutation):
    state = _state(mutated(_document(2), mutation))
    for index in set(range(len(ROUTES))) - _routes_affected_by(mutation[0]):
        assert _serves(state, index)


@given(mutation=mutations(TARGETS[0][1]))
def test_targets_without_a_mutation_stay(mutation):
    state = _state(_document(1))
    _put(state, ObjectKind.TARGETS, "t0", mutated(TARGETS[0][1], mutation), 30)
    assert [state.targets.get(name) is not None for name in ("t1", "t2")] == [True, True]
    assert _serves(state, 1)
    _put(state, ObjectKind.TARGETS, "t0", target("127.0.0.1:1", sequence=10**15), 40)
    assert _serves(state, 0)


@given(mutation=mutations({"metadata": {"name": "t9", "revision": 30}, "spec": TARGETS[0][1]}))
def test_object_with_unreadable_metadata_does_not_affect_others(mutation):
    raw = {"metadata": {"name": "t9", "revision": 30}, "spec": TARGETS[0][1]}
    others = [{"metadata": {"name": "t8", "revision": 30}, "spec": TARGETS[1][1]}]
    objects = parse_objects([mutated(raw, mutation), *others])
    assert "t8" in {item.name for item in objects}


@given(mutation=mutations(entry_vm_spec(identity("puget-a-2"))))
def test_entry_of_a_vm_is_read_or_refused(mutation):
    try:
        read = parse_entry_vm(stored("vm", mutated(entry_vm_spec(identity()), mutation)))
    except ObjectError:
        return
    assert isinstance(read, VMIdentity)


def test_remarks_are_counted_once_per_version_and_shown():
    document = _document(2)
    document["virtual_hosts"][0]["paths"][0]["kind"] = "sometimes"
    document["virtual_hosts"][0]["paths"][1]["timeout"] = "soon"
    document["colour"] = "red"
    state = _state(_document(1))
    for revision in (30, 31):
        _put(state, ObjectKind.CONFIGURATION, "main", document, revision)
    counters = state.metrics.dump()["counters"]
    for effect in ("assumed", "refused", "passed-over"):
        assert counters[f'configuration_remarks_total{{effect="{effect}"}}'] == 1
    assert len(dump_state(state)["remarks"]) == 3


def test_refused_target_is_counted_and_shown_until_it_can_be_read():
    state = _state(_document(1))
    for revision in (30, 31):
        _put(state, ObjectKind.TARGETS, "t0", target("nowhere"), revision)
    assert state.metrics.dump()["counters"]['objects_refused_total{kind="target"}'] == 1
    assert list(dump_state(state)["refused_objects"]) == ["t0"]
    _put(state, ObjectKind.TARGETS, "t0", target("127.0.0.1:1", sequence=5), 32)
    assert dump_state(state)["refused_objects"] == {}


@pytest.mark.parametrize(("path", "status"), [("/a/x", 503), ("/a/b/x", 503), ("/elsewhere/", 404)])
def test_request_for_a_route_that_cannot_be_read_is_refused_as_not_run(path, status):
    broken = configuration(route(path_prefix="/a/", timeout="soon"))
    forwarder, _ = new_forwarder([], configured=broken)
    answer = run(forwarder.handle, request(path=path))
    assert answer.status == status
    assert (answer.header(b"retry-after") is not None) == (status == 503)


def test_target_with_an_earlier_start_time_does_not_replace_the_known_one():
    state = _state(_document(1))
    _put(state, ObjectKind.TARGETS, "t0", target("127.0.0.1:9", born=500), 30)
    assert state.targets.get("t0").address.port == 1
    state.update(timedelta(seconds=1))
    assert _serves(state, 0)
