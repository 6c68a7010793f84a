"""Targets that record every request, and drain, leave and close kept connections as told."""

from __future__ import annotations

import time
from contextlib import suppress

import curio
from curio.network import tcp_server_socket
from gateway_builders import answer_bytes, target

from carawayquay.membership import Address
from carawayquay_wire.listener import Listener

_MISDIRECTED_STATUS = 421

#: Shares of slow answers, and their times; the others take a few milliseconds.
_SLOW_WORK = ((0.004, 3.5), (0.03, 0.8))
_QUICK_WORK_SECONDS = (0.002, 0.04)

#: Share of answers after which a target closes the connection, with and without saying so.
_ANNOUNCED_CLOSE_SHARE = 0.02
_SILENT_CLOSE_SHARE = 0.02

#: Time that a target that leaves waits for the answers in work.
_LEAVE_SECONDS = 5.0


async def read_message(sock, data=b""):
    """Read a request or an answer with a content-length; return head, body and the bytes after.

    :raises EOFError: if the connection ends before the message is complete
    """
    while b"\r\n\r\n" not in data:
        data += await _read(sock)
    head, _, rest = data.partition(b"\r\n\r\n")
    length = int(header(head, b"content-length") or 0)
    while len(rest) < length:
        rest += await _read(sock)
    return head, rest[:length], rest[length:]


async def _read(sock):
    data = await sock.recv(65536)
    if not data:
        raise EOFError
    return data


def header(head, name):
    """Return the value of a header in the bytes of a message's head, or None."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return None


def free_address(host):
    """Return an address of a host that is free now."""
    sock = tcp_server_socket(host, 0)
    port = sock.getsockname()[1]
    sock._socket.close()
    return Address(host, port)


class RecordingTarget:
    """Target that records whole requests in a journal and answers each of them.

    :param idle_seconds: time after which it closes an idle connection
    :param states_timeout: whether its answers state that time
    """

    def __init__(self, name, service, address, journal, random, idle_seconds, states_timeout):
        self.name = name
        self.service = service
        self.address = address
        self._journal = journal
        self._random = random
        self._idle_seconds = idle_seconds
        self._states_timeout = states_timeout
        self._listener = Listener(address, self._serve)
        self._task = None
        self._leaving = False
        self._working = 0
        self._idle = set()

    def registration(self, **changes):
        """Return its registration in the platform's format."""
        fields = {"service": self.service, "max_concurrency": 50}
        return target(self.address, **fields, **changes)

    async def start(self):
        """Listen at its address."""
        self._task = await curio.spawn(self._listener.run, daemon=True)

    async def close_idle(self):
        """Close the idle connections."""
        for sock in list(self._idle):
            with suppress(OSError):
                await sock.shutdown(2)

    async def leave(self):
        """Stop listening, finish the requests in work, and close all connections."""
        self._leaving = True
        await self._listener.close()
        await self._task.join()
        await self.close_idle()
        async with curio.ignore_after(_LEAVE_SECONDS):
            while self._working:
                await curio.sleep(0.02)

    async def _serve(self, sock, _):
        rest = b""
        with suppress(EOFError, OSError):
            while True:
                self._idle.add(sock)
                try:
                    async with curio.timeout_after(self._idle_seconds):
                        head, _, rest = await read_message(sock, rest)
                except curio.TaskTimeout:
                    return
                finally:
                    self._idle.discard(sock)
                self._working += 1
                try:
                    if not await self._answer(sock, head):
                        return
                finally:
                    self._working -= 1

    async def _answer(self, sock, head):
        """Answer a request and return whether the connection stays open."""
        request_id = header(head, b"request-id")
        fields = {"request_id": request_id}
        if header(head, b"expect-instance") != self.name:
            await sock.sendall(answer_bytes(_MISDIRECTED_STATUS, not_executed="1", **fields))
            return True
        record = self._journal.note_arrival(request_id)
        try:
            await curio.sleep(self._work_seconds())
        except curio.CancelledError:
            record.broken_off = True
            raise
        drawn = self._random.random()
        closes = self._leaving or drawn < _ANNOUNCED_CLOSE_SHARE + _SILENT_CLOSE_SHARE
        if closes and (self._leaving or drawn < _ANNOUNCED_CLOSE_SHARE):
            fields["connection"] = "close"
        elif self._states_timeout:
            fields["keep_alive"] = f"timeout={int(self._idle_seconds)}"
        await sock.sendall(answer_bytes(200, self.name.encode() * 20, **fields))
        record.finished_at = time.monotonic()
        return not closes

    def _work_seconds(self):
        drawn = self._random.random()
        for share, seconds in _SLOW_WORK:
            if drawn < share:
                return seconds
        return self._random.uniform(*_QUICK_WORK_SECONDS)
