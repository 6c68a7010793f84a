"""A gateway process with low limits, and crowds of clients that read or send too slowly."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import SETTINGS_TEXT, configuration, target
from gateway_site import free_ports, launch_gateway, until_ready

from carawayquay.membership import Address
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient, HttpError
from carawayquay_wire.http_server import HttpServer

__all__ = ["DESCRIPTORS", "MEMORY_MB", "Crowd", "GatewaySite", "is_answered"]

_HOST = "127.9.44.1"

#: Limits in the settings of the gateway, which are also the bounds of the tests. The descriptors
#: are the fewest that the settings allow; the memory is below the smallest of an entry VM (152 MB).
MEMORY_MB = 128
DESCRIPTORS = 512

_BYTES_IN_MB = 1_000_000
_SMALL_BODY = b"x" * 500
_LARGE_BODY = b"x" * 200_000
_HUGE_BODY = b"x" * 540_000

#: Time in which an ordinary request has to get an answer, also if it is tried again.
_ORDINARY_SECONDS = 20.0

_STEP_SECONDS = 0.05
_READ_BYTES = 64
_RECEIVE_BUFFER_BYTES = 4096

_CALLER_HEAD = (
    b"%s /reports/%s HTTP/1.1\r\nhost: stones.example\r\nrequest-id: e1\r\ndeadline-ms: 3000\r\n"
)
_SMALL = _CALLER_HEAD % (b"GET", b"small") + b"\r\n"
_LARGE = _CALLER_HEAD % (b"GET", b"large") + b"\r\n"
_READY = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"
_LOOKUP = b"GET /resolve?domain=puget-a HTTP/1.1\r\nhost: x\r\n\r\n"
_UPLOAD = _CALLER_HEAD % (b"POST", b"small") + b"content-length: 1000\r\n\r\n" + b"x" * 1000

#: What each connection sends, how many bytes it sends and reads in a step (None for all, 0 for
#: none), by the name of the behaviour.
_BEHAVIOURS = {
    "small unread": (_SMALL * 10_000, None, 0),
    "large unread": (_LARGE * 10_000, None, 0),
    "large read slowly": (_LARGE * 1000, None, _READ_BYTES),
    "ready unread": (_READY * 30_000, None, 0),
    "lookups unread": (_LOOKUP * 20_000, None, 0),
    "slow heads": (_LARGE, 1, _READ_BYTES),
    "slow bodies": (_UPLOAD, 1, _READ_BYTES),
    "at rest": (b"", None, 0),
}


class GatewaySite:
    """A gateway process with low limits, its store, and a target.

    :param memory_mb: memory that its settings allow, in MB
    :param descriptors: descriptors that its settings allow
    :ivar store: the store's stand-in
    """

    def __init__(self, folder, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
        self.store = PlatformStoreStandIn()
        self._limits = f"[limits]\nmemory_mb = {memory_mb}\ndescriptors = {descriptors}\n"
        self._folder = folder
        self._process = None
        self._ports = ()

    async def start(self):
        """Start everything and wait until the gateway is ready."""
        store = self.store
        sock = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, sock, store.http.serve, daemon=True)
        await store.put("servers", "t1", target(await _start_target(), max_concurrency=50))
        await store.put("config", "main", configuration())
        self._launch(f"{_HOST}:{sock.getsockname()[1]}")
        await until_ready(self.ready)

    def _launch(self, store):
        self._ports = ports = free_ports(_HOST, 5)
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", store)
        text = text.replace("127.0.0.1:7004,127.0.0.2:7004", f"{_HOST}:{ports[3]}")
        for position, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{position}", f"{_HOST}:{port}")
        text = text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}")
        path = self._folder / "gateway.ini"
        path.write_text(text + self._limits)
        self._process = launch_gateway(path, path.with_suffix(".log"))

    @property
    def callers(self):
        """Where callers send requests."""
        return Address(_HOST, self._ports[0])

    @property
    def ready(self):
        """Where the platform checks readiness."""
        return Address(_HOST, self._ports[1])

    @property
    def lookups(self):
        """Where callers look VMs up."""
        return Address(_HOST, self._ports[2])

    @property
    def admin(self):
        """Where operators and other VMs ask for state and objects."""
        return Address(_HOST, self._ports[3])

    @property
    def peer_requests(self):
        """Where other VMs send requests of their callers."""
        return Address(_HOST, self._ports[4])

    @property
    def pid(self):
        """The id of the process."""
        return self._process.pid

    @property
    def alive(self):
        """Whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_mb(self):
        """The most resident memory that the process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / _BYTES_IN_MB

    @property
    def descriptors(self):
        """The descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def answers_request(self):
        """Return whether an ordinary request gets its answer."""
        headers = (
            (b"host", b"stones.example"),
            (b"request-id", b"c1"),
            (b"deadline-ms", b"3000"),
        )
        return await is_answered(self.callers, HttpRequest("GET", "/reports/small", headers, b""))

    async def answers_ready_check(self):
        """Return whether an ordinary readiness check gets its answer."""
        return await is_answered(self.ready, HttpRequest("GET", "/ready", (), b""))

    async def answers_lookup(self):
        """Return whether an ordinary look-up gets its answer."""
        lookup = HttpRequest("GET", "/resolve?domain=puget-a", (), b"")
        return await is_answered(self.lookups, lookup)

    async def configuration_version(self):
        """Return the version of the configuration in force, 0 without an answer."""
        try:
            answer = await HttpClient().exchange(
                self.admin, HttpRequest("GET", "/dump", (), b""), 5.0
            )
        except HttpError:
            return 0
        return json.loads(answer.body)["configuration"]

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def stop(self):
        """End the gateway."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Crowd:
    """Connections with one behaviour in a process of their own, which are not opened again."""

    def __init__(self, address, behaviour, connections):
        arguments = (address.host, address.port, behaviour, connections)
        self._process = subprocess.Popen([sys.executable, __file__, *map(str, arguments)])

    def close(self):
        """End the process."""
        self._process.kill()
        self._process.wait()


async def _start_target():
    sock = tcp_server_socket(_HOST, 0)
    server = HttpServer(_serve, lambda status, _: HttpResponse(status))
    await curio.spawn(run_server, sock, server.serve, daemon=True)
    return Address(_HOST, sock.getsockname()[1])


async def _serve(request):
    if request.target.startswith("/health"):
        return HttpResponse(200)
    bodies = {"/reports/large": _LARGE_BODY, "/reports/huge": _HUGE_BODY}
    body = bodies.get(request.target, _SMALL_BODY)
    headers = (
        (b"request-id", request.header(b"request-id").encode()),
        (b"server-stamp", b"s1"),
    )
    return HttpResponse(200, headers, body)


async def is_answered(address, request):
    """Send a request, again after a refusal or without an answer, and return whether it got 200."""
    client = HttpClient()
    ends = time.monotonic() + _ORDINARY_SECONDS
    while time.monotonic() < ends:
        with contextlib.suppress(HttpError):
            if (await client.exchange(address, request, 5.0)).status == 200:
                return True
        await curio.sleep(0.2)
    return False


class _Client:
    def __init__(self, address, data, step_bytes, read_bytes):
        self._left = memoryview(data)
        self._step_bytes = step_bytes
        self._read_bytes = read_bytes
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._sock.settimeout(5.0)
        self._sock.connect(address)
        self._sock.setblocking(False)

    def step(self):
        """Send and read what belongs to one step."""
        with contextlib.suppress(BlockingIOError):
            sent = self._sock.send(self._left[: self._step_bytes])
            self._left = self._left[sent:]
        if self._read_bytes:
            with contextlib.suppress(BlockingIOError):
                self._sock.recv(self._read_bytes)


def _play(host, port, behaviour, connections):
    clients = []
    while True:
        if len(clients) < int(connections):
            with contextlib.suppress(OSError):
                clients += [_Client((host, int(port)), *_BEHAVIOURS[behaviour]) for _ in range(10)]
        for client in clients:
            with contextlib.suppress(OSError):
                client.step()
        time.sleep(_STEP_SECONDS)


if __name__ == "__main__":
    _play(*sys.argv[1:])
