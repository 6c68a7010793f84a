"""Launches a small site of real processes on one machine and waits for its state."""

from __future__ import annotations

import json
import os
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.errors import CarawayquayError
from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from carawayquay_standins.layout import Layout, Service

__all__ = ["Process", "Site", "SiteError", "exchange", "free_address", "http_request", "wait_until"]

_HOST = "127.0.0.1"
_PORTS = range(15000, 32000)
_START_SECONDS = 20.0
_STOP_SECONDS = 40.0
_POLL_SECONDS = 0.02

_allocated_ports: set[int] = set()


class SiteError(Exception):
    """A process of the site failed, or a condition was not met in time."""


@attrs.define
class Process:
    """One process of the site, with log, pid, command and address files in the site's folder.

    :param address: address of its HTTP interface: administration, control or calls
    """

    name: str
    command: list[str]
    address: Address
    folder: Path
    popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start.

        :raises SiteError: if the process was never started
        """
        if self.popen is None:
            raise SiteError(f'process "{self.name}" was not started')
        return self.popen.pid

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process and write its pid, command and address files; append to its log."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        (self.folder / f"{self.name}.pid").write_text(f"{self.popen.pid}\n")
        (self.folder / f"{self.name}.command").write_text(f"{shlex.join(self.command)}\n")
        (self.folder / f"{self.name}.address").write_text(f"{self.address}\n")

    def signal(self, signal_number: int) -> None:
        """Send the process a signal if it is running."""
        if self.running:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(_STOP_SECONDS)

    def freeze(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process after a freeze."""
        self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop the process gracefully and return its exit status.

        :raises SiteError: if it was never started or does not end in time
        """
        self.signal(signal.SIGTERM)
        if self.popen is None:
            raise SiteError(f'process "{self.name}" was not started')
        try:
            return self.popen.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired as error:
            raise SiteError(
                f'process "{self.name}" did not stop within {_STOP_SECONDS} s'
            ) from error


class Site:
    """A store, targets and entry VMs as processes, with their files in one folder.

    :ivar callers: addresses at which the entry VMs listen for callers, by VM name
    :ivar peers: addresses that the VM lists and seeds give for peer connections, by VM name
    """

    def __init__(self, layout: Layout, folder: Path) -> None:
        self._layout = layout
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.store = self._stand_in("store", ["store"])
        self.targets: dict[str, Process] = {}
        self.vms: dict[str, Process] = {}
        self.callers: dict[str, Address] = {}
        self.peers: dict[str, Address] = {}
        self._locations: dict[str, tuple[str, str]] = {}
        for service in layout.services:
            for region, domain in layout.domains:
                self._add_targets(service, region, domain)
        for region, domain in layout.domains:
            for index in range(layout.vms_per_domain):
                self.add_vm(f"{domain}-{index + 1}", region, domain)

    @property
    def folder(self) -> Path:
        """Folder with the files of the processes."""
        return self._folder

    @property
    def layout(self) -> Layout:
        """Layout of the site."""
        return self._layout

    @property
    def processes(self) -> list[Process]:
        """All processes in starting order."""
        return [self.store, *self.targets.values(), *self.vms.values()]

    def vms_in_domain(self, domain: str) -> list[str]:
        """Return the names of the entry VMs of a failure domain."""
        return [name for name, (_, place) in self._locations.items() if place == domain]

    def document(self, service: Service, **changes: Any) -> dict[str, Any]:
        """Return the document of a service.

        :param changes: document keys to replace
        """
        slots = service.slots * service.targets_per_domain * self._layout.domains_per_region
        targets = [
            {
                "name": name,
                "region": region,
                "domain": domain,
                "address": str(self.targets[name].address),
                "slots": service.slots,
            }
            for region, domain in self._layout.domains
            for name in self._target_names(service, domain)
        ]
        regions = self._layout.regions
        order = {home: [home, *(r for r in regions if r != home)] for home in regions}
        document = {
            "service": service.name,
            "regions": {region: {"limit": slots} for region in regions},
            "targets": targets,
            "order": order,
        }
        return {**document, **service.document, **changes}

    def up(self) -> None:
        """Start all processes and wait until every entry VM is ready to serve.

        :raises SiteError: if the site is not ready in time
        """
        self.write_operator_settings()
        self.store.start()
        wait_until(lambda: _answers_ok(self.store.address, "/control"), "the store answers")
        for region, domain in self._layout.domains:
            self.publish_vm_list(region, domain)
        for service in self._layout.services:
            self.write_document(service.name, self.document(service), replaces=0)
        for process in [*self.targets.values(), *self.vms.values()]:
            process.start()
        for process in self.targets.values():
            wait_until(
                lambda p=process: _answers_ok(p.address, "/health"), f"{process.name} answers"
            )
        for name in self.vms:
            self.wait_ready(name)

    def write_operator_settings(self) -> Path:
        """Write the settings file of ``carawayquayctl`` and return its path."""
        admins = "".join(f"{name} = {process.address}\n" for name, process in self.vms.items())
        path = self._folder / "carawayquayctl.ini"
        path.write_text(f"[store]\naddress = {self.store.address}\n\n[admin]\n{admins}")
        return path

    def wait_ready(self, name: str) -> None:
        """Wait until an entry VM can serve.

        It then has all documents and VM lists, filled backups of its claim shards, and slots of the
        targets that it uses.

        :raises SiteError: if that takes too long
        """
        services = len(self._layout.services)
        domains = len(self._layout.domains)

        def ready() -> bool:
            state = self.state(name)
            known = len(state["documents"]) >= services and len(state["vms"]) >= domains
            known = known and (
                self._is_only_vm_in_region(name) or _claims_ready(state, self._locations[name][1])
            )
            targets = state["targets"].values()
            return known and all(map(_ready_to_serve, targets))

        wait_until(ready, f"{name} has its documents, claim shards and slots")

    def _is_only_vm_in_region(self, name: str) -> bool:
        """Return whether an entry VM is alone in its region, so has no backup for its claims."""
        region = self._locations[name][0]
        return [place for place, _ in self._locations.values()].count(region) == 1

    def down(self) -> None:
        """Kill all processes in reverse starting order."""
        for process in reversed(self.processes):
            process.thaw()
            process.kill()

    def state(self, name: str) -> Any:
        """Return the state dump of an entry VM."""
        return http_request(self.vms[name].address, "GET", "/state").json()

    def stored(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object of the store as a mapping with its version and value."""
        return http_request(self.store.address, "GET", f"/objects/{kind}/{name}").json()

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs recorded by all targets that are running."""
        recorded_runs = []
        for process in self.targets.values():
            if process.running:
                recorded_runs.extend(http_request(process.address, "GET", "/runs").json()["runs"])
        return recorded_runs

    def control(self, process: Process, **fields: Any) -> None:
        """Set faults or behaviour of a stand-in.

        :param fields: attributes of its ``Faults`` or ``Behaviour``; omitted attributes of
            ``Faults`` return to their defaults, those of ``Behaviour`` keep their values
        """
        http_request(process.address, "POST", "/control", fields)

    def write_document(self, service: str, document: Mapping[str, Any], replaces: int) -> int:
        """Write a document without validation and return its version."""
        return self._write("documents", service, {"change": "site", "document": document}, replaces)

    def publish_vm_list(
        self, region: str, domain: str, *leaving: str, without: tuple[str, ...] = ()
    ) -> int:
        """Write a failure domain's VM list to the store and return its version.

        :param leaving: entry VMs to list as leaving
        :param without: entry VMs to leave out of the list
        """
        members = [
            {
                "name": name,
                "region": region,
                "callers": str(self.callers[name]),
                "peers": str(self.peers[name]),
                "admin": str(self.vms[name].address),
                "state": "leaving" if name in leaving else "live",
            }
            for name in self.vms_in_domain(domain)
            if name not in without
        ]
        stored_list = http_request(self.store.address, "GET", f"/objects/vms/{domain}")
        replaces = stored_list.json()["version"] if stored_list.status == 200 else 0
        return self._write("vms", domain, {"vms": members}, replaces)

    def add_vm(self, name: str, region: str, domain: str) -> Process:
        """Add an entry VM and write its settings file, without starting it."""
        callers, peers, admin = (free_address() for _ in range(3))
        self.callers[name] = callers
        self.peers[name] = peers
        self._locations[name] = (region, domain)
        settings = self._folder / f"{name}.ini"
        seeds = ", ".join(str(address) for vm, address in self.peers.items() if vm != name)
        settings.write_text(
            f"[vm]\nname = {name}\ndomain = {domain}\nregion = {region}\n\n"
            f"[listen]\ncallers = {callers}\npeers = {peers}\nadmin = {admin}\n\n"
            f"[store]\naddress = {self.store.address}\n\n"
            f"[peers]\nseeds = {seeds}\n"
        )
        command = [sys.executable, "-m", "carawayquayd.cli", "run", "--settings", str(settings)]
        self.vms[name] = Process(name, command, admin, self._folder)
        return self.vms[name]

    def _write(self, kind: str, name: str, value: Any, replaces: int) -> int:
        response = http_request(
            self.store.address, "PUT", f"/objects/{kind}/{name}", value, if_match=replaces
        )
        if response.status != 200:
            raise SiteError(
                f"store answered {response.status} instead of 200 to a write of {kind}/{name}"
            )
        return response.json()["version"]

    def _stand_in(self, name: str, arguments: list[str]) -> Process:
        address = free_address()
        command = [sys.executable, "-m", "carawayquay_standins.cli", *arguments]
        return Process(name, [*command, "--address", str(address)], address, self._folder)

    def _add_targets(self, service: Service, region: str, domain: str) -> None:
        for name in self._target_names(service, domain):
            arguments = ["target", "--name", name, "--slots", str(service.slots)]
            arguments += ["--work_ms", str(service.work_ms)]
            self.targets[name] = self._stand_in(name, arguments)

    def _target_names(self, service: Service, domain: str) -> list[str]:
        return [f"{service.name}-{domain}-{i + 1}" for i in range(service.targets_per_domain)]


def http_request(
    address: Address,
    method: str,
    path: str,
    value: Any = None,
    *,
    if_match: int | None = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    seconds: float = 5.0,
) -> HttpResponse:
    """Send one HTTP request with a JSON body and return the answer.

    :param value: value of the body; None for no body
    :param if_match: expected version of a conditional write, or None
    :param seconds: timeout
    :raises HttpError: if the connection fails or no answer arrives in time
    """
    body = b"" if value is None else json.dumps(value).encode()
    if if_match is not None:
        headers = (*headers, (b"if-match", str(if_match).encode()))
    return exchange(address, HttpRequest(method, path, headers, body), seconds)


def exchange(address: Address, request: HttpRequest, seconds: float = 5.0) -> HttpResponse:
    """Send one HTTP request from synchronous code and return the answer.

    :param seconds: timeout
    :raises HttpError: if the connection fails or no answer arrives in time
    """

    async def send() -> HttpResponse:
        client = HttpClient()
        try:
            return await client.exchange(address, request, seconds)
        finally:
            await client.close()

    return curio.run(send)


def wait_until(condition: Callable[[], bool], what: str, seconds: float = _START_SECONDS) -> float:
    """Poll a condition until it is met and return the elapsed seconds.

    A condition that raises ``CarawayquayError``, ``OSError`` or ``KeyError`` counts as not met.

    :param what: description of the condition for the error message
    :param seconds: timeout
    :raises SiteError: if the condition is not met in time
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if _is_met(condition):
            return time.monotonic() - started
        time.sleep(_POLL_SECONDS)
    raise SiteError(f"condition not met within {seconds} s: {what}")


def _ready_to_serve(target: dict[str, Any]) -> bool:
    """Return whether a VM holds slots of a target or does not need any.

    :param target: state of the target in the VM's state dump
    """
    return target["limit"] > 0 or target["draining"] or not target["wanted"]


def _is_met(condition: Callable[[], bool]) -> bool:
    try:
        return condition()
    except (CarawayquayError, OSError, KeyError):
        return False


def _claims_ready(state: dict[str, Any], domain: str) -> bool:
    """Return whether the domain's shard map is known and all held shards have a filled backup."""
    claims = state["claims"]
    return domain in claims["maps"] and all(held["ready"] for held in claims["held"].values())


def _answers_ok(address: Address, path: str) -> bool:
    return http_request(address, "GET", path, seconds=1.0).status == 200


def free_address() -> Address:
    """Return a loopback address with an unused port.

    The port is below the ephemeral range: otherwise an outgoing connection could take it before the
    process that will listen on it has started.
    """
    while True:
        address = Address(_HOST, secrets.choice(_PORTS))
        if address.port in _allocated_ports:
            continue
        with socket.socket() as sock, suppress(OSError):
            sock.bind((address.host, address.port))
            _allocated_ports.add(address.port)
            return address
