"""Builders of sites: a store, targets that may name a limit, and gateway processes."""

from __future__ import annotations

import contextlib
import itertools
import subprocess
import sys
import time

import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import SETTINGS_TEXT, answer_bytes, configuration, target

from carawayquay.membership import Address
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

START_SECONDS = 20.0

#: The region of each failure domain in the settings of the test VMs.
_REGIONS = {"puget-a": "puget", "puget-b": "puget", "inland-a": "inland"}

_PROGRAM = "import sys; from carawayquay_gateway.app import run; run(sys.argv[1])"


def free_ports(host, count):
    """Return free TCP ports of a host."""
    socks = [tcp_server_socket(host, 0) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock._socket.close()
    return ports


def launch_gateway(path, log_path):
    """Start a gateway process with a settings file."""
    with log_path.open("ab") as log:
        return subprocess.Popen([sys.executable, "-c", _PROGRAM, str(path)], stdout=log, stderr=log)


async def status_of(address, path):
    """Return the status of a GET request, or 0 without an answer."""
    try:
        answer = await HttpClient().exchange(address, HttpRequest("GET", path, (), b""), 1.0)
    except HttpError:
        return 0
    return answer.status


async def until_ready(address):
    """Wait until a gateway says that it is ready."""
    async with curio.timeout_after(START_SECONDS):
        while await status_of(address, "/ready") != 200:
            await curio.sleep(0.05)


class LimitingTarget:
    """Target that runs every request, and names a limit while it has one.

    :param domain: its failure domain
    :param work_seconds: time that it works on a request
    :ivar limit: value of the limit header, or None to send no such header
    :ivar status: status of its answers; 503 is sent as not run
    :ivar arrivals: monotonic time of each request
    """

    def __init__(self, name, domain="puget-a", work_seconds=0.02):
        self.name = name
        self.limit = None
        self.status = 200
        self.arrivals = []
        self._domain = domain
        self._work_seconds = work_seconds
        self._address = None

    def registration(self, **changes):
        """Return its registration in the platform's format."""
        return target(self._address, zone=self._domain, max_concurrency=50, **changes)

    async def start(self, host):
        """Listen on a free port."""
        sock = tcp_server_socket(host, 0)
        self._address = f"{host}:{sock.getsockname()[1]}"
        await curio.spawn(run_server, sock, self._serve, daemon=True)

    def most_in_window(self, seconds, since):
        """Return the most arrivals in any window of some seconds that starts after a time."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(start <= at < start + seconds for at in times) for start in times), default=0
        )

    def count(self, since, until):
        """Return the arrivals between two times."""
        return sum(since <= at < until for at in self.arrivals)

    async def _serve(self, sock, _):
        while data := await sock.recv(65536):
            self.arrivals.append(time.monotonic())
            line = next(it for it in data.split(b"\r\n") if it.lower().startswith(b"request-id"))
            headers = {} if self.limit is None else {"server_limit": self.limit}
            if self.status == 503:
                headers["not_executed"] = "1"
            await curio.sleep(self._work_seconds)
            request_id = line.split(b":")[1].strip().decode()
            await sock.sendall(answer_bytes(self.status, request_id=request_id, **headers))


class Fleet:
    """A store, targets and several gateway processes, two in each failure domain.

    :param folder: for settings files and logs
    :param targets: stand-ins of targets, not started yet
    """

    def __init__(self, folder, targets):
        self.store = PlatformStoreStandIn()
        self.targets = targets
        self.callers = []
        self.admins = []
        self._folder = folder
        self._processes = {}
        self._ready = []

    async def start(self, vms=6):
        """Start everything and wait until every VM is ready."""
        store_host = "127.9.2.1"
        store = tcp_server_socket(store_host, 0)
        await curio.spawn(run_server, store, self.store.http.serve, daemon=True)
        for limiting in self.targets:
            await limiting.start(store_host)
            await self.store.put("servers", limiting.name, limiting.registration())
        await self.store.put("config", "main", configuration())
        store_address = f"{store_host}:{store.getsockname()[1]}"
        ports = free_ports("127.9.1.1", 6)
        for index in range(vms):
            self._add_vm(index, ports, store_address)
        for ready in self._ready:
            await until_ready(ready)

    def stop(self):
        """Kill every gateway."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    @property
    def vms(self):
        """The names of the VMs, in the order of their addresses."""
        return list(self._processes)

    async def dumps(self):
        """Return the state dump of each VM that answers, by its name."""
        found = {}
        for vm, admin in zip(self.vms, self.admins, strict=True):
            with contextlib.suppress(HttpError):
                plain = HttpRequest("GET", "/dump", (), b"")
                found[vm] = (await HttpClient().exchange(admin, plain, 1.0)).json()
        return found

    def signal(self, vm, number):
        """Send a signal to the gateway of a VM."""
        self._processes[vm].send_signal(number)

    def restart(self, vm):
        """Kill the gateway of a VM and start it again at once."""
        self._processes[vm].kill()
        self._processes[vm].wait()
        self._launch(vm)

    def count_logged(self, text):
        """Return the number of log lines of all VMs that contain a text."""
        lines = [path.read_text().splitlines() for path in self._folder.glob("*.log")]
        return sum(text in line for line in itertools.chain(*lines))

    def _launch(self, vm):
        path = self._folder / f"{vm}.ini"
        self._processes[vm] = launch_gateway(path, path.with_suffix(".log"))

    def _add_vm(self, index, ports, store_address):
        domain = list(_REGIONS)[index % len(_REGIONS)]
        name, host = f"{domain}-{index}", f"127.9.1.{index + 1}"
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", store_address)
        text = text.replace("127.0.0.1:7004,127.0.0.2:7004", f"127.9.1.1:{ports[3]}")
        for position, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{position}", f"{host}:{port}")
        text = text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}")
        text = text.replace("name = puget-a-1", f"name = {name}")
        text = text.replace("domain = puget-a", f"domain = {domain}")
        text = text.replace("region = puget\n", f"region = {_REGIONS[domain]}\n", 1)
        (self._folder / f"{name}.ini").write_text(text)
        self._launch(name)
        self.callers.append(Address(host, ports[0]))
        self._ready.append(Address(host, ports[1]))
        self.admins.append(Address(host, ports[3]))


class SteadyCallers:
    """Callers that send requests for many objects at a steady rate to all VMs in turn.

    :ivar answers: pairs of the time of the answer, and the answer
    """

    def __init__(self, fleet, requests_per_second):
        self.answers = []
        self._fleet = fleet
        self._gap_seconds = 1.0 / requests_per_second
        self._client = HttpClient()
        self._sent = 0

    async def run(self):
        """Send until cancelled."""
        while True:
            await curio.spawn(self._send, self._sent, daemon=True)
            self._sent += 1
            await curio.sleep(self._gap_seconds)

    def statuses(self, since):
        """Return the statuses of the answers after a time."""
        return [answer.status for at, answer in self.answers if at >= since]

    async def _send(self, number):
        address = self._fleet.callers[number % len(self._fleet.callers)]
        headers = (
            (b"host", b"stones.example"),
            (b"request-id", b"c%d" % number),
            (b"affinity-key", b"k%d" % (number * 7 % 60)),
            (b"deadline-ms", b"1000"),
        )
        sent = HttpRequest("GET", "/reports/7", headers, b"")
        try:
            answer = await self._client.exchange(address, sent, 3.0)
        except HttpError:
            return
        self.answers.append((time.monotonic(), answer))
