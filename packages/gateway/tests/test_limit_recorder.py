"""Limits count from every kind of answer that can carry them, and from other VMs' reports."""

from __future__ import annotations

from datetime import timedelta

import attrs
import logbook
import pytest
from gateway_builders import ScriptedTarget as Scripted
from gateway_builders import (
    answer_bytes,
    identity,
    new_forwarder,
    new_state,
    request,
    run,
    target,
)

from carawayquay.clock import ManualClock
from carawayquay.forwarding import LimitAbsent, LimitNamed, LimitUnreadable, TargetAnswer
from carawayquay.load_reports import (
    DomainSummary,
    LoadReport,
    TargetLimitReport,
    incarnation_hash,
)

_TARGETS = [("t0", target())]


def _answer(limit, status=200, **changes):
    values = {"not_run": False, "address_reused": False, "load": None, "keep_alive_timeout": None}
    return TargetAnswer(status, (), b"", **(values | changes), limit=limit)


def _usable_rate(state, name="t0"):
    return state.target_limits.usable_rate(state.targets.get(name))


def _record(state, *answers):
    """Record answers of the target, each to a request that was sent after the one before."""
    for answer in answers:
        state.clock.advance(timedelta(seconds=1))
        sent_at = state.clock.now()
        state.clock.advance(timedelta(seconds=1))
        state.limit_recorder.record(state.targets.get("t0"), answer, sent_at)


@pytest.mark.parametrize(
    "answer",
    [
        _answer(LimitNamed(5.0)),
        _answer(LimitNamed(5.0), status=404),
        _answer(LimitNamed(5.0), status=500),
        _answer(LimitNamed(5.0), status=503, not_run=True),
        _answer(LimitNamed(5.0), status=429, not_run=True),
    ],
)
def test_every_answer_of_the_target_itself_can_name_a_limit(answer):
    state = new_state(targets=_TARGETS)
    _record(state, answer)
    assert _usable_rate(state) == pytest.approx(4.5)


def test_limit_in_the_answer_of_another_target_at_the_address_is_ignored():
    state = new_state(targets=_TARGETS)
    _record(state, _answer(LimitNamed(5.0), status=421, address_reused=True))
    assert _usable_rate(state) is None


@pytest.mark.parametrize(
    "answer",
    [
        _answer(LimitAbsent(), status=503, not_run=True),
        _answer(LimitAbsent(), status=500),
        _answer(LimitAbsent(), status=421, address_reused=True),
        _answer(LimitUnreadable("few")),
    ],
)
def test_limit_stays_after_an_answer_that_does_not_show_its_end(answer):
    state = new_state(targets=_TARGETS)
    _record(state, _answer(LimitNamed(5.0)), answer)
    assert _usable_rate(state) == pytest.approx(4.5)


def test_limit_ends_with_an_answer_to_a_later_request_that_names_none():
    state = new_state(targets=_TARGETS)
    _record(state, _answer(LimitNamed(5.0)), _answer(LimitAbsent()))
    assert _usable_rate(state) is None


def test_unreadable_limit_is_counted_each_time():
    state = new_state(targets=_TARGETS)
    _record(state, *[_answer(LimitUnreadable("few"))] * 3)
    counters = state.metrics.dump()["counters"]
    assert counters['limits_not_understood_total{service="granite"}'] == 3


def test_target_that_started_again_has_no_limit():
    state = new_state(targets=_TARGETS)
    _record(state, _answer(LimitNamed(5.0)))
    state.targets.register(
        attrs.evolve(state.targets.get("t0"), incarnation=2000), state.clock.now()
    )
    assert _usable_rate(state) is None


def test_limit_survives_a_registration_that_lapsed_for_a_while():
    state = new_state(targets=_TARGETS)
    _record(state, _answer(LimitNamed(5.0)))
    registered = state.targets.get("t0")
    state.targets.remove("t0")
    state.forget_target("t0")
    state.update(state.clock.now())
    state.targets.register(registered, state.clock.now())
    assert _usable_rate(state) == pytest.approx(4.5)


def _limit_report(state, rate=5.0, demand=30.0):
    return TargetLimitReport(incarnation_hash(state.targets.get("t0")), rate, 0.1, demand)


def test_limit_and_demand_of_a_vm_of_the_domain_are_taken():
    state = new_state(targets=_TARGETS)
    peer = identity("puget-a-2", "127.0.0.2")
    report = LoadReport(peer, 1, False, (), limits=(_limit_report(state),))
    now = state.clock.now()
    state.peers.receive(report, now)
    state.limit_recorder.merge_report(report)
    assert _usable_rate(state) == pytest.approx(4.5)
    assert state.target_limits.domain_demand.rate(report.limits[0].target, now) == 30.0
    assert state.target_limits.domain_demand.reporting_vms(now) == 1


def test_limit_and_demand_of_another_domain_are_taken():
    state = new_state(targets=_TARGETS)
    relay = identity("inland-a-1", "127.0.0.3", "inland-a", "inland")
    summary = DomainSummary(relay, 1, (), 7, limits=(_limit_report(state),))
    now = state.clock.now()
    state.peers.receive_summary(summary, now)
    state.limit_recorder.merge_summary(summary)
    assert _usable_rate(state) == pytest.approx(4.5)
    assert state.target_limits.remote_demand.reporting_vms(now) == 7


def test_vms_of_a_version_that_reports_no_limits_count_as_unheard():
    state = new_state(clock=ManualClock(timedelta(seconds=9)), targets=_TARGETS)
    relay = identity("inland-a-1", "127.0.0.3", "inland-a", "inland")
    peer = identity("puget-a-2", "127.0.0.2")
    now = state.clock.now()
    for message in (DomainSummary(relay, 1, (), 7), LoadReport(peer, 1, False, ())):
        if isinstance(message, DomainSummary):
            state.peers.receive_summary(message, now)
            state.limit_recorder.merge_summary(message)
        else:
            state.peers.receive(message, now)
            state.limit_recorder.merge_report(message)
    assert state.target_limits.domain_demand.reporting_vms(now) == 0
    assert state.target_limits.remote_demand.reporting_vms(now) == 0


def test_forwarder_takes_the_limit_from_an_answer_on_the_wire():
    async def check():
        stub = await Scripted(answer_bytes(server_limit="5")).start()
        forwarder, state = new_forwarder([("t0", target(stub.address))])
        answer = await forwarder.handle(request())
        return answer, state

    answer, state = run(check)
    assert answer.status == 200
    assert _usable_rate(state) == pytest.approx(4.5)


def test_request_over_the_limit_is_refused_as_not_run_with_the_time_of_the_limit():
    async def check():
        stub = await Scripted(answer_bytes(server_limit="0.001")).start()
        forwarder, state = new_forwarder([("t0", target(stub.address))])
        answers = [await forwarder.handle(request()) for _ in range(12)]
        return answers, stub, state

    with logbook.TestHandler() as log:
        answers, stub, state = run(check)
    lines = [record.message for record in log.records if "kind=target-limited" in record.message]
    assert all("limited_by=t0 limit=0.001 limit_age_ms=" in line for line in lines)
    assert all("id=a1" in line and "limit_share=" in line for line in lines)
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) + len(stub.requests) == len(answers)
    assert len(lines) == len(refused)
    assert len(stub.requests) <= 3
    assert {answer.body for answer in refused} == {b"target-limited"}
    assert all(float(answer.header(b"retry-after")) > 5 for answer in refused)
    counters = state.metrics.dump()["counters"]
    assert counters['requests_limited_total{service="granite"}'] == len(refused)
