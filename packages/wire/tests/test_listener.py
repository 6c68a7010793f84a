"""A listener closes cleanly while it waits for connections, and serves its backlog."""

from __future__ import annotations

import socket

import curio
import curio.io
import pytest

from carawayquay.membership import Address
from carawayquay_wire.listener import Listener

_BACKLOG_CONNECTIONS = 300

#: Connections that may be accepted before other tasks have their turn.
_MAX_ACCEPTED_IN_A_TURN = 64


async def _serve(sock, _):
    await sock.recv(1)


async def _closed_listener():
    """Return the task of a listener that was closed while it waited for connections."""
    listener = Listener(Address("127.0.0.1", 0), _serve)
    running = await curio.spawn(listener.run)
    await curio.sleep(0.01)
    await listener.close()
    return running


def test_run_returns_after_close():
    async def go():
        running = await _closed_listener()
        await curio.timeout_after(1.0, running.join)

    curio.run(go)


def test_descriptor_of_a_closed_listener_can_be_reused():
    async def go():
        await _closed_listener()
        open_sockets = []
        for _ in range(20):
            client_end, server_end = (curio.io.Socket(sock) for sock in socket.socketpair())
            open_sockets += [client_end, server_end]
            waiting = await curio.spawn(client_end.recv, 1)
            await curio.sleep(0)
            await server_end.send(b"x")
            assert await waiting.join() == b"x"

    curio.run(go)


def test_backlog_of_a_closing_listener_is_served():
    async def go():
        served = []

        async def serve(sock, _):
            served.append(await sock.recv(9))

        port = _free_port()
        listener = Listener(Address("127.0.0.1", port), serve)
        running = await curio.spawn(listener.run)
        await curio.sleep(0.01)
        callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(5)]
        for caller in callers:
            caller.sendall(b"request")
        await listener.close()
        await running.join()
        await curio.sleep(0.1)
        assert served == [b"request"] * 5
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))

    curio.run(go)


def test_close_returns_when_the_backlog_is_being_served():
    async def go():
        served = []

        async def serve(sock, _):
            served.append(sock)
            await sock.recv(9)

        port = _free_port()
        listener = Listener(Address("127.0.0.1", port), serve)
        await curio.spawn(listener.run, daemon=True)
        await curio.sleep(0.01)
        callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(5)]
        await curio.timeout_after(1.0, listener.close)
        assert len(served) == len(callers)

    curio.run(go)


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def test_backlog_full_of_connections_holds_up_no_other_task():
    accepted_by_turn = []

    async def serve(sock, _):
        accepted_by_turn[-1] += 1

    async def go():
        listener = Listener(Address("127.0.0.1", 0), serve)
        running = await curio.spawn(listener.run)
        await curio.sleep(0.01)
        address = listener._sock.getsockname()
        clients = [socket.create_connection(address) for _ in range(_BACKLOG_CONNECTIONS)]
        while sum(accepted_by_turn) < _BACKLOG_CONNECTIONS:
            accepted_by_turn.append(0)
            await curio.sleep(0)
        for client in clients:
            client.close()
        await running.cancel()

    curio.run(go)
    assert max(accepted_by_turn) <= _MAX_ACCEPTED_IN_A_TURN
