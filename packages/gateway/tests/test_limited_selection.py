"""Requests over a target's limit go elsewhere within the other rules, or nowhere."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

from gateway_builders import configuration, new_selection, new_state, route, target

from carawayquay.clock import ManualClock
from carawayquay.placement import NoCapacity, Placement
from carawayquay_platform.configuration import parse_configuration

_DOMAINS = {"puget-a": "a", "puget-b": "b", "inland-a": "i"}
_LIMIT = 2.0


def _targets(count=2, **changes):
    return [
        (f"{letter}{index}", target(f"127.0.0.1:{ord(letter)}{index}", zone=domain, **changes))
        for domain, letter in _DOMAINS.items()
        for index in range(count)
    ]


def _route(**changes):
    return parse_configuration(configuration(route(**changes))).routes[0]


def _limited_state(names, count=2):
    """Return a state after two seconds of load, at whose end some targets named a limit."""
    clock = ManualClock(timedelta(seconds=10))
    state = new_state(clock=clock, targets=_targets(count))
    _play(state, clock, 100)
    for name in names:
        now = clock.now()
        state.target_limits.record(state.targets.get(name), _LIMIT, now, now)
    return state, clock


def _play(state, clock, requests, chosen_route=None):
    """Select targets for requests at 50/s and return the results."""
    selection = new_selection(state)
    results = []
    for index in range(requests):
        if index % 10 == 0:
            state.update(clock.now())
        selection.count_request()
        state.service("granite").count_request(clock.now())
        results.append(
            selection.select(chosen_route or _route(), "granite", f"k{index % 40}", 0.0, 1.0)
        )
        clock.advance(timedelta(milliseconds=20))
    return results


def _used(results):
    return Counter(result.target.name for result in results if isinstance(result, Placement))


def test_requests_over_a_limit_go_to_other_targets_of_the_region():
    state, clock = _limited_state(["a0"])
    results = _play(state, clock, 1000)
    used = _used(results)
    assert used["a0"] <= _LIMIT * 20 + 5
    assert {result.target.region for result in results} == {"puget"}
    passed_over = [result for result in results if result.limit_reached is not None]
    assert {result.limit_reached.target for result in passed_over} == {"a0"}


def test_requests_of_a_region_whose_targets_all_have_a_limit_leave_it_only_within_the_budget():
    state, clock = _limited_state(["a0", "a1", "b0", "b1"])
    results = _play(state, clock, 150)
    inland = sum(result.target.region == "inland" for result in results if _placed(result))
    assert inland <= (0.06 + 0.04 * 3) * 150 + 1
    refused = [result for result in results if isinstance(result, NoCapacity)]
    assert refused
    assert all(result.limit_reached is not None for result in refused)


def test_limits_of_a_regions_targets_move_its_share_slowly():
    state, clock = _limited_state(["a0", "a1", "b0", "b1"])
    shares = []
    for _ in range(10):
        _play(state, clock, 50)
        shares.append(state.service("granite").local_share.share)
    steps = [before - after for before, after in zip([1.0, *shares], shares, strict=False)]
    assert max(steps) <= 0.041
    assert shares[-1] < 0.8


def test_limited_target_of_an_allowed_region_is_not_replaced_by_one_of_another_region():
    state, clock = _limited_state(["i0", "i1"])
    results = _play(state, clock, 200, _route(allowed_regions=["inland"]))
    assert set(_used(results)) <= {"i0", "i1"}
    assert any(isinstance(result, NoCapacity) for result in results)


def test_other_services_are_not_bound_by_a_limit():
    state, clock = _limited_state(["a0", "a1", "b0", "b1", "i0", "i1"])
    name, spec = "s0", target(service="sledway", zone="puget-a")
    registered = new_state(targets=[(name, spec)]).targets.get(name)
    state.targets.register(registered, clock.now())
    selection = new_selection(state)
    for _ in range(100):
        selected = selection.select(_route(service="sledway"), "sledway", "k", 0.0, 1.0)
        assert isinstance(selected, Placement)
        clock.advance(timedelta(milliseconds=10))


def test_requests_of_higher_priority_come_first_and_others_are_not_starved():
    state, clock = _limited_state([name for name, _ in _targets()])
    selection = new_selection(state)
    routes = {priority: _route(priority=priority) for priority in (0, 3)}
    admitted = Counter()
    for index in range(2000):
        state.update(clock.now())
        selection.count_request()
        priority = (0, 3)[index % 2]
        state.service("granite").count_request(clock.now(), priority)
        selected = selection.select(routes[priority], "granite", f"k{index % 40}", 0.0, 1.0)
        admitted[priority] += _placed(selected)
        clock.advance(timedelta(milliseconds=20))
    assert admitted[0] > 2 * admitted[3]
    assert admitted[3] >= (admitted[0] + admitted[3]) / 2 / 4


def _placed(result):
    return isinstance(result, Placement)
