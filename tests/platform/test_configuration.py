"""An invalid part of the configuration does not affect the others, and is reported in a remark."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.configuration_drafts import DEFAULT_LIMITS, build_configuration
from carawayquay.errors import ObjectError
from carawayquay.remarks import RemarkEffect
from carawayquay.routes import RouteKind, UnreadRoutes, WeightedService
from carawayquay_platform.configuration import parse_configuration

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15s",
}


def _route_json(**changes):
    value = {
        "name": "r-1",
        "path_prefix": "/a/",
        "kind": "idempotent",
        "timeout": "1200ms",
        "target_latency": "200ms",
        "service": "granite",
        "max_attempts": 2,
    }
    return value | changes


def _draft(*paths, **changes):
    value = {
        "version": "r7",
        "services": [{"name": "granite", "max_conns": 720, "cold_start": "3s", "cold_per_s": 20.0}],
        "limits": LIMITS,
        "virtual_hosts": [{"host": "Stones.example", "paths": list(paths) or [_route_json()]}],
    }
    return parse_configuration(value | changes)


def _configuration(*paths, before=None, **changes):
    return build_configuration(_draft(*paths, **changes), before)


def _effects(draft):
    return [remark.effect for remark, _ in draft.remarks]


def test_routes_services_and_limits_are_read():
    configuration = _configuration(_route_json(kind="non_idempotent", allowed_regions=["puget"]))
    (route,) = configuration.routes
    assert configuration.version == 7
    assert route.kind is RouteKind.NON_IDEMPOTENT
    assert route.timeout == timedelta(milliseconds=1200)
    assert route.allowed_regions == {"puget"}
    assert configuration.service("granite").cold_rate == 20.0
    assert configuration.limits.idle_timeout == timedelta(seconds=15)


def test_weights_are_read():
    weighted_services = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    configuration = _configuration(_route_json(service=None, weighted_backends=weighted_services))
    assert configuration.routes[0].services == (WeightedService("a", 90), WeightedService("b", 10))


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("stones.example", "/a/x", "r-1"),
        ("STONES.example:80", "/a/", "r-1"),
        ("stones.example", "/a/b/c?x=/z/", "r-2"),
        ("stones.example", "/a/bc", "r-1"),
        ("stones.example", "/a?x=/a/", None),
        ("stones.example", "/", None),
        ("other.example", "/a/", None),
    ],
)
def test_longest_matching_path_prefix_wins(host, path, found):
    configuration = _configuration(_route_json(), _route_json(name="r-2", path_prefix="/a/b/"))
    route = configuration.find(host, path)
    assert (route.name if route else None) == found


def test_configuration_without_unknown_fields_has_no_remarks():
    draft = _draft(_route_json(priority=1, sticky=True), base_version="r5")
    assert draft.remarks == ()


@pytest.mark.parametrize("value", [None, [], "r7", 7])
def test_configuration_that_is_not_an_object_is_refused(value):
    with pytest.raises(ObjectError):
        parse_configuration(value)


@pytest.mark.parametrize(
    "broken",
    [
        {"timeout": 1200},
        {"timeout": "0ms"},
        {"timeout": "9" * 400 + "s"},
        {"target_latency": "soon"},
        {"path_prefix": "b"},
        {"service": None, "weighted_backends": []},
        {"service": None, "weighted_backends": [{"service": "a", "weight": float("nan")}]},
        {"service": None, "weighted_backends": [{"service": "a", "weight": 0}]},
        {"service": 7},
        {"max_attempts": True},
        {"priority": -1},
        {"sticky": "yes"},
        {"allowed_regions": "puget"},
        {"allowed_regions": [7]},
        {"name": None},
    ],
)
def test_unreadable_route_does_not_affect_other_routes(broken):
    draft = _draft(_route_json(), _route_json(name="r-2", path_prefix="/b/") | broken)
    assert [route.name for route in draft.routes] == ["r-1"]
    assert _effects(draft) == [RemarkEffect.REFUSED]
    before = _configuration(_route_json(), _route_json(name="r-2", path_prefix="/b/", priority=3))
    after = build_configuration(draft, before)
    assert after.find("stones.example", "/a/x").name == "r-1"
    if broken.keys() & {"path_prefix", "name"}:
        assert "path_prefix" not in broken or after.find("stones.example", "/b/x").priority == 3
    else:
        assert after.find("stones.example", "/b/x").priority == 3


def test_path_of_a_route_that_was_never_valid_is_not_reported_as_unknown():
    broken = _route_json(name="r-2", path_prefix="/a/b/", timeout=None)
    after = _configuration(_route_json(), broken)
    assert after.find("stones.example", "/a/x").name == "r-1"
    assert isinstance(after.find("stones.example", "/a/b/x"), UnreadRoutes)
    assert after.find("stones.example", "/z/") is None


def test_unmatched_path_of_a_host_with_an_unreadable_route_is_not_reported_as_unknown():
    after = _configuration(_route_json(), "not a route")
    assert after.find("stones.example", "/a/x").name == "r-1"
    assert isinstance(after.find("stones.example", "/z/"), UnreadRoutes)
    assert after.find("other.example", "/z/") is None


@pytest.mark.parametrize("hosts", ["x", [{"host": "stones.example", "paths": 7}]])
def test_routes_are_kept_while_their_list_is_unreadable(hosts):
    before = _configuration()
    after = _configuration(version="r8", virtual_hosts=hosts, before=before)
    assert after.version == 8
    assert after.find("stones.example", "/a/x").name == "r-1"


def test_removed_route_is_not_kept_when_another_route_is_unreadable():
    before = _configuration(_route_json(), _route_json(name="r-2", path_prefix="/b/"))
    after = _configuration(_route_json(timeout=None), version="r8", before=before)
    assert after.find("stones.example", "/a/x").name == "r-1"
    assert after.find("stones.example", "/b/x") is None


def test_route_of_unknown_kind_is_not_idempotent():
    draft = _draft(_route_json(), _route_json(name="r-2", path_prefix="/b/", kind="sometimes"))
    assert [route.idempotent for route in draft.routes] == [True, False]
    assert _effects(draft) == [RemarkEffect.ASSUMED]


def test_downloads_may_run_more_than_once():
    draft = _draft(_route_json(kind="download"))
    assert draft.routes[0].kind is RouteKind.DOWNLOAD
    assert draft.routes[0].idempotent
    assert draft.remarks == ()


def test_unknown_fields_are_ignored_and_equal_remarks_are_counted():
    draft = _draft(_route_json(colour=1), _route_json(path_prefix="/b/", colour=2), shade="red")
    assert len(draft.routes) == 2
    assert _effects(draft) == [RemarkEffect.PASSED_OVER] * 2
    assert {remark.subject: times for remark, times in draft.remarks} == {
        "a route": 2,
        "the configuration": 1,
    }


def test_unreadable_limit_keeps_its_last_valid_value():
    before = _configuration(limits=LIMITS | {"idle_timeout": "7s"})
    after = _configuration(
        version="r8", limits=LIMITS | {"idle_timeout": [], "max_body_bytes": 5}, before=before
    )
    assert after.limits.idle_timeout == timedelta(seconds=7)
    assert after.limits.body_bytes == 5
    assert _configuration(limits=None).limits == DEFAULT_LIMITS


def test_unreadable_service_field_keeps_its_last_valid_value():
    services = [{"name": "granite", "max_conns": 10, "cold_start": "x", "cold_per_s": 1e999}]
    after = _configuration(version="r8", services=services, before=_configuration())
    assert after.service("granite").max_connections == 10
    assert after.service("granite").cold_start == timedelta(seconds=3)
    assert after.service("granite").cold_rate == 20.0
    assert _configuration(services=services).service("granite").cold_rate == 0.0


@pytest.mark.parametrize("version", [None, "7", "r", "r" + "9" * 5000, 7])
def test_unreadable_version_keeps_the_previous_version(version):
    after = _configuration(_route_json(priority=5), version=version, before=_configuration())
    assert after.version == 7
    assert after.routes[0].priority == 5
