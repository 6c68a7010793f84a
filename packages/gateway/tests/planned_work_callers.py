"""Callers that keep connections open and watch each of them to its end."""

from __future__ import annotations

import time

import curio
from planned_work_records import RequestRecord
from planned_work_targets import header, read_message

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError
from carawayquay_wire.socket_readiness import is_readable

_PATHS = ("/reports/7", "/reports/8", "/moved/1", "/added/1")
_DEADLINES_MS = (1000, 4000, 4000, 9000)

#: Time beyond a request's deadline after which a caller gives up on its answer.
_GIVE_UP_SECONDS = 2.0

#: Longest pause between two requests, unless the caller waits for about the idle limit.
_MAX_PAUSE_SECONDS = 0.08
_IDLE_SHARES = (0.75, 1.15)
_LONG_PAUSE_SHARE = 0.04

#: Share of requests that are sent in two parts, and the longest time between these.
_SPLIT_SHARE = 0.1
_MAX_SPLIT_SECONDS = 0.2

_LOOKUP_SECONDS = 1.0
_RETRY_SECONDS = 0.1


class KeptCaller:
    """Caller that sends requests on one kept connection after the other.

    :param patience: factor of a look-up's life for which the caller uses its answer
    :param heedless: whether it sends on a kept connection without a look at whether that was closed
    """

    def __init__(self, name, site, patience, heedless):
        self._name = name
        self._site = site
        self._patience = patience
        self._heedless = heedless
        self._random = site.random
        self._client = HttpClient()
        self._count = 0
        self._listed = []
        self._listed_until = 0.0

    async def run(self):
        """Send requests until the site stops its callers."""
        while not self._site.stopping_callers:
            address = await self._pick_address()
            try:
                sock = await curio.timeout_after(
                    1.0, curio.open_connection, address.host, address.port
                )
            except (OSError, curio.TaskTimeout):
                await curio.sleep(_RETRY_SECONDS)
                continue
            async with sock:
                await self._use(sock, address)

    async def _use(self, sock, address):
        """Send requests on a connection until it may not be used any more."""
        vm, reused = self._site.vm_at(address), False
        while not self._site.stopping_callers:
            if not await self._exchange(sock, vm, reused):
                return
            reused = True
            await curio.sleep(self._pause_seconds())
            await self._look_up()
            if address not in self._listed or (not self._heedless and is_readable(sock)):
                return

    async def _exchange(self, sock, vm, reused):
        """Send a request, record how it ends, and return whether the connection may be reused."""
        self._count += 1
        record = RequestRecord(f"{self._name}-{self._count}", vm, reused, time.monotonic())
        self._site.journal.add(record)
        deadline_ms = self._random.choice(_DEADLINES_MS)
        head = b""
        try:
            await self._send(sock, record, deadline_ms)
            async with curio.timeout_after(deadline_ms / 1000 + _GIVE_UP_SECONDS):
                head, _, _ = await read_message(sock)
            record.status = int(head[9:12])
        except curio.TaskTimeout:
            record.end = "timeout"
        except EOFError:
            record.end = "fin"
        except OSError:
            record.end = "reset"
        record.ended_at = time.monotonic()
        if record.status is not None and header(head, b"request-id") not in (record.request_id,):
            self._site.journal.failures.append(f"answer of another request: {record} {head}")
        return record.status is not None and header(head, b"connection") != "close"

    async def _send(self, sock, record, deadline_ms):
        body = b"x" * self._random.choice((0, 0, 30, 3000))
        lines = [
            f"POST {self._random.choice(_PATHS)} HTTP/1.1",
            "host: stones.example",
            f"request-id: {record.request_id}",
            f"affinity-key: k{self._random.randrange(40)}",
            f"deadline-ms: {deadline_ms}",
            f"content-length: {len(body)}",
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        if self._random.random() < _SPLIT_SHARE:
            cut = self._random.randrange(1, len(data))
            await sock.sendall(data[:cut])
            await curio.sleep(self._random.uniform(0, _MAX_SPLIT_SECONDS))
            data = data[cut:]
        record.sent_at = time.monotonic()
        await sock.sendall(data)

    def _pause_seconds(self):
        if self._random.random() < _LONG_PAUSE_SHARE:
            return self._random.uniform(*_IDLE_SHARES) * self._site.idle_seconds
        return self._random.uniform(0, _MAX_PAUSE_SECONDS)

    async def _pick_address(self):
        await self._look_up()
        while not self._listed:
            await curio.sleep(_RETRY_SECONDS)
            await self._look_up()
        return self._random.choice(self._listed)

    async def _look_up(self):
        """Renew the listed addresses when their life is over; keep them without a new answer."""
        if time.monotonic() < self._listed_until:
            return
        path = "/resolve?name=stones.example&region=puget&zone=puget-a"
        for lookups in self._random.sample(self._site.lookups, len(self._site.lookups)):
            try:
                answer = await self._client.exchange(
                    lookups, HttpRequest("GET", path, (), b""), _LOOKUP_SECONDS
                )
            except HttpError:
                continue
            found = answer.json()
            self._listed = [Address.parse(text) for text in found["addresses"]]
            life = int(found["ttl"].removesuffix("ms")) / 1000
            self._listed_until = time.monotonic() + life * self._patience
            return
