"""No caller is told that a request was not run which a target may have run.

Guards against bookings that run twice: a target ran one and answered with a status by which callers
take it for not run, got that status, and sent it again.
"""

from __future__ import annotations

from functools import partial

import curio
import pytest
from cut_off_fleet import CutOffFleet, HandlingTarget
from gateway_builders import (
    ScriptedTarget,
    answer_bytes,
    configuration,
    listing,
    new_forwarder,
    request,
    route,
    run,
    stored,
    target,
)
from gateway_site import free_ports

from carawayquay.errors import ErrorKind
from carawayquay.quotas import QuotaGrants
from carawayquay_platform.objects import ObjectKind
from carawayquay_wire.http import HttpResponse

#: The statuses that promise that a request was not run, but 421, which a target never gives to one
#: that it ran.
_PROMISES = pytest.mark.parametrize("status", [408, 429, 503])

_KINDS = pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])

#: The aim of the route, from which 1.2 s are expected for the first request: once a target has held
#: it, another try fits into the longer deadline only.
_AIM = "4s"

#: Time for which a target holds a request, and after which the route changes.
_HELD_SECONDS = 0.3
_CHANGE_SECONDS = 0.1


def _answer(status, *, signed=True, **headers):
    answer = answer_bytes(status, b"from the target", **headers)
    return answer if signed else answer.replace(b"server-stamp: s1\r\n", b"")


async def _forwarded(scripts, kind, sent=None):
    """Return the caller's answer, the requests at all targets, and the state."""
    stubs = [await ScriptedTarget(*script).start() for script in scripts]
    named = [(f"t{index}", target(stub.address)) for index, stub in enumerate(stubs)]
    forwarder, state = new_forwarder(named, configuration(route(kind=kind)))
    answer = await forwarder.handle(sent or request("POST"))
    return answer, sum(len(stub.requests) for stub in stubs), state


def _is_own_failure(answer, status=502):
    """Return whether an answer is a failure of the VM's own, which promises nothing."""
    signed = answer.header(b"server-stamp") is not None
    asked_back = answer.header(b"retry-after") is not None
    return answer.status == status and not signed and not asked_back


@_PROMISES
@pytest.mark.parametrize("signed", [True, False])
def test_booking_that_ran_gets_a_failure_in_place_of_the_targets_promise(status, signed):
    scripts = [[_answer(status, signed=signed, retry_after="0.1")]] * 2
    answer, runs, _ = run(_forwarded, scripts, "non_idempotent")
    assert _is_own_failure(answer)
    assert answer.body == ErrorKind.TARGET_FAILED.value.encode()
    assert runs == 1


@_PROMISES
def test_withheld_promise_of_a_target_is_counted(status):
    _, _, state = run(_forwarded, [[_answer(status)]], "non_idempotent")
    counters = state.metrics.dump()["counters"]
    assert counters[f'attempts_failed_total{{outcome="status-{status}"}}'] == 1
    assert counters['answers_total{status="502",source="own"}'] == 1


@pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504, 599])
def test_status_that_promises_nothing_comes_back_unchanged(status):
    answer, _, _ = run(_forwarded, [[_answer(status)]], "non_idempotent")
    assert (answer.status, answer.body) == (status, b"from the target")
    assert answer.header(b"server-stamp") == "s1"


@_PROMISES
@_KINDS
def test_promise_of_a_target_that_did_not_run_the_request_is_kept(status, kind):
    scripts = [[_answer(status, signed=False, not_executed="1")]] * 2
    answer, sent, _ = run(_forwarded, scripts, kind)
    assert (answer.status, sent) == (503, 2)


@_PROMISES
@pytest.mark.parametrize("failing", [0, 1])
def test_idempotent_request_is_served_by_another_target(status, failing):
    scripts = [[_answer(200)], [_answer(200)]]
    scripts[failing] = [_answer(status)]
    answer, _, _ = run(_forwarded, scripts, "idempotent")
    assert answer.status == 200


@_PROMISES
def test_idempotent_request_that_no_target_serves_gets_the_targets_answer(status):
    answer, runs, _ = run(_forwarded, [[_answer(status)]] * 2, "idempotent")
    assert (answer.status, answer.header(b"server-stamp"), runs) == (status, "s1", 2)


@_PROMISES
def test_booking_that_one_target_refused_and_another_one_ran_gets_a_failure(status):
    refused = _answer(503, signed=False, not_executed="1")
    statuses = []
    for scripts in ([[refused], [_answer(status)]], [[_answer(status)], [refused]]):
        answer, _, _ = run(_forwarded, scripts, "non_idempotent")
        statuses.append(answer.status)
    assert statuses == [502, 502]


async def _forwarded_through_a_change(script, kinds, sent):
    """Return the answer to a request whose route changes its kind while a target holds it."""
    stubs = [await ScriptedTarget(*script).start() for _ in range(2)]
    named = [(f"t{index}", target(stub.address)) for index, stub in enumerate(stubs)]
    before, after = (
        configuration(route(kind=kind, target_latency=_AIM, timeout="5s"), version=number)
        for number, kind in enumerate(kinds, 1)
    )
    forwarder, state = new_forwarder(named, before)
    sending = await curio.spawn(forwarder.handle, sent)
    await curio.sleep(_CHANGE_SECONDS)
    state.replicas[ObjectKind.CONFIGURATION].apply_listing(listing(30, stored("main", after, 30)))
    assert state.configuration.version == 2
    return await sending.join()


@_PROMISES
@pytest.mark.parametrize("left_ms", [4000, 1400], ids=["time left", "no time left"])
@pytest.mark.parametrize(
    "kinds", [("idempotent", "non_idempotent"), ("non_idempotent", "idempotent")]
)
def test_request_whose_route_changes_its_kind_gets_a_failure(status, left_ms, kinds):
    script = [_HELD_SECONDS, _answer(status), _answer(status)]
    sent = request("POST", left_ms=left_ms)
    answer = run(_forwarded_through_a_change, script, kinds, sent)
    assert _is_own_failure(answer)


@_PROMISES
def test_withheld_promise_is_not_returned_at_the_deadline_after_the_kind_changed(status):
    async def check(failing_first):
        failing = await ScriptedTarget(_answer(status)).start()
        hanging = await ScriptedTarget(5.0).start()
        stubs = (failing, hanging) if failing_first else (hanging, failing)
        named = [(f"t{index}", target(stub.address)) for index, stub in enumerate(stubs)]
        forwarder, state = new_forwarder(named)
        sending = await curio.spawn(forwarder.handle, request("POST", left_ms=600))
        await curio.sleep(_CHANGE_SECONDS)
        after = configuration(route(kind="non_idempotent"), version=2)
        changed = listing(30, stored("main", after, 30))
        state.replicas[ObjectKind.CONFIGURATION].apply_listing(changed)
        answer = await sending.join()
        return answer.status, len(failing.requests)

    played = [run(check, failing_first) for failing_first in (True, False)]
    assert all(given in (502, 504) for given, _ in played)
    assert any(failed for _, failed in played)


def _on_fleet(check, stubs, kind):
    async def go():
        fleet = CutOffFleet(
            ["puget-a"] * 3,
            port=free_ports("127.9.66.1", 1)[0],
            network="127.9.66",
            configured=configuration(route(kind=kind)),
            stubs=stubs,
        )
        async with curio.timeout_after(20.0):
            await fleet.start()
            await fleet.vms[0].cut_off("hang")
            await check(fleet)

    curio.run(go)


async def _give(response, _, __):
    return response


def _stubs(*statuses):
    """Return targets that run each request and answer with a status."""
    return [
        HandlingTarget(
            f"t{index}", partial(_give, HttpResponse(status, ((b"server-stamp", b"s1"),)))
        )
        for index, status in enumerate(statuses)
    ]


@_PROMISES
def test_booking_that_ran_by_way_of_another_vm_gets_a_failure(status):
    async def check(fleet):
        answer = await fleet.vms[0].forwarder.handle(request("POST"))
        assert _is_own_failure(answer)
        assert len(fleet.runs) == 1

    _on_fleet(check, _stubs(status, status, status), "non_idempotent")


@_PROMISES
def test_idempotent_request_by_way_of_another_vm_is_served_by_another_target(status):
    async def check(fleet):
        sent = [request("POST", request_id=f"a{number}") for number in range(6)]
        answers = [await fleet.vms[0].forwarder.handle(it) for it in sent]
        assert [answer.status for answer in answers] == [200] * len(answers)

    _on_fleet(check, _stubs(status, 200), "idempotent")


@_PROMISES
def test_booking_that_ran_costs_its_organisation_a_request_of_its_quota(status):
    async def check():
        stub = await ScriptedTarget(_answer(status)).start()
        tenant = {"name": "north", "api_keys": ["k"], "rate_per_s": 10.0, "burst": 5.0}
        configured = configuration(route(kind="non_idempotent")) | {"tenants": [tenant]}
        forwarder, state = new_forwarder([("t0", target(stub.address))], configured)
        state.quotas.apply(QuotaGrants("vm", 1, 1, ()), state.clock.now())
        answer = await forwarder.handle(request("POST", authorization="Bearer k"))
        return answer.status, state.quotas.uses(state.clock.now())

    status, (use,) = run(check)
    assert (status, use.arrived, use.admitted) == (502, 1, 1)
