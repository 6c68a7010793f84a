"""Tests that the store client tells definite failures from unknown outcomes."""

from __future__ import annotations

import json
import socket
from datetime import timedelta

import curio
import pytest
from curio.network import run_server, tcp_server_socket

from carawayquay.errors import ConflictError, StoreError, UnconfirmedWriteError
from carawayquay.membership import Address
from carawayquay_standins.store import StoreStandIn
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient
from carawayquay_wire.store import StoreClient

TIMEOUT = timedelta(seconds=5)


def run_with_store(scenario):
    """Run a scenario with a client of a listening stand-in and its fault control."""

    async def go():
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = Address(*server.getsockname())
        store = StoreStandIn()
        await curio.spawn(
            curio.tcp_server, address.host, address.port, store.http.serve, daemon=True
        )
        await curio.sleep(0)
        client = StoreClient(address, TIMEOUT)
        try:
            return await scenario(client, Control(address))
        finally:
            await client.close()

    return curio.run(go)


class Control:
    """Sets the faults of a store stand-in."""

    def __init__(self, address):
        self._address = address

    async def set(self, **faults):
        request = HttpRequest("POST", "/control", (), json.dumps(faults).encode())
        client = HttpClient()
        await client.exchange(self._address, request, 5.0)
        await client.close()


def test_write_of_an_outdated_version_conflicts():
    async def scenario(client, _):
        first = await client.put("documents", "sledway", {"n": 1}, replaces=0)
        await client.put("documents", "sledway", {"n": 2}, replaces=first)
        with pytest.raises(ConflictError):
            await client.put("documents", "sledway", {"n": 3}, replaces=first)
        return (await client.get("documents", "sledway")).value

    assert run_with_store(scenario) == {"n": 2}


def test_lost_answer_of_a_write_that_took_effect_is_unconfirmed():
    async def scenario(client, control):
        await control.set(lose_writes=1)
        with pytest.raises(UnconfirmedWriteError):
            await client.put("documents", "sledway", {"n": 1}, replaces=0)
        return (await client.get("documents", "sledway")).value

    assert run_with_store(scenario) == {"n": 1}


def test_calls_fail_while_the_store_is_down_and_succeed_afterwards():
    async def scenario(client, control):
        await control.set(down=True)
        with pytest.raises(StoreError):
            await client.list("documents")
        await control.set(down=False)
        return await client.list("documents")

    assert run_with_store(scenario).objects == ()


def test_write_without_a_listening_store_fails_definitely():
    async def go():
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = Address(*server.getsockname())
        with pytest.raises(StoreError) as caught:
            await StoreClient(address, TIMEOUT).put("documents", "a", {}, replaces=0)
        return caught.value

    assert type(curio.run(go)) is StoreError


def test_watch_returns_what_changed_after_a_revision():
    async def scenario(client, _):
        known = (await client.list("documents")).revision
        watch = await curio.spawn(client.watch, "documents", known, timedelta(seconds=10))
        await client.put("documents", "sledway", {"n": 1}, replaces=0)
        return await watch.join()

    listing = run_with_store(scenario)
    assert [item.name for item in listing.objects] == ["sledway"]
    assert listing.revision == listing.objects[0].version


def test_watch_without_a_change_returns_an_empty_listing():
    async def scenario(client, _):
        return await client.watch("documents", 0, timedelta(milliseconds=20))

    assert run_with_store(scenario).objects == ()


def test_stale_store_answers_with_an_earlier_copy():
    async def scenario(client, control):
        first = await client.put("documents", "sledway", {"n": 1}, replaces=0)
        await control.set(stale=True)
        await client.put("documents", "sledway", {"n": 2}, replaces=first)
        return (await client.get("documents", "sledway")).value

    assert run_with_store(scenario) == {"n": 1}


def test_call_after_a_failed_one_uses_no_connection_from_before_it():
    """Guards against a silent idle connection that delays a call after a failed one."""

    async def check():
        silent = False
        page = b'{"items":[],"revision":1}'
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(page), page)

        async def serve(sock, _):
            silent_before = silent
            while await sock.recv(65536):
                if silent == silent_before:
                    await curio.sleep(0.05)
                    await sock.sendall(answer)

        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, serve, daemon=True)
        client = StoreClient(Address(*sock.getsockname()), timedelta(milliseconds=300))
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(client.list, "documents")
        silent = True
        with pytest.raises(StoreError):
            await client.list("documents")
        assert (await client.list("documents")).revision > 0

    curio.run(check)
