"""A request that comes late in a planned stop is answered or refused, and never cut off."""

from __future__ import annotations

import signal

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import SETTINGS_TEXT, answer_bytes, configuration, route, target
from gateway_site import free_ports, launch_gateway, until_ready

from carawayquay.membership import Address
from carawayquay_standins.platform_store import PlatformStoreStandIn

pytestmark = pytest.mark.processes

_HOST = "127.9.5.1"

#: Time from the stop signal at which look-ups that name the VM have expired.
_LATE_SECONDS = 3.3


class _Site:
    """A store, one target that works for some seconds, and one gateway that will be stopped."""

    def __init__(self, folder, work_seconds):
        self._path = folder / "gateway.ini"
        self._log = folder / "gateway.log"
        self._work_seconds = work_seconds
        self.arrived = []
        self.process = None
        self.callers = None

    async def start(self):
        store = PlatformStoreStandIn()
        ports = free_ports(_HOST, 5)
        store_sock = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, store_sock, store.http.serve, daemon=True)
        target_sock = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, target_sock, self._serve_target, daemon=True)
        registration = target(f"{_HOST}:{target_sock.getsockname()[1]}", max_concurrency=50)
        await store.put("servers", "t0", registration)
        slow = route(kind="non_idempotent", timeout="9000ms", target_latency="9000ms")
        quick = route(name="quick", path_prefix="/quick/", timeout="1000ms")
        await store.put("config", "main", configuration(slow, quick))
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", f"{_HOST}:{store_sock.getsockname()[1]}")
        for index, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{index}", f"{_HOST}:{port}")
        self._path.write_text(text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}"))
        self.callers = Address(_HOST, ports[0])
        self.process = launch_gateway(self._path, self._log)
        await until_ready(Address(_HOST, ports[1]))

    async def _serve_target(self, sock, _):
        data = b""
        while chunk := await sock.recv(65536):
            data += chunk
            if b"\r\n\r\n" not in data:
                continue
            line = next(it for it in data.split(b"\r\n") if it.lower().startswith(b"request-id"))
            self.arrived.append(line.split(b":")[1].strip().decode())
            await curio.sleep(self._work_seconds)
            await sock.sendall(answer_bytes(200, request_id=self.arrived[-1]))
            data = b""


async def _send_whole_request_late(site, path):
    """Send the head of a request before a stop and its body late in it; return the answer."""
    sock = await curio.open_connection(site.callers.host, site.callers.port)
    head = (
        f"POST {path} HTTP/1.1\r\nhost: stones.example\r\nrequest-id: late\r\n"
        "affinity-key: 1\r\ndeadline-ms: 9000\r\ncontent-length: 4\r\n\r\n"
    )
    await sock.sendall(head.encode())
    await curio.sleep(0.2)
    site.process.send_signal(signal.SIGTERM)
    await curio.sleep(_LATE_SECONDS)
    await sock.sendall(b"body")
    received = b""
    while data := await sock.recv(65536):
        received += data
    return received


def _on_site(tmp_path, work_seconds, check):
    async def go():
        site = _Site(tmp_path, work_seconds)
        try:
            await site.start()
            await check(site)
        finally:
            if site.process is not None and site.process.poll() is None:
                site.process.kill()
                site.process.wait()

    curio.run(go)


def test_late_request_that_may_outlast_a_planned_stop_is_refused_and_not_passed_on(tmp_path):
    async def check(site):
        answer = await _send_whole_request_late(site, "/reports/7")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"connection: close" in answer
        assert site.arrived == []

    _on_site(tmp_path, 3.0, check)


def test_late_request_that_ends_before_a_planned_stop_does_is_served(tmp_path):
    async def check(site):
        answer = await _send_whole_request_late(site, "/quick/7")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert site.arrived == ["late"]

    _on_site(tmp_path, 0.2, check)
