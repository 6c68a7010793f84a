"""Links multiplex concurrent calls, and fail all pending calls when they close."""

from __future__ import annotations

import socket
from datetime import timedelta

import curio
import pytest
from curio.io import Socket

from carawayquay.clock import ManualClock, MonotonicClock
from carawayquay.errors import ErrorKind, LinkError, RequestError
from carawayquay.membership import Address
from carawayquay.requests import Forward, Forwarded
from carawayquay_wire.links import MAX_CONCURRENT_CALLS, MAX_QUEUED_BYTES, Link, LinkPool

LONG = timedelta(seconds=10)


def forward(path="/stones", body=b""):
    return Forward("sledway", "GET", path, [], body, 1000)


async def refuse(_):
    raise RequestError(ErrorKind.OVERLOADED, "full")


async def echo(message):
    await curio.sleep(0.05 if message.path == "/slow" else 0)
    return Forwarded(200, [], message.path.encode())


async def connect_links(left_handler, right_handler):
    left, right = (Socket(sock) for sock in tcp_socket_pair())
    links = [
        Link(left, left_handler, MonotonicClock()),
        Link(right, right_handler, MonotonicClock()),
    ]
    for link in links:
        await curio.spawn(link.run, daemon=True)
    return links


def tcp_socket_pair():
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    return client, accepted


def test_replies_out_of_order_reach_their_own_calls():
    async def go():
        link, _ = await connect_links(refuse, echo)
        slow = await curio.spawn(link.call, forward("/slow"), LONG)
        fast = await curio.spawn(link.call, forward("/fast"), LONG)
        return [(await task.join()).body for task in (slow, fast)]

    assert curio.run(go) == [b"/slow", b"/fast"]


def test_refusal_of_the_other_end_is_raised_with_its_kind():
    async def go():
        link, _ = await connect_links(refuse, refuse)
        with pytest.raises(RequestError) as caught:
            await link.call(forward(), LONG)
        return caught.value.kind

    assert curio.run(go) is ErrorKind.OVERLOADED


def test_close_of_the_other_end_fails_all_pending_calls_as_sent():
    async def go():
        async def never(_):
            await curio.sleep(3600)

        link, other = await connect_links(refuse, never)
        calls = [await curio.spawn(link.call, forward(), LONG) for _ in range(3)]
        await curio.sleep(0.05)
        await other.close()
        errors = []
        for call in calls:
            with pytest.raises(curio.TaskError) as caught:
                await call.join()
            errors.append(caught.value.__cause__)
        return errors

    errors = curio.run(go)
    assert [type(error) for error in errors] == [LinkError] * 3
    assert all(error.sent for error in errors)


def test_call_that_times_out_cancels_the_handler_at_the_other_end():
    async def go():
        cancelled = curio.Event()

        async def work(_):
            try:
                await curio.sleep(3600)
            except curio.CancelledError:
                await cancelled.set()
                raise

        link, _ = await connect_links(refuse, work)
        with pytest.raises(LinkError):
            await link.call(forward(), timedelta(milliseconds=50))
        await curio.timeout_after(5, cancelled.wait)

    curio.run(go)


def test_peer_that_does_not_read_blocks_no_caller():
    async def go():
        client, _accepted = tcp_socket_pair()
        link = Link(Socket(client), refuse, MonotonicClock())
        await curio.spawn(link.run, daemon=True)
        body = bytes(1024 * 1024)
        errors = []
        for _ in range(3 * MAX_QUEUED_BYTES // len(body)):
            with pytest.raises(LinkError) as caught:
                await link.call(forward(body=body), timedelta(milliseconds=1), cancel=False)
            errors.append(caught.value)
        return errors

    assert not curio.run(go)[-1].sent


def test_calls_above_the_concurrency_limit_are_refused_as_not_run():
    async def go():
        started = curio.Semaphore(0)

        async def never(_):
            await started.release()
            await curio.sleep(3600)

        link, _ = await connect_links(refuse, never)
        for _ in range(MAX_CONCURRENT_CALLS):
            await curio.spawn(link.call, forward(), LONG, daemon=True)
        for _ in range(MAX_CONCURRENT_CALLS):
            await started.acquire()
        with pytest.raises(RequestError) as caught:
            await link.call(forward(), LONG)
        return caught.value

    assert curio.run(go).not_run


def test_unreachable_peer_is_reported_as_not_sent():
    async def go():
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
        with pytest.raises(LinkError) as caught:
            await LinkPool(refuse, MonotonicClock()).call(Address(host, port), forward(), LONG)
        return caught.value

    assert not curio.run(go).sent


def test_silent_link_is_closed_and_fails_its_calls_as_sent():
    async def go():
        clock = ManualClock()
        sock, silent = tcp_socket_pair()
        link = Link(Socket(sock), refuse, clock)
        running = await curio.spawn(link.run)
        call = await curio.spawn(link.call, forward(), LONG)
        await curio.sleep(0)
        clock.advance(timedelta(seconds=3))
        with pytest.raises(curio.TaskError) as caught:
            await call.join()
        await running.join()
        silent.close()
        return caught.value.__cause__

    assert curio.run(go).sent
