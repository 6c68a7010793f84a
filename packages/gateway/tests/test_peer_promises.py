"""Requests that go through other VMs keep the promises of those that go straight to targets."""

from __future__ import annotations

import time
from contextlib import suppress
from functools import partial
from urllib.parse import urlencode

import curio
import pytest
from crash_builders import record_crashes
from cut_off_fleet import MODES, CutOffFleet, HandlingTarget
from gateway_builders import configuration, request, route
from gateway_site import free_ports
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.errors import FrameError
from carawayquay.request_fingerprints import request_fingerprint
from carawayquay_gateway.peer_messages import decode_answer, decode_request
from carawayquay_platform import headers
from carawayquay_wire.http import HttpRequest, HttpResponse

#: The users' rule for the requests at cut-off VMs that may fail: 10 and 1 in 50.
_ALLOWED_FAILURES = 10
_ALLOWED_RATIO = 1 / 50

_WORK_SECONDS = 0.05


def _on_fleet(check, *domains, **options):
    async def go():
        port = free_ports("127.9.60.1", 1)[0]
        fleet = CutOffFleet(domains, port=port, network="127.9.60", **options)
        async with curio.timeout_after(40.0):
            await fleet.start()
            await check(fleet)

    curio.run(go)


async def _answer_ok(_, received):
    await curio.sleep(_WORK_SECONDS)
    return HttpResponse(200, (), bytes(received.body))


async def _refuse(_, __):
    return HttpResponse(503, ((b"not-executed", b"1"),), b"full")


async def _break(_, __):
    await curio.sleep(_WORK_SECONDS)


def _stubs(handle, count=4):
    return [HandlingTarget(f"t{index}", handle) for index in range(count)]


def _configured(**changes):
    return configuration(route(**changes))


async def _send(vm, name, method="GET", **changes):
    return await vm.forwarder.handle(request(method, request_id=name, **changes))


async def _spawn(vm, name, **changes):
    return await curio.spawn(partial(_send, vm, name, **changes))


async def _send_steadily(vm, seconds, prefix, gap_seconds=0.02):
    """Send requests for some time, and return their statuses in the order of sending."""
    tasks = []
    for number in range(int(seconds / gap_seconds)):
        name = f"{vm.identity.name}-{prefix}-{number}"
        tasks.append(await _spawn(vm, name, affinity_key=f"{number % 7}"))
        await curio.sleep(gap_seconds)
    return [(await task.join()).status for task in tasks]


def _failed(statuses):
    return sum(status != 200 for status in statuses)


def _allowed(statuses):
    return _ALLOWED_FAILURES + _ALLOWED_RATIO * len(statuses)


async def _helper_at_work(fleet):
    """Return the VM through which a request goes, once a target has begun to run it."""
    while not fleet.runs:
        await curio.sleep(0.01)
    [helper] = [vm for vm in fleet.vms if vm.peer_requests.active]
    return helper


@pytest.mark.parametrize(
    ("kind", "status", "runs"), [("idempotent", 200, 2), ("non_idempotent", 502, 1)]
)
def test_request_whose_helping_vm_is_killed_is_sent_again_only_if_it_may_be(kind, status, runs):
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        task = await _spawn(cut, "a1")
        helper = await _helper_at_work(fleet)
        await helper.kill()
        assert (await task.join()).status == status
        await curio.sleep(0.5)
        assert len(fleet.runs) == runs

    configured = _configured(kind=kind)
    _on_fleet(check, *["puget-a"] * 3, work_seconds=0.3, configured=configured)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_request_goes_to_another_vm_if_the_first_one_is_cut_off_too(kind):
    async def check(fleet):
        cut, beside, other = fleet.vms
        await cut.cut_off("hang")
        await beside.cut_off("hang")
        answers = [await _send(cut, f"a{number}") for number in range(5)]
        assert [answer.status for answer in answers] == [200] * 5
        assert len(fleet.runs) == 5
        assert len(other.messages) == 5

    configured = _configured(kind=kind)
    _on_fleet(check, "puget-a", "puget-a", "puget-b", configured=configured)


@pytest.mark.parametrize("mode", MODES)
def test_two_of_three_domains_that_are_cut_off_are_served_by_the_third(mode):
    async def check(fleet):
        cut = [vm for vm in fleet.vms if vm.identity.domain != "inland-a"]
        for vm in cut:
            await vm.network.cut(mode)
        tasks = [await curio.spawn(_send_steadily, vm, 3.0, "a", 0.1) for vm in cut]
        for task in tasks:
            await task.join()
        tasks = [await curio.spawn(_send_steadily, vm, 1.0, "b", 0.1) for vm in cut]
        statuses = [status for task in tasks for status in await task.join()]
        assert set(statuses) == {200}

    _on_fleet(check, *["puget-a"] * 3, *["puget-b"] * 3, *["inland-a"] * 3)


def test_frozen_vm_does_not_hold_requests_again_and_again():
    async def check(fleet):
        cut, frozen, *_ = fleet.vms
        await cut.cut_off("hang")
        frozen.freeze()
        statuses = await _send_steadily(cut, 4.0, "a")
        assert _failed(statuses) <= _allowed(statuses)

    _on_fleet(check, *["puget-a"] * 3, work_seconds=_WORK_SECONDS)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_refusal_of_a_target_stays_a_refusal_and_counts_as_an_attempt(kind):
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        answer = await _send(cut, "a1")
        assert answer.status == 503
        assert len(fleet.runs) == 2
        assert len({stub.name for stub in fleet.targets if stub.runs}) == 2

    configured = _configured(kind=kind, max_attempts=2)
    _on_fleet(check, *["puget-a"] * 3, stubs=_stubs(_refuse), configured=configured)


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_attempts_of_both_ways_together_stay_within_max_attempts(attempts):
    async def check(fleet):
        cut = fleet.vms[0]
        task = await _spawn(cut, "a1")
        while not fleet.runs:
            await curio.sleep(0.005)
        await cut.cut_off("reset")
        assert (await task.join()).status == 502
        assert len(fleet.runs) == attempts
        received = [stub.name for stub in fleet.targets for _ in stub.runs]
        assert len(set(received)) == attempts

    configured = _configured(max_attempts=attempts)
    _on_fleet(check, *["puget-a"] * 3, stubs=_stubs(_break), configured=configured)


def test_time_handed_to_a_target_is_never_more_than_the_caller_has_left():
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        for number, left_ms in enumerate((15, 60, 400, 600, 800, 1000, 5000)):
            started = time.monotonic()
            await _send(cut, f"a{number}", left_ms=left_ms)
            ends = started + min(left_ms, 1200) / 1000
            for stub in fleet.targets:
                for received, at in zip(stub.requests, stub.arrivals, strict=True):
                    if received.header(b"request-id") == f"a{number}":
                        handed = int(received.header(b"deadline-ms")) / 1000
                        assert handed <= ends - at
        assert len(fleet.runs) >= 3

    _on_fleet(check, *["puget-a"] * 2, stubs=_stubs(_answer_ok))


def test_request_of_a_caller_that_leaves_is_cancelled_at_the_target():
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        task = await _spawn(cut, "a1", left_ms=5000)
        await _helper_at_work(fleet)
        await task.cancel()
        await curio.sleep(0.5)
        assert sum(stub.left for stub in fleet.targets) == 1

    configured = _configured(timeout="5s")
    _on_fleet(check, *["puget-a"] * 2, work_seconds=3.0, configured=configured)


def test_vm_outside_the_allowed_regions_never_gets_a_request():
    async def check(fleet):
        cut, beside, outside = fleet.vms
        await cut.cut_off("hang")
        await beside.cut_off("hang")
        assert (await _send(cut, "a1", "POST", body=b"secret")).status == 503
        assert outside.messages == []
        assert fleet.runs == []

    configured = _configured(allowed_regions=["puget"])
    _on_fleet(check, "puget-a", "puget-b", "inland-a", configured=configured)


def test_domain_that_the_helping_vm_knows_to_be_evacuated_gets_nothing():
    async def check(fleet):
        cut, helper = fleet.vms
        helper.adopt(fleet.configured, fleet.registrations, 30, ["puget-a"])
        await cut.cut_off("hang")
        for number in range(20):
            assert (await _send(cut, f"a{number}", affinity_key=f"{number}")).status == 200
        evacuated = {name for name, spec in fleet.registrations if spec["zone"] == "puget-a"}
        assert not {stub.name for stub in fleet.targets if stub.runs} & evacuated

    _on_fleet(check, "puget-a", "puget-b", targets=6)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_vm_with_an_older_configuration_refuses(kind):
    async def check(fleet):
        cut, older, level = fleet.vms
        newer = configuration(route(kind=kind), version=2)
        for vm in (cut, level):
            vm.adopt(newer, fleet.registrations, 30)
        await cut.cut_off("hang")
        for number in range(5):
            assert (await _send(cut, f"a{number}")).status == 200
        assert len(level.messages) == 5
        assert len(older.messages) >= 1
        assert len(fleet.runs) == 5

    _on_fleet(check, "puget-a", "puget-a", "puget-b", configured=_configured(kind=kind))


def test_vm_with_a_newer_configuration_that_moved_the_route_decides_by_it():
    async def check(fleet):
        cut, newer = fleet.vms
        moved = [(name, spec | {"service": "sledway"}) for name, spec in fleet.registrations[:1]]
        rest = fleet.registrations[1:]
        newer.adopt(configuration(route(service="sledway"), version=2), [*moved, *rest], 30)
        await cut.cut_off("hang")
        for number in range(5):
            assert (await _send(cut, f"a{number}")).status == 200
        assert {stub.name for stub in fleet.targets if stub.runs} == {fleet.targets[0].name}

    _on_fleet(check, "puget-a", "puget-a")


def test_request_that_crashes_targets_is_refused_by_a_helping_vm_after_three():
    async def crash(stub, received):
        if received.target == "/reports/crash":
            await curio.spawn(stub.crash, daemon=True)
            return await curio.Event().wait()
        return HttpResponse(200)

    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        statuses = []
        for number in range(5):
            statuses.append((await _send(cut, f"a{number}", path="/reports/crash")).status)
            await curio.sleep(1.2)
        assert statuses == [502, 502, 502, 503, 503]
        assert len(fleet.runs) == 3

    configured = _configured(max_attempts=1)
    _on_fleet(check, "puget-a", "puget-a", stubs=_stubs(crash, 6), configured=configured)


def test_request_that_one_helping_vm_refuses_for_crashes_is_sent_nowhere_else():
    async def check(fleet):
        cut, knowing, *_ = fleet.vms
        call = headers.parse_request(request())
        now = knowing.state.clock.now()
        record_crashes(knowing.crashes, request_fingerprint(call), 3, now)
        await cut.cut_off("hang")
        while not knowing.messages:
            other = [len(vm.messages) for vm in fleet.vms[2:]]
            answer = await _send(cut, "a1")
        assert answer.status == 503
        assert [len(vm.messages) for vm in fleet.vms[2:]] == other

    _on_fleet(check, *["puget-a"] * 3)


def test_request_that_is_refused_for_itself_does_not_keep_others_from_a_helping_vm():
    async def check(fleet):
        cut, helper = fleet.vms
        call = headers.parse_request(request(path="/reports/crash"))
        now = helper.state.clock.now()
        record_crashes(helper.crashes, request_fingerprint(call), 3, now)
        await cut.cut_off("hang")
        refused = await _spawn(cut, "a1", path="/reports/crash")
        await curio.sleep(0.1)
        started = time.monotonic()
        assert (await _send(cut, "a2")).status == 200
        assert time.monotonic() - started < 0.5
        assert (await refused.join()).status == 503

    _on_fleet(check, "puget-a", "puget-a")


@pytest.mark.parametrize("which", ["helping", "cut-off"])
def test_planned_stop_of_a_vm_loses_no_request(which):
    async def check(fleet):
        cut, beside, *_ = fleet.vms
        await cut.cut_off("hang")
        stopping = cut if which == "cut-off" else beside
        await _send_steadily(cut, 0.5, "a")
        task = await curio.spawn(stopping.stop)
        # Look-ups name a VM that stops for about a second.
        seconds = 0.9 if which == "cut-off" else 2.5
        statuses = await _send_steadily(cut, seconds, "b")
        assert set(statuses) == {200}
        await task.join()
        assert len(set(fleet.runs)) == len(fleet.runs)

    configured = _configured(kind="non_idempotent")
    _on_fleet(check, *["puget-a"] * 3, configured=configured)


async def _answers_through_cuts(fleet, kind, mode):
    """Return the status of each request while the first VM is cut off again and again.

    Versions of the configuration change meanwhile, and a burst arrives.
    """
    cut = fleet.vms[0]
    answers = {}

    async def send(number):
        name = f"a{number}"
        answers[name] = (await _send(cut, name, affinity_key=f"{number % 7}")).status

    async def flap():
        for version in range(2, 7):
            await cut.network.cut(mode)
            await curio.sleep(0.3 if version % 2 else 0.9)
            cut.network.heal()
            changed = configuration(route(kind=kind), version=version)
            for vm in reversed(fleet.vms):
                vm.adopt(changed, fleet.registrations, 30 + version)
                await curio.sleep(0.1)

    tasks = [await curio.spawn(flap)]
    for number in range(400):
        tasks.append(await curio.spawn(send, number))
        if number == 200:
            tasks += [await curio.spawn(send, 1000 + extra) for extra in range(60)]
        await curio.sleep(0.015)
    for task in tasks:
        await task.join()
    await curio.sleep(0.3)
    return answers


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_no_request_runs_twice_or_after_a_refusal_through_cuts_again_and_again(mode, kind):
    async def check(fleet):
        answers = await _answers_through_cuts(fleet, kind, mode)
        limit = 1 if kind == "non_idempotent" else 2
        for name, status in answers.items():
            assert fleet.runs.count(name) <= limit
            assert status in (200, 502, 503, 504)
            if status == 503:
                assert fleet.runs.count(name) == 0

    _on_fleet(check, "puget-a", "puget-a", "puget-b", configured=_configured(kind=kind))


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_two_thirds_of_the_requests_are_served_through_cuts_again_and_again(mode, kind):
    async def check(fleet):
        answers = await _answers_through_cuts(fleet, kind, mode)
        assert sum(status == 200 for status in answers.values()) >= len(answers) * 2 / 3

    _on_fleet(check, "puget-a", "puget-a", "puget-b", configured=_configured(kind=kind))


_ODD_HEADERS = (
    (b"server-stamp", b"s1"),
    (b"carawayquay-attempt", b"outcome=refused"),
    (b"x-empty", b""),
    (b"x-twice", b"1"),
    (b"x-twice", b"2"),
    (b"x-latin", b"caf\xe9"),
)


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("size", [0, 1, 70_000, 900_000])
def test_requests_and_answers_come_unchanged_through_another_vm(method, size):
    body = bytes(range(256)) * (size // 256 + 1)
    sent_body = b"" if method != "POST" else body[:size]

    async def echo(_, __):
        return HttpResponse(207, _ODD_HEADERS, body[: 3 * size])

    async def check(fleet):
        cut, helper = fleet.vms
        odd = {"carawayquay_attempt": "sender=me", "x_odd": "a, b;c=%20"}
        straight = await _send(cut, "a1", method, body=sent_body, **odd)
        await cut.cut_off("hang")
        through = await _send(cut, "a1", method, body=sent_body, **odd)
        assert len(helper.messages) == 1
        assert through == straight
        assert through.status == 207
        first, second = [it for stub in fleet.targets for it in stub.requests]
        assert first.method == second.method == method
        assert first.target == second.target
        assert first.body == second.body == sent_body
        own = (b"deadline-ms", b"expect-instance")
        kept = [[pair for pair in it.headers if pair[0] not in own] for it in (first, second)]
        assert sorted(kept[0]) == sorted(kept[1])
        assert (b"carawayquay-attempt", b"sender=me") in kept[1]

    _on_fleet(check, "puget-a", "puget-a", stubs=_stubs(echo))


def test_request_with_as_many_headers_as_callers_may_send_goes_through_another_vm():
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        extra = {f"x_{number}": "1" for number in range(64 - 3)}
        assert (await _send(cut, "a1", left_ms=None, **extra)).status == 200

    _on_fleet(check, "puget-a", "puget-a")


_FIELDS = ["sender", "version", "service", "elapsed_ms", "remaining_ms", "tried", "outcome"]
_FIELDS += ["target", "domain", "wait_ms", "work_ms", "warm", "reason"]
_HEADER_VALUES = st.one_of(
    st.binary(max_size=80),
    st.builds(
        lambda pairs: urlencode(pairs).encode(),
        st.lists(
            st.tuples(
                st.sampled_from(_FIELDS),
                st.one_of(
                    st.text(max_size=8),
                    st.sampled_from(["answered", "refused", "broken", "nan", "inf", "-1", "1e9"]),
                ),
            ),
            max_size=12,
        ),
    ),
)
_NAMES = st.sampled_from(
    [b"carawayquay-attempt", b"deadline-ms", b"keep-alive", b"connection", b"server-load"]
)
_HEADERS = st.lists(st.tuples(_NAMES, _HEADER_VALUES), max_size=5).map(tuple)


@given(_HEADERS, st.binary(max_size=20))
def test_message_of_another_vm_with_any_bytes_is_read_or_raises_frame_error(pairs, body):
    with suppress(FrameError):
        decode_request(HttpRequest("GET", "/", pairs, body))
    with suppress(FrameError):
        decode_answer(HttpResponse(200, pairs, body))
