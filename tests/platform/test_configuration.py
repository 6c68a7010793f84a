"""The configuration object is read whole or refused with the name of what is wrong."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.errors import ObjectError
from carawayquay.routes import RouteKind, WeightedService
from carawayquay_platform.configuration import parse_configuration

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15s",
}


def _path(**changes):
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


def _configuration(*paths, **changes):
    value = {
        "version": "r7",
        "services": [{"name": "granite", "max_conns": 720, "cold_start": "3s", "cold_per_s": 20.0}],
        "limits": LIMITS,
        "virtual_hosts": [{"host": "Stones.example", "paths": list(paths) or [_path()]}],
    }
    return parse_configuration(value | changes)


def test_routes_services_and_limits_are_read():
    read = _configuration(_path(kind="non_idempotent", allowed_regions=["puget"]))
    (route,) = read.routes
    assert read.version == 7
    assert route.kind is RouteKind.NON_IDEMPOTENT
    assert route.timeout == timedelta(milliseconds=1200)
    assert route.allowed_regions == {"puget"}
    assert read.service("granite").cold_rate == 20.0
    assert read.limits.idle_timeout == timedelta(seconds=15)


def test_weights_are_read():
    parts = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    read = _configuration(_path(service=None, weighted_backends=parts))
    assert read.routes[0].services == (WeightedService("a", 90), WeightedService("b", 10))


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
def test_longest_prefix_that_begins_the_path_wins(host, path, found):
    read = _configuration(_path(), _path(name="r-2", path_prefix="/a/b/"))
    route = read.find(host, path)
    assert (route.name if route else None) == found


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"version": None},
        {"limits": None},
        {"virtual_hosts": [{"host": "x", "paths": [_path(kind="sometimes")]}]},
        {"virtual_hosts": [{"host": "x", "paths": [_path(timeout=1200)]}]},
        {"virtual_hosts": [{"host": "x", "paths": [_path(service=None, weighted_backends=[])]}]},
        {"virtual_hosts": "x"},
    ],
)
def test_configuration_that_breaks_its_form_is_refused(changes):
    with pytest.raises(ObjectError):
        _configuration(**changes)
