"""Limits of clients follow the settings; ends by clients are counted, with few log lines."""

from __future__ import annotations

from datetime import timedelta

import logbook
import pytest
from gateway_builders import SETTINGS_TEXT, new_state, settings

from carawayquay.clock import ManualClock
from carawayquay_gateway.client_ends import ClientEnds
from carawayquay_gateway.client_limits import (
    ClientListener,
    new_budget,
    new_peer_budget,
    side_limits,
)
from carawayquay_gateway.settings import parse_gateway_settings
from carawayquay_wire.connection_ends import ConnectionEnd


def _with_limits(text):
    return parse_gateway_settings(f"{SETTINGS_TEXT}[limits]\n{text}")


def test_answer_of_the_largest_size_fits_many_times_into_the_smallest_vm():
    budget = new_budget(_with_limits("memory_mb = 152"), ClientListener.CALLERS)
    held = [budget.open("192.0.2.1") for _ in range(14)]
    for it in held:
        assert budget.allows_request(it)
        budget.start_answer(it, 540_000, 0.0)
    assert budget.slowest_over_capacity("192.0.2.1", 10.0) is None


def test_answers_that_another_vm_has_not_taken_fit_many_times_into_the_smallest_vm():
    budget = new_peer_budget(_with_limits("memory_mb = 152"))
    held = [budget.open("192.0.2.1") for _ in range(15)]
    for it in held:
        assert budget.allows_request(it)
        budget.start_answer(it, 540_000, 0.0)
    assert budget.slowest_over_capacity("192.0.2.1", 10.0) is None


def test_side_listeners_leave_most_descriptors_to_callers():
    sides = [it for it in ClientListener if it is not ClientListener.CALLERS]
    total = sum(side_limits(settings(), it).connections for it in sides)
    assert 0 < total <= settings().descriptors * 0.2


@pytest.mark.parametrize(
    "line",
    ["client_memory_share = 0.9", "client_address_share = 0", "min_read_bytes_per_s = 1000000"],
)
def test_limit_out_of_bounds_is_named_and_replaced_by_its_default(line):
    read = _with_limits(line)
    assert line.split(" = ")[0] in read.problems[0]
    shares = (read.client_memory_share, read.client_address_share, read.min_read_bytes_per_s)
    assert shares == (0.2, 0.5, 8192)


def test_ends_that_clients_cause_are_counted_and_logged_once_in_an_interval():
    clock = ManualClock()
    state = new_state(clock=clock)
    observe = ClientEnds(state).observer("ready")
    with logbook.TestHandler() as handler:
        for _ in range(3):
            observe(ConnectionEnd.SLOW, None)
            observe(ConnectionEnd.IDLE, None)
        observe(ConnectionEnd.MEMORY, None)
        clock.advance(timedelta(seconds=10))
        observe(ConnectionEnd.SLOW, None)
    counters = state.metrics.dump()["counters"]
    assert counters['client_connections_ended_total{listener="ready",cause="slow"}'] == 4
    assert not any("idle" in name for name in counters)
    lines = [it.message for it in handler.records]
    assert [line.split("cause=")[1] for line in lines] == [
        "slow total=1",
        "memory total=1",
        "slow total=4",
    ]
