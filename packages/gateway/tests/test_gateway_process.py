"""A gateway process recovers from kills and outages, and a planned stop drops no request."""

from __future__ import annotations

import signal
import time

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import (
    SETTINGS_TEXT,
    answer_bytes,
    configuration,
    request,
    route,
    target,
)
from gateway_site import free_ports, launch_gateway, status_of, until_ready

from carawayquay.membership import Address
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

pytestmark = pytest.mark.processes

_WORK_SECONDS = 0.3
_STOP_SECONDS = 6.0
_HOST = "127.9.0.1"


async def _serve_target(sock, _):
    while data := await sock.recv(65536):
        line = next(it for it in data.split(b"\r\n") if it.lower().startswith(b"request-id"))
        await curio.sleep(_WORK_SECONDS)
        request_id = line.split(b":")[1].strip().decode()
        await sock.sendall(answer_bytes(200, b"whole", request_id=request_id))


class Site:
    """A store, two targets and one gateway process."""

    def __init__(self, folder):
        self._path = folder / "gateway.ini"
        self._log = folder / "gateway.log"
        self.store = PlatformStoreStandIn()
        self.process = None

    async def start(self):
        ports = free_ports(_HOST, 5)
        store = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, store, self.store.http.serve, daemon=True)
        for index in range(2):
            sock = tcp_server_socket(_HOST, 0)
            await curio.spawn(run_server, sock, _serve_target, daemon=True)
            spec = target(f"{_HOST}:{sock.getsockname()[1]}", max_concurrency=50)
            await self.store.put("servers", f"t{index}", spec)
        await self.store.put("config", "main", configuration())
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", f"{_HOST}:{store.getsockname()[1]}")
        for index, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{index}", f"{_HOST}:{port}")
        self._path.write_text(text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}"))
        self.callers, self.ready, self.lookups, self.admin = (
            Address(_HOST, port) for port in ports[:4]
        )
        self.launch()
        await self.until_ready()
        return self

    def launch(self):
        self.process = launch_gateway(self._path, self._log)

    async def until_ready(self):
        await until_ready(self.ready)

    async def status(self, address, path):
        """Return the status of a GET request, or 0 without an answer."""
        return await status_of(address, path)

    async def text(self, address, path):
        """Return the body of the answer to a GET request."""
        plain = HttpRequest("GET", path, (), b"")
        return (await HttpClient().exchange(address, plain, 2.0)).body.decode()

    def change_settings(self, old, new):
        """Replace a text in the settings file."""
        self._path.write_text(self._path.read_text().replace(old, new))

    async def exited(self):
        async with curio.timeout_after(_STOP_SECONDS):
            while self.process.poll() is None:
                await curio.sleep(0.02)
        return self.process.returncode

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def _on_site(tmp_path, check):
    async def go():
        site = Site(tmp_path)
        try:
            await site.start()
            await check(site)
        finally:
            site.kill()

    curio.run(go)


async def _send(site, outcomes, client, index):
    """Send one request; record its status, or whether its connection was refused or cut."""
    try:
        answer = await client.exchange(site.callers, request(request_id=f"r{index}"), 5.0)
        outcomes.append(answer.status)
    except HttpError as error:
        outcomes.append("refused" if error.refused else f"cut: {error}")


def test_planned_stop_answers_every_request_that_was_accepted(tmp_path):
    async def check(site):
        outcomes = []
        client = HttpClient()
        async with curio.TaskGroup() as group:
            for index in range(120):
                await group.spawn(_send, site, outcomes, client, index)
                await curio.sleep(0.02)
                if index == 20:
                    site.process.send_signal(signal.SIGTERM)
                    stopped = time.monotonic()
                if index == 40:
                    assert await site.status(site.ready, "/ready") == 503
        assert await site.exited() == 0
        assert time.monotonic() - stopped < _STOP_SECONDS
        assert outcomes.count(200) >= 20
        assert [it for it in outcomes if it not in (200, "refused")] == []
        assert site.store.object("carawayquay-entry-vms", "puget-a-1") is None

    _on_site(tmp_path, check)


def test_killed_gateway_serves_again_after_a_restart(tmp_path):
    async def check(site):
        site.kill()
        assert await site.status(site.ready, "/ready") == 0
        site.launch()
        await site.until_ready()
        outcomes = []
        await _send(site, outcomes, HttpClient(), 1)
        assert outcomes == [200]

    _on_site(tmp_path, check)


def test_gateway_keeps_serving_while_the_store_is_down(tmp_path):
    async def check(site):
        site.store.faults.down = True
        outcomes = []
        for index in range(5):
            await _send(site, outcomes, HttpClient(), index)
        assert outcomes == [200] * 5
        assert await site.status(site.ready, "/ready") == 200

    _on_site(tmp_path, check)


def test_state_metrics_and_look_ups_are_shown_on_request(tmp_path):
    async def check(site):
        assert await site.status(site.admin, "/dump") == 200
        assert await site.status(site.admin, "/metrics") == 200
        assert await site.status(site.lookups, "/resolve?name=x&region=puget&zone=puget-a") == 200
        assert await site.status(site.lookups, "/other") == 404

    _on_site(tmp_path, check)


def test_invalid_route_does_not_affect_other_routes(tmp_path):
    async def check(site):
        known = [route(), route(name="r-2", path_prefix="/new/", kind="a kind of later")]
        broken = [route(name="r-3", path_prefix="/broken/", timeout=["soon"])]
        await site.store.put("config", "main", configuration(*known, *broken, version=2))
        client = HttpClient()

        async def status(path):
            return (await client.exchange(site.callers, request(path=path), 5.0)).status

        while await status("/new/x") != 200:
            await curio.sleep(0.05)
        assert await status("/reports/7") == 200
        assert await status("/broken/x") == 503
        assert await status("/nowhere/") == 404
        text = await site.text(site.admin, "/metrics")
        assert 'configuration_remarks_total{effect="refused"} 1' in text
        assert 'configuration_remarks_total{effect="assumed"} 1' in text
        assert "a kind of later" in await site.text(site.admin, "/dump")

    _on_site(tmp_path, check)


def test_settings_that_change_under_load_drop_no_request(tmp_path):
    async def check(site):
        outcomes = []
        client = HttpClient()
        async with curio.TaskGroup() as group:
            for index in range(60):
                await group.spawn(_send, site, outcomes, client, index)
                await curio.sleep(0.02)
                if index % 10 == 5:
                    site.change_settings("retry_window = 10s", f"retry_window = {index}s")
                    site.process.send_signal(signal.SIGHUP)
                if index == 30:
                    site.change_settings("cold_over = 1.5", "cold_over = not a number")
                    site.process.send_signal(signal.SIGHUP)
        assert outcomes == [200] * 60
        assert "cold_over" in await site.text(site.admin, "/dump")

    _on_site(tmp_path, check)
