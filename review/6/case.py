"""All VMs exceed their memory while configurations come in quick succession.

The platform kills a process that exceeds its memory, and starts it again. With TROUBLE=0 the
configuration does not change.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from stands import (  # noqa: E402
    LIMITS,
    Instance,
    configuration,
    play,
    read_body,
    read_head,
    route,
)

TROUBLE = os.environ.get("TROUBLE") != "0"

SERVICE = "sackbuch"
HOST = "nony93.example"
WORK_SECONDS = 0.5
DEADLINE_SECONDS = 6.0
CLIENTS = 24
FIRST_ROUTES = 10
#: Doses of the site file: big_config adds 350 routes; config_storm has a change each 0.33 s for 4 s.
BIG_CONFIGS = 6
ROUTES_ADDED = 350
STORM_GAP_SECONDS = 0.33
STORM_SECONDS = 4.0
PAUSE_SECONDS = 1.0
SECONDS = 90.0
RESTART_SECONDS = 0.5
MEMORY_BYTES = LIMITS["memory_mb"] * 2**20


class Operator:
    """Writes versions of the configuration, whose numbers grow in irregular steps."""

    def __init__(self, store, record):
        self._store, self._record = store, record
        self._routes = FIRST_ROUTES
        self.version = 1
        self.written = 0

    async def write(self, *, added=0):
        """Write a version with more routes, or with another timeout of one."""
        self._routes += added
        self.version += 1 + self.version % 3
        self.written += 1
        paths = [route("r-orders", "/puba11/wu5/", SERVICE, "non_idempotent", "6000ms", "800ms", 1)]
        for number in range(self._routes):
            timeout = f"{4000 + self.version % 50}ms" if number == 0 else "4000ms"
            paths.append(route(f"r-idle{number}", f"/idle/n{number}/", SERVICE, timeout=timeout))
        await self._store.put(
            "config", "main", configuration(self.version, [(HOST, paths)], [SERVICE])
        )
        self._record.note(f"the store has version r{self.version}, {len(paths)} routes")

    async def change(self, until):
        """Let the configuration grow, then change it in quick succession, again and again."""
        for _ in range(BIG_CONFIGS):
            await self.write(added=ROUTES_ADDED)
            await asyncio.sleep(PAUSE_SECONDS)
        while time.monotonic() < until:
            ends = time.monotonic() + STORM_SECONDS
            while time.monotonic() < ends:
                await self.write()
                await asyncio.sleep(STORM_GAP_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)


class Platform:
    """Kills a process that exceeds its memory, and starts what has ended again."""

    def __init__(self, record, gateways):
        self._record, self._gateways = record, gateways
        self.most = dict.fromkeys((it.name for it in gateways), 0)
        self.kills = []

    async def run(self, until):
        noted = 0.0
        while time.monotonic() < until:
            for gateway in self._gateways:
                if gateway.process.poll() is not None:
                    self._record.note(f"{gateway.name} ended by itself")
                    await self._start_again(gateway)
                    continue
                used = anonymous_bytes(gateway.process.pid)
                self.most[gateway.name] = max(self.most[gateway.name], used)
                if used > MEMORY_BYTES:
                    self.kills.append((time.monotonic(), gateway.name))
                    gateway.end()
                    self._record.note(
                        f"{gateway.name} has {used >> 20} MB of its {LIMITS['memory_mb']}: killed"
                    )
                    await self._start_again(gateway)
            if time.monotonic() - noted > 5.0:
                noted = time.monotonic()
                sizes = [anonymous_bytes(it.process.pid) >> 20 for it in self._gateways]
                self._record.note(f"memory of the VMs in MB: {sizes}")
            await asyncio.sleep(0.1)

    async def _start_again(self, gateway):
        await asyncio.sleep(RESTART_SECONDS)
        gateway.start()


def anonymous_bytes(pid):
    """Return the private memory of a process, without code and files that it maps."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(it.split()[1]) * 1024 for it in lines if it.startswith("RssAnon:")), 0)


class Client:
    """Sends bookings over a kept connection, and to another VM after a failure."""

    def __init__(self, name, record, gateways, results):
        self._name, self._record, self._gateways = name, record, gateways
        self._results = results
        self._at = hash(name) % len(gateways)
        self._count = 0
        self._connection = None
        self._kept = False

    async def run(self, until):
        while time.monotonic() < until:
            if not await self._send():
                if self._connection is not None:
                    self._connection[1].close()
                self._connection = None
                self._at = (self._at + 1) % len(self._gateways)
                await asyncio.sleep(0.1)

    async def _send(self):
        gateway = self._gateways[self._at]
        try:
            if self._connection is None:
                self._kept = False
                async with asyncio.timeout(1.0):
                    self._connection = await asyncio.open_connection(
                        gateway.host, gateway.ports["front"]
                    )
        except (OSError, asyncio.TimeoutError):
            self._record.note(f"no connection to {gateway.name}")
            return False
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        reader, writer = self._connection
        self._record.note(f"client sends {request_id} to {gateway.name}")
        body = b"order=1"
        try:
            writer.write(
                f"POST /puba11/wu5/{self._count} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            async with asyncio.timeout(DEADLINE_SECONDS):
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError
                await read_body(reader, head[1])
        except asyncio.TimeoutError:
            self._record.note(f"client gives up {request_id} at its deadline")
            return False
        except (OSError, asyncio.IncompleteReadError):
            # The rule is about requests from kept connections.
            self._results["cut" if self._kept else "cut at first"].append(request_id)
            self._record.note(f"the connection of {request_id} ends without an answer")
            return False
        status = int(head[0].split(" ")[1])
        self._kept = True
        self._results["answered"].append((request_id, status))
        self._record.note(f"client gets {status} for {request_id}")
        return status == 200 and head[1].get("connection", "").lower() != "close"


async def case(stage):
    instances = []
    for number in range(6):
        zone = ("wien-a", "graz-a")[number % 2]
        instance = Instance(
            stage.store,
            stage.record,
            f"i-{number}",
            SERVICE,
            stage.net.host(),
            zone,
            WORK_SECONDS,
            400,
            6,
        )
        await instance.start()
        instances.append(instance)
    operator = Operator(stage.store, stage.record)
    await operator.write()
    await stage.start_gateways(["wien-a", "graz-a"])
    platform = Platform(stage.record, stage.gateways)
    results = {"cut": [], "cut at first": [], "answered": []}
    until = time.monotonic() + SECONDS
    tasks = [asyncio.create_task(platform.run(until))]
    for number in range(CLIENTS):
        client = Client(f"c{number}", stage.record, stage.gateways, results)
        tasks.append(asyncio.create_task(client.run(until - 1.0)))
    await asyncio.sleep(4.0)
    if TROUBLE:
        tasks.append(asyncio.create_task(operator.change(until - 1.0)))
    await asyncio.gather(*tasks)
    ran = {request_id for instance in instances for request_id in instance.ran}
    lost = [it for it in results["cut"] if it in ran]
    statuses = [status for _, status in results["answered"]]
    summary = (
        f"{operator.written} versions; kept connections closed without an answer after an "
        f"instance ran the request: {len(lost)}; answered 200: {statuses.count(200)}, else "
        f"{len(statuses) - statuses.count(200)}; killed for memory: "
        f"{[name for _, name in platform.kills]}; most memory in MB: "
        f"{[most >> 20 for most in platform.most.values()]}"
    )
    stage.record.note(summary)
    print(summary)
    return len(lost) <= 3


if __name__ == "__main__":
    sys.exit(play(case, HERE / "record.txt"))
