"""Dialing starts no thread, and leaks no descriptor when it fails."""

from __future__ import annotations

import os
import threading

import curio
import pytest
from curio.network import run_server, tcp_server_socket

from carawayquay.membership import Address
from carawayquay_wire.dialing import dial
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError


async def _echo(sock, _):
    await sock.sendall(await sock.recv(100))


def _open_descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_connection_is_opened_without_a_thread():
    async def check():
        listener = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, listener, _echo, daemon=True)
        threads = threading.active_count()
        sock = await dial(Address("127.0.0.1", listener.getsockname()[1]), ("127.0.0.5", 0))
        assert threading.active_count() == threads
        assert sock.getsockname()[0] == "127.0.0.5"
        await sock.sendall(b"hello")
        assert await sock.recv(100) == b"hello"
        await sock.close()

    curio.run(check)


def test_refused_connection_leaks_no_descriptor():
    async def check():
        before = _open_descriptors()
        with pytest.raises(ConnectionRefusedError):
            await dial(Address("127.0.0.1", 1))
        assert _open_descriptors() == before

    curio.run(check)


def test_timed_out_connection_leaks_no_descriptor():
    async def check():
        listener = tcp_server_socket("127.0.0.1", 0, backlog=1)
        address = Address("127.0.0.1", listener.getsockname()[1])
        backlog_fillers = [await dial(address) for _ in range(2)]
        before = _open_descriptors()
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.2, dial, address)
        assert _open_descriptors() == before
        for sock in backlog_fillers:
            await sock.close()

    curio.run(check)


def test_error_of_a_timed_out_connection_names_the_time_limit():
    """Guards against a clock reading in place of a reason."""

    async def check():
        listener = tcp_server_socket("127.0.0.1", 0, backlog=1)
        address = Address("127.0.0.1", listener.getsockname()[1])
        backlog_fillers = [await dial(address) for _ in range(2)]
        client = HttpClient(dial_seconds=0.2)
        request = HttpRequest("GET", "/", (), b"")
        with pytest.raises(HttpError, match=f"^cannot connect to {address} within 0.200 s$"):
            await client.exchange(address, request, 1.0)
        for sock in backlog_fillers:
            await sock.close()

    curio.run(check)
