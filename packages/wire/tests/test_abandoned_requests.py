"""A request that was given up is not delivered later by the kernel."""

from __future__ import annotations

import socket

import curio
import curio.io
import curio.network
import pytest

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

_HOST = "127.9.40.1"

#: Receive buffer of a server that reads nothing, far smaller than the request.
_SERVER_BUFFER_BYTES = 4096
_LONG_REQUEST = HttpRequest("GET", "/stones", ((b"x-filler", b"a" * 60_000),), b"")
_SHORT_REQUEST = HttpRequest("GET", "/stones", (), b"")


def _start_stalled_server():
    """Return a listening socket whose connections take in few bytes until they are read."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SERVER_BUFFER_BYTES)
    listener.bind((_HOST, 0))
    listener.listen()
    return listener


async def _read_all(listener):
    """Accept a connection and return what it delivers, and whether it ends with a reset."""
    connection = curio.io.Socket(listener.accept()[0])
    received = b""
    async with connection, curio.timeout_after(5.0):
        try:
            while part := await connection.recv(65536):
                received += part
        except ConnectionResetError:
            return received, True
    return received, False


def _deliver_after(give_up):
    """Return what a stalled server reads after a request to it was given up."""

    async def go():
        with _start_stalled_server() as listener:
            await give_up(HttpClient(), Address(*listener.getsockname()))
            return await _read_all(listener)

    return curio.run(go)


async def _time_out(client, address):
    with pytest.raises(HttpError) as caught:
        await client.exchange(address, _LONG_REQUEST, 0.2)
    assert caught.value.timed_out


async def _cancel(client, address):
    exchange = await curio.spawn(client.exchange, address, _LONG_REQUEST, 5.0)
    await curio.sleep(0.2)
    await exchange.cancel()


@pytest.mark.parametrize("give_up", [_time_out, _cancel])
def test_request_that_was_given_up_is_not_delivered_later(give_up):
    received, was_reset = _deliver_after(give_up)
    assert not received.endswith(b"\r\n\r\n")
    assert was_reset


@pytest.mark.parametrize("keep_alive", [b"", b"connection: close\r\n"])
def test_connection_whose_request_was_answered_is_closed_in_order(keep_alive):
    async def go():
        ends = []

        async def answer(sock, _):
            await sock.recv(65536)
            await sock.sendall(b"HTTP/1.1 204 X\r\n" + keep_alive + b"\r\n")
            try:
                ends.append(await sock.recv(65536))
            except ConnectionResetError:
                ends.append("reset")

        listener = curio.tcp_server_socket(_HOST, 0)
        await curio.spawn(curio.network.run_server, listener, answer, daemon=True)
        client = HttpClient()
        await client.exchange(Address(*listener.getsockname()), _SHORT_REQUEST, 1.0)
        await client.close()
        while not ends:
            await curio.sleep(0.01)
        return ends

    async def bounded():
        return await curio.timeout_after(5.0, go)

    assert curio.run(bounded) == [b""]
