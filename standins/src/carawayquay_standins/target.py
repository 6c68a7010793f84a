"""Stand-in for a target that records every run, with injected faults."""

from __future__ import annotations

import json
import os
import secrets
import time
from typing import Any

import attrs
import curio

from carawayquay_wire.http import HttpLimits, HttpRequest, HttpResponse, json_response
from carawayquay_wire.http_server import HttpServer

__all__ = ["Behaviour", "TargetStandIn"]

#: Part of a request's body that makes the target exit instead of running the request.
_CRASH_MARKER = b"poison"


@attrs.define
class Behaviour:
    """Run time and faults of the target.

    :param work_ms: run time of a request on the warm target in milliseconds, unless the request
        gives its own in the header ``x-work-ms``
    :param cold_factor: run time on the cold target as a multiple of that on the warm target
    :param warm_after: number of runs over which the factor falls linearly to 1; the first run
        already counts, so that no run is cold if this is 1
    :param silent: accept requests and health checks and never answer them
    :param silence_open: drop all further bytes on the connections that are now open, except the
        newest, which carries this command
    :param lose_answers: number of requests to run without an answer
    :param healthy: health that the health path reports
    :param reported_load: load that the health path reports; None for the number of runs in progress
    :param draining: report draining and refuse new requests
    :param die_before: exit before the next run
    :param die_after: exit after the next run, before its answer
    """

    work_ms: float = 5.0
    cold_factor: float = 1.0
    warm_after: int = 1
    silent: bool = False
    silence_open: bool = False
    lose_answers: int = 0
    healthy: bool = True
    reported_load: int | None = None
    draining: bool = False
    die_before: bool = False
    die_after: bool = False


@attrs.define
class Run:
    """One run of a request.

    :param key: idempotency key, or empty
    :param started_ms: start in milliseconds on the monotonic clock
    :param finished_ms: end on the same clock; None while running, or if cancelled
    :param cancelled: whether the run was cancelled before it ended
    """

    key: str
    path: str
    started_ms: float
    finished_ms: float | None = None
    cancelled: bool = False


class TargetStandIn:
    """HTTP server with a concurrency limit that rejects and counts excess requests.

    :param slots: concurrency limit
    """

    def __init__(self, name: str, slots: int, behaviour: Behaviour | None = None) -> None:
        self._name = name
        self._slots = slots
        self._behaviour = behaviour or Behaviour()
        self._boot = secrets.token_hex(4)
        self._runs: list[Run] = []
        self._running = 0
        self._most_running = 0
        self._offered_over = 0
        self._late_refused = 0
        self._silenced_connections: set[int] = set()
        self._open_connections: dict[int, None] = {}
        self.http = HttpServer(self._handle, _error_response, HttpLimits())

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        connection = id(sock)
        self._open_connections[connection] = None
        try:
            await self.http.serve(
                _BlackholeSocket(sock, self._silenced_connections, connection), address
            )
        finally:
            del self._open_connections[connection]
            self._silenced_connections.discard(connection)

    async def _handle(self, request: HttpRequest) -> HttpResponse | None:
        match request.target:
            case "/health":
                return await self._health()
            case "/control":
                return self._control(request)
            case "/runs":
                return self._runs_report()
        if self._behaviour.silent:
            await curio.sleep(3600)
        return await self._run(request)

    async def _health(self) -> HttpResponse:
        if self._behaviour.silent:
            await curio.sleep(3600)
        load = self._behaviour.reported_load
        value = {
            "healthy": self._behaviour.healthy,
            "draining": self._behaviour.draining,
            "load": self._running if load is None else load,
            "boot": self._boot,
            "clock_ms": _now_ms(),
        }
        return json_response(200, value)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            self._behaviour = attrs.evolve(self._behaviour, **json.loads(request.body))
            if self._behaviour.silence_open:
                self._silenced_connections.update(list(self._open_connections)[:-1])
                self._behaviour.silence_open = False
        return json_response(200, attrs.asdict(self._behaviour))

    def _runs_report(self) -> HttpResponse:
        value = {
            "name": self._name,
            "slots": self._slots,
            "most_running": self._most_running,
            "offered_over": self._offered_over,
            "late_refused": self._late_refused,
            "runs": [attrs.asdict(run) for run in self._runs],
        }
        return json_response(200, value)

    async def _run(self, request: HttpRequest) -> HttpResponse | None:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        if self._behaviour.die_before or _CRASH_MARKER in request.body:
            os._exit(1)
        run = Run(request.header(b"idempotency-key") or "", request.target, _now_ms())
        self._runs.append(run)
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        try:
            await curio.sleep(self._work_seconds(request))
        except curio.CancelledError:
            run.cancelled = True
            raise
        finally:
            self._running -= 1
        run.finished_ms = _now_ms()
        if self._behaviour.die_after:
            os._exit(1)
        if self._behaviour.lose_answers > 0:
            self._behaviour.lose_answers -= 1
            return None
        return self._answer(request, run)

    def _refusal(self, request: HttpRequest) -> HttpResponse | None:
        """Return the refusal of a request that must not run, or None if it may run."""
        deadline = request.header(b"start-by-ms")
        if deadline is not None and _now_ms() > float(deadline):
            self._late_refused += 1
            return _not_run("deadline")
        if request.header(b"target-boot") not in (None, self._boot):
            return _not_run("boot")
        if self._running >= self._slots:
            self._offered_over += 1
            return _not_run("full")
        if self._behaviour.draining:
            return _not_run("draining")
        return None

    def _work_seconds(self, request: HttpRequest) -> float:
        work_ms = float(request.header(b"x-work-ms") or self._behaviour.work_ms)
        remaining_cold_fraction = max(0.0, 1 - len(self._runs) / max(1, self._behaviour.warm_after))
        return work_ms * (1 + (self._behaviour.cold_factor - 1) * remaining_cold_fraction) / 1000

    def _answer(self, request: HttpRequest, run: Run) -> HttpResponse:
        value: dict[str, Any] = {
            "target": self._name,
            "path": request.target,
            "key": run.key,
            "echo": request.body.decode("latin-1"),
        }
        return json_response(200, value)


class _BlackholeSocket:
    """Socket that drops all received and sent bytes once its connection is silenced.

    :param silenced: ids of the silenced connections, shared with the target
    :param connection: id of this connection
    """

    def __init__(self, sock: Any, silenced: set[int], connection: int) -> None:
        self._sock = sock
        self._silenced_connections = silenced
        self._connection = connection

    async def recv(self, size: int) -> bytes:
        """Return received bytes; once silenced, drop them and block until the peer closes."""
        data = await self._sock.recv(size)
        while self._connection in self._silenced_connections and data:
            data = await self._sock.recv(size)
        return data

    async def send(self, data: bytes) -> int:
        """Send bytes and return how many were taken; once silenced, drop them all."""
        if self._connection in self._silenced_connections:
            return len(data)
        return await self._sock.send(data)

    async def sendall(self, data: bytes) -> None:
        """Send bytes; once silenced, drop them."""
        if self._connection not in self._silenced_connections:
            await self._sock.sendall(data)

    async def shutdown(self, how: int) -> None:
        """Shut the connection down."""
        await self._sock.shutdown(how)


def _not_run(reason: str) -> HttpResponse:
    return json_response(503, {"error": reason}, ((b"not-run", reason.encode()),))


def _error_response(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})


def _now_ms() -> float:
    return time.monotonic() * 1000
