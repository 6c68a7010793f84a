"""The forwarder matches answers to requests, and reports not-run only if no target ran them."""

from __future__ import annotations

import socket
import struct
import time
from datetime import timedelta

import attrs
import curio
import pytest
from curio.network import tcp_server_socket
from gateway_builders import (
    ScriptedTarget,
    answer_bytes,
    configuration,
    new_forwarder,
    request,
    route,
    run,
    target,
)

from carawayquay.load_reports import short_hash

NON_IDEMPOTENT = configuration(route(kind="non_idempotent"))
REJECTED = answer_bytes(503, b"", not_executed="1")


async def _answers(targets, sent=None, configured=None):
    """Return the forwarder's answer, the scripted targets and the state."""
    started = [await ScriptedTarget(*script).start() for script in targets]
    named = [(f"t{index}", target(stub.address)) for index, stub in enumerate(started)]
    forwarder, state = new_forwarder(named, configured)
    answer = await forwarder.handle(sent or request())
    return answer, started, state


def test_answer_comes_back_unchanged():
    answer, (stub,), _ = run(_answers, [[answer_bytes(201, b"whole")]])
    assert (answer.status, answer.body) == (201, b"whole")
    assert answer.header(b"server-stamp") == "s1"
    assert b"expect-instance: t0" in stub.requests[0]
    assert b"host: stones.example" in stub.requests[0]


def test_deadline_sent_to_a_target_is_bounded_by_the_routes_timeout():
    _, (stub,), _ = run(_answers, [[answer_bytes()]], request(left_ms=90000))
    line = next(line for line in stub.requests[0].split(b"\r\n") if line.startswith(b"deadline-ms"))
    assert 1000 <= int(line.split(b":")[1]) <= 1200


def test_no_route_is_404_but_no_configuration_is_503():
    answer, _, state = run(_answers, [[answer_bytes()]], request(path="/other/"))
    assert answer.status == 404
    forwarder, state = new_forwarder([])
    state.object_applier.configuration = None
    assert run(forwarder.handle, request(path="/other/")).status == 503


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_request_that_a_target_did_not_run_goes_to_another(kind):
    configured = configuration(route(kind=kind))
    answer, started, _ = run(_answers, [[REJECTED], [REJECTED], [answer_bytes()]], None, configured)
    sent = sum(len(stub.requests) for stub in started)
    assert sent == 2
    assert answer.status in (200, 503)


def test_target_replaced_at_its_address_is_ejected():
    moved = answer_bytes(421, b"", instance_id="t9")
    answer, (_stub,), state = run(_answers, [[moved]])
    assert answer.status == 503
    assert answer.header(b"retry-after") is not None
    assert not state.stats("t0").usable(state.clock.now())


def test_broken_non_idempotent_request_is_sent_once_and_not_reported_as_not_run():
    answer, started, _ = run(_answers, [[None], [None]], None, NON_IDEMPOTENT)
    assert answer.status == 502
    assert sum(len(stub.requests) for stub in started) == 1


def test_broken_idempotent_request_is_sent_once_more():
    answer, started, _ = run(_answers, [[None], [None], [None]])
    assert answer.status == 502
    assert sum(len(stub.requests) for stub in started) == 2


def test_truncated_answer_is_not_returned():
    cut = answer_bytes(200, b"whole")[:-2]

    async def cut_short():
        stub = await ScriptedTarget(cut).start()

        async def serve(sock, _):
            await sock.recv(65536)
            await sock.sendall(cut)

        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        assert stub.address is not None
        forwarder, _ = new_forwarder([("t0", target(address))], NON_IDEMPOTENT)
        return await forwarder.handle(request())

    assert run(cut_short).status == 502


def test_answer_to_another_request_is_skipped():
    foreign = answer_bytes(200, b"other", request_id="zz")
    answer, _, _ = run(_answers, [[foreign + answer_bytes(200, b"mine")]])
    assert answer.body == b"mine"


@pytest.mark.parametrize("request_id", ["a1", None])
@pytest.mark.parametrize("idle", [False, True])
def test_second_copy_of_an_answer_is_not_given_to_the_next_caller(request_id, idle):
    copy = answer_bytes(200, b"first caller's", request_id=request_id)

    async def two_requests():
        sent_late = [answer_bytes(200, b"first caller's"), copy] if idle else []
        script = sent_late or [answer_bytes(200, b"first caller's")]
        mine = answer_bytes(200, b"second caller's", request_id="a2")
        stub = _CopyingTarget(script, mine if idle else copy + mine)
        address = await stub.start()
        forwarder, _ = new_forwarder([("t0", target(address))])
        first = await forwarder.handle(request())
        await curio.sleep(0.2)
        second = await forwarder.handle(request(request_id="a2"))
        return first.body, second.body

    assert run(two_requests) == (b"first caller's", b"second caller's")


def test_second_copy_of_a_refusal_does_not_say_that_the_next_request_was_not_run():
    refusal = answer_bytes(503, b"", not_executed="1")
    copy = answer_bytes(503, b"", request_id=None, not_executed="1")

    async def two_non_idempotent_requests():
        stub = _CopyingTarget([refusal], copy + answer_bytes(200, b"booked", request_id="a2"))
        forwarder, _ = new_forwarder([("t0", target(await stub.start()))], NON_IDEMPOTENT)
        first = await forwarder.handle(request(method="POST"))
        await curio.sleep(0.2)
        second = await forwarder.handle(request(method="POST", request_id="a2"))
        return first.status, second.status, second.body

    assert run(two_non_idempotent_requests) == (503, 200, b"booked")


class _CopyingTarget:
    """Target that sends several answers to its first request, and one to the request with id a2."""

    def __init__(self, first, second):
        self._first = first
        self._second = second

    async def start(self):
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(curio.network.run_server, sock, self._serve, daemon=True)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    async def _serve(self, sock, _):
        while data := await sock.recv(65536):
            if b"request-id: a2" in data.lower():
                await sock.sendall(self._second)
                continue
            for part in self._first:
                await sock.sendall(part)
                await curio.sleep(0.1)


def test_bytes_after_an_answer_close_the_connection():
    async def two_requests():
        stub = await ScriptedTarget(answer_bytes() + b"HTTP/1.1 200 OK\r\n", answer_bytes()).start()
        forwarder, _ = new_forwarder([("t0", target(stub.address))])
        first = await forwarder.handle(request())
        second = await forwarder.handle(request())
        return first, second, stub.connections

    first, second, connections = run(two_requests)
    assert (first.status, second.status) == (200, 200)
    assert connections == 2


def test_connection_that_a_target_says_it_will_close_carries_no_further_request():
    async def two_requests():
        stub = await ScriptedTarget(answer_bytes(connection="close")).start()
        forwarder, _ = new_forwarder([("t0", target(stub.address))])
        answers = [await forwarder.handle(request()) for _ in range(2)]
        return [answer.status for answer in answers], stub.connections

    assert run(two_requests) == ([200, 200], 2)


def test_idle_time_is_shortened_after_a_reused_connection_broke():
    async def four_requests():
        script = [answer_bytes(), None, answer_bytes(), answer_bytes()]
        stub = await ScriptedTarget(*script).start()
        forwarder, _ = new_forwarder([("t0", target(stub.address))], NON_IDEMPOTENT)
        statuses = []
        for _ in range(4):
            statuses.append((await forwarder.handle(request())).status)
            await curio.sleep(0.25)
        return statuses, stub.connections

    # One connection is the liveness probe; the last request does not reuse the third connection.
    assert run(four_requests) == ([200, 502, 200, 200], 4)


def test_final_answer_comes_at_the_routes_timeout():
    configured = configuration(route(timeout="200ms"))
    started = time.monotonic()
    answer, (_stub,), _ = run(_answers, [[5.0]], None, configured)
    assert answer.status == 504
    assert time.monotonic() - started < 1.0
    assert answer.header(b"retry-after") is None


def test_connection_to_the_target_closes_at_once_when_the_caller_disconnects():
    async def disconnect():
        stub = await ScriptedTarget(5.0).start()
        forwarder, _ = new_forwarder([("t0", target(stub.address))])
        task = await curio.spawn(forwarder.handle, request())
        while not stub.requests:
            await curio.sleep(0.01)
        await task.cancel()
        while not stub.closed_early:
            await curio.sleep(0.01)
        return forwarder.active

    assert run(disconnect) == 0


def test_request_without_usable_target_is_refused_at_once_with_retry_after():
    answer, _, _ = run(_answers, [])
    assert answer.status == 503
    assert 0 < float(answer.header(b"retry-after")) <= 0.3


def test_failure_status_of_a_non_idempotent_request_is_returned_unchanged():
    answer, started, _ = run(
        _answers, [[answer_bytes(500, b"bad")], [answer_bytes()]], None, NON_IDEMPOTENT
    )
    if answer.status == 500:
        assert answer.body == b"bad"
    assert sum(len(stub.requests) for stub in started) == 1


def test_failure_status_of_an_idempotent_request_is_tried_elsewhere():
    answer, started, _ = run(_answers, [[answer_bytes(500)], [answer_bytes(500)]])
    assert answer.status == 500
    assert answer.header(b"server-stamp") == "s1"
    assert sum(len(stub.requests) for stub in started) == 2


def test_unreachable_target_is_marked_cold():
    async def unreachable():
        forwarder, state = new_forwarder([("t0", target("127.0.0.1:1"))])
        answer = await forwarder.handle(request())
        return answer, state

    answer, state = run(unreachable)
    assert answer.status == 503
    assert state.targets.cold("t0", state.clock.now())


def test_internal_fault_is_answered_and_not_reported_as_not_run():
    forwarder, state = new_forwarder([])
    state.configuration.find = None
    assert run(forwarder.handle, request()).status == 500


def test_idle_connections_are_dropped_after_a_timeout_on_a_reused_one():
    configured = configuration(route(timeout="300ms", kind="non_idempotent"))

    async def time_out():
        stub = await ScriptedTarget(answer_bytes(), answer_bytes(), 5.0, answer_bytes()).start()
        forwarder, _ = new_forwarder([("t0", target(stub.address))], configured)
        async with curio.TaskGroup() as group:
            await group.spawn(forwarder.handle, request())
            await group.spawn(forwarder.handle, request())
        statuses = [(await forwarder.handle(request())).status for _ in range(2)]
        return statuses, stub.connections

    statuses, connections = run(time_out)
    assert statuses == [504, 200]
    assert connections == 3


def test_connect_timeout_leaves_time_for_another_target():
    async def unanswered():
        full = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=0)
        port = full.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        stub = await ScriptedTarget(answer_bytes()).start()
        forwarder, state = new_forwarder(
            [("t0", target(f"127.0.0.1:{port}")), ("t1", target(stub.address))]
        )
        state.warm_objects.record("t0", short_hash("17"))
        return (await forwarder.handle(request(left_ms=1000))).status

    assert run(unanswered) == 200


@pytest.mark.parametrize(("exits", "crashes"), [(True, 1), (False, 0)])
def test_target_that_resets_connections_while_it_exits_counts_as_crashed(exits, crashes):
    async def check():
        listener = tcp_server_socket("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        async def serve():
            for number in range(9):
                sock, _ = await listener.accept()
                if number == 0:
                    await sock.recv(65536)
                if number == 1 and exits:
                    await listener.close()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                await sock.close()

        await curio.spawn(serve, daemon=True)
        forwarder, state = new_forwarder([("t0", target(address))], NON_IDEMPOTENT)
        answer = await forwarder.handle(request(method="POST"))
        assert answer.status == 502
        await curio.sleep(0.6)
        assert len(forwarder._crashes.reports(state.clock.now())) == crashes

    run(check)


def test_speed_that_an_answer_reports_counts_for_its_target():
    _, _, state = run(_answers, [[answer_bytes(server_load="1,0,4,300")]])
    assert state.stats("t0").time_factor(timedelta()) == 3.0


def _counted(state):
    counters = state.metrics.dump()["counters"]
    return {name for name in counters if name.startswith("answers_total")}


def _failed_attempts(state):
    counters = state.metrics.dump()["counters"]
    return {key: it for key, it in counters.items() if key.startswith("attempts_failed_total")}


def _unsigned(status, **headers):
    return answer_bytes(status, b"", **headers).replace(b"server-stamp: s1\r\n", b"")


def test_answers_are_counted_by_status_and_by_who_decided_them():
    _, _, state = run(_answers, [[answer_bytes(404)]])
    assert _counted(state) == {'answers_total{status="404",source="target"}'}
    _, _, state = run(_answers, [[answer_bytes()]], request(path="/other/"))
    assert _counted(state) == {'answers_total{status="404",source="own"}'}
    _, _, state = run(_answers, [[_unsigned(500)]])
    assert _counted(state) == {'answers_total{status="500",source="unsigned"}'}
    _, _, state = run(_answers, [[_unsigned(404)]])
    assert _counted(state) == {'answers_total{status="502",source="own"}'}


@pytest.mark.parametrize("status", [301, 304, 400, 404, 431, 499])
def test_unsigned_denial_is_no_answer_and_an_idempotent_request_goes_to_another_target(status):
    """Guards against denying a proper request with what no target decided."""
    answer, stubs, state = run(_answers, [[_unsigned(status)], [_unsigned(status)]])
    assert answer.status == 502
    assert sum(len(stub.requests) for stub in stubs) == 2
    assert _failed_attempts(state) == {f'attempts_failed_total{{outcome="unsigned-{status}"}}': 2}


@pytest.mark.parametrize("denying", [0, 1])
def test_idempotent_request_with_an_unsigned_denial_succeeds_at_another_target(denying):
    """Guards against denying a proper request with what no target decided."""
    scripts = [[answer_bytes(200, b"whole")], [answer_bytes(200, b"whole")]]
    scripts[denying] = [_unsigned(404)]
    answer, stubs, _ = run(_answers, scripts)
    assert (answer.status, answer.body) == (200, b"whole")
    assert len(stubs[1 - denying].requests) == 1


@pytest.mark.parametrize("status", [302, 400, 404])
def test_request_that_may_not_be_repeated_with_an_unsigned_denial_runs_once(status):
    scripts = [[_unsigned(status)], [_unsigned(status)]]
    answer, stubs, _ = run(_answers, scripts, None, NON_IDEMPOTENT)
    assert answer.status == 502
    assert sum(len(stub.requests) for stub in stubs) == 1


@pytest.mark.parametrize("status", [301, 304, 400, 404, 431])
def test_signed_denial_comes_back_unchanged(status):
    answer, (stub,), _ = run(_answers, [[answer_bytes(status, b"")]])
    assert answer.status == status
    assert answer.header(b"server-stamp") == "s1"
    assert len(stub.requests) == 1


def test_denial_of_a_target_that_did_not_run_the_request_is_not_passed_on():
    answer, _, _ = run(_answers, [[_unsigned(400, not_executed="1")]], None, NON_IDEMPOTENT)
    assert answer.status == 503


def _waited(seconds, **changes):
    return attrs.evolve(request(**changes), waited_seconds=seconds)


def test_request_that_waited_too_long_for_its_turn_is_refused_as_not_run():
    answer, (stub,), _ = run(_answers, [[answer_bytes()]], _waited(0.5))
    assert answer.status == 503
    assert answer.body == b"overloaded"
    assert float(answer.header(b"retry-after")) > 0
    assert stub.requests == []


def test_deadline_counts_from_the_arrival_of_a_request():
    _, (stub,), _ = run(_answers, [[answer_bytes()]], _waited(0.05, left_ms=1000))
    line = next(line for line in stub.requests[0].split(b"\r\n") if line.startswith(b"deadline-ms"))
    assert 700 <= int(line.split(b":")[1]) <= 940
