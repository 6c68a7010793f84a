"""Other tasks have time while a server gets more requests than it can handle."""

from __future__ import annotations

import threading
import time

import curio
import pytest
from curio.network import open_connection, run_server, tcp_server_socket

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient, HttpError
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.request_turns import RequestTurns

#: Time for which each request holds up the event loop, whatever the speed of the machine, and the
#: callers, whose requests take two seconds in all.
_HANDLE_SECONDS = 0.005
_CALLERS = 400

_CALL_SECONDS = 0.5
_CALLS = 6
_REQUEST = HttpRequest("GET", "/", (), b"")


def _handle(_request):
    time.sleep(_HANDLE_SECONDS)
    return HttpResponse(200)


async def _listen(server):
    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, server.serve, daemon=True)
    return Address("127.0.0.1", sock.getsockname()[1])


def _start_store():
    """Start a server in a thread, whose event loop nothing holds up; return its address."""
    found = []

    async def serve():
        found.append(await _listen(HttpServer(lambda _: HttpResponse(200), _reject)))
        await curio.Event().wait()

    threading.Thread(target=curio.run, args=(serve,), daemon=True).start()
    while not found:
        time.sleep(0.01)
    return found[0]


def _reject(status, _reason):
    return HttpResponse(status)


async def _call_again_and_again(address):
    """Send requests without a pause until cancelled."""
    client = HttpClient()
    while True:
        await client.exchange(address, _REQUEST, 30.0)


async def _count_answered_calls(address):
    client = HttpClient()
    answered = 0
    for _ in range(_CALLS):
        try:
            await client.exchange(address, _REQUEST, _CALL_SECONDS)
        except HttpError:
            continue
        answered += 1
    return answered


def test_calls_are_answered_in_time_beside_more_requests_than_the_server_can_handle():
    async def check():
        store = _start_store()
        server = HttpServer(_handle, _reject, turns=RequestTurns())
        address = await _listen(server)
        for _ in range(_CALLERS):
            await curio.spawn(_call_again_and_again, address, daemon=True)
        await curio.sleep(3.0)
        return await _count_answered_calls(store)

    assert curio.run(check) == _CALLS


async def _ask_forever(address, answered):
    client = HttpClient()
    while True:
        await client.exchange(address, _REQUEST, 30.0)
        answered.append(time.monotonic())


def test_listeners_that_share_their_turns_both_answer():
    async def check():
        turns = RequestTurns()
        answered = {"few": [], "many": []}
        for name, callers in (("few", 20), ("many", 100)):
            server = HttpServer(_handle, _reject, turns=turns)
            address = await _listen(server)
            for _ in range(callers):
                await curio.spawn(_ask_forever, address, answered[name], daemon=True)
        await curio.sleep(4.0)
        return {name: len(times) for name, times in answered.items()}

    answered = curio.run(check)
    assert answered["few"] >= answered["many"] / 10


def test_bodies_that_come_later_than_their_turn_wait_for_another():
    handled = []

    def handle(request):
        handled.append(request.waited_seconds)
        time.sleep(_HANDLE_SECONDS)
        return HttpResponse(200)

    async def check():
        server = HttpServer(handle, _reject, turns=RequestTurns())
        address = await _listen(server)
        socks = []
        for _ in range(100):
            sock = await open_connection(address.host, address.port)
            await sock.sendall(b"PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n")
            socks.append(sock)
        await curio.sleep(0.2)
        for sock in socks:
            await sock.sendall(b"ok")
        while len(handled) < len(socks):
            await curio.sleep(0.01)

    curio.run(check)
    assert max(handled) > 0


@pytest.mark.parametrize("requests", [1, 300])
def test_requests_begin_in_the_order_in_which_they_came(requests):
    async def check():
        turns = RequestTurns()
        begun = []

        async def begin(number):
            waited_seconds = await turns.next()
            begun.append((number, waited_seconds))
            time.sleep(0.001)

        tasks = [await curio.spawn(begin, number) for number in range(requests)]
        for task in tasks:
            await task.join()
        return begun

    begun = curio.run(check)
    assert [number for number, _ in begun] == list(range(requests))
    assert (begun[-1][1] > 0) == (requests > 1)


def test_request_whose_task_is_cancelled_gives_up_its_turn():
    async def check():
        turns = RequestTurns()
        tasks = [await curio.spawn(turns.next) for _ in range(100)]
        await curio.sleep(0)
        waiting = turns.waiting
        for task in tasks:
            await task.cancel()
        return waiting, turns.waiting

    waiting, left = curio.run(check)
    assert waiting > 0
    assert left == 0
