"""After one crash of one instance, all VMs refuse a sound request that many callers send alike.

With TROUBLE=0 no instance crashes.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from stands import Instance, configuration, play, read_body, read_head, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"

SERVICE = "lagerblick"
HOST = "jepu9.example"
FIRST, ADDED = "/lepu270/", "/front/"
WORK_SECONDS = 0.5
DEADLINE_SECONDS = 4.0
CLIENTS = 24
#: Callers that ask for the same page once in a second, at the same time, at two of the four VMs.
PAGE_CALLERS = 8
PAGE_VMS = 2
INSTANCES = 7
#: One of seven instances is down for some seconds, within the site file's dose of srv_crash.
DOWN_SECONDS = 4.5
COLD_SECONDS = 3.0
CRASH_AT = 10.0
#: From contact and the cold start after the instance is back, all is calm.
CALM_AT = 22.0
SECONDS = 60.0


class Client:
    """Sends requests over a kept connection to its VM, and waits for each answer."""

    def __init__(self, name, record, gateway, answers):
        self._name, self._record, self._gateway = name, record, gateway
        self._answers = answers
        self._count = 0
        self._connection = None

    async def run(self, until):
        """Send requests for one object after the other."""
        while time.monotonic() < until:
            await self._send_and_pause(f"{FIRST}{self._name}-{self._count}", f"{self._count % 40}")

    async def ask_for_page(self, started, until):
        """Send a request for the same page in each second."""
        while time.monotonic() < until:
            await asyncio.sleep(1.0 - (time.monotonic() - started) % 1.0)
            await self._send_and_pause(f"{ADDED}today", "today")

    async def _send_and_pause(self, path, key):
        self._count += 1
        status, pause = await self._send(path, key)
        if status != 200:
            if self._connection is not None:
                self._connection[1].close()
            self._connection = None
            await asyncio.sleep(pause)

    async def _send(self, path, key):
        request_id = f"{self._name}-{self._count}"
        sent = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(
                        self._gateway.host, self._gateway.ports["front"]
                    )
                reader, writer = self._connection
                self._record.note(f"client sends {request_id} for {path} to {self._gateway.name}")
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                    f"Affinity-Key: {key}\r\nDeadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n\r\n".encode()
                )
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError
                body = await read_body(reader, head[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self._answers.append((sent, path, 0))
            self._record.note(f"client gets no answer for {request_id}")
            return 0, 0.2
        status = int(head[0].split(" ")[1])
        self._answers.append((sent, path, status))
        reason = "" if status == 200 else f": {body[:40].decode('latin-1')}"
        self._record.note(f"client gets {status} for {request_id}{reason}")
        return status, float(head[1].get("retry-after", "0.2"))


class PageInstance(Instance):
    """An instance that counts the requests for the page that it works on."""

    page_requests = 0

    async def _run(self, line, request_id):
        page = line.split(" ")[1].startswith(ADDED)
        self.page_requests += page
        try:
            await super()._run(line, request_id)
        finally:
            self.page_requests -= page


async def crash(stage, instance, instances):
    """End an instance as a crash does, and start it again on its address with a new id."""
    stage.record.note(
        f"{instance.name} crashes with {instance.running} requests, "
        f"{instance.page_requests} of them for the page"
    )
    instance.crash()
    await asyncio.sleep(DOWN_SECONDS)
    await stage.store.remove("servers", instance.name)
    fresh = new_instance(stage, len(instances), instance.host, COLD_SECONDS)
    instances.append(fresh)
    await fresh.start()
    stage.record.note(f"{fresh.name} has started in its place")


def new_instance(stage, number, host, cold_seconds=0.0):
    zone = ("wien-a", "wien-b")[number % 2]
    name = f"i-{number}"
    return PageInstance(
        stage.store, stage.record, name, SERVICE, host, zone, WORK_SECONDS, 400, 9, cold_seconds
    )


async def case(stage):
    instances = [new_instance(stage, n, stage.net.host()) for n in range(INSTANCES)]
    for instance in list(instances):
        await instance.start()
    first = route("r-stock", FIRST, SERVICE, sticky=True)
    added = route("r-front", ADDED, SERVICE, sticky=True)
    await stage.store.put("config", "main", configuration(1, [(HOST, [first])], [SERVICE]))
    await stage.start_gateways(["wien-a"] * 4)
    await stage.store.put("config", "main", configuration(3, [(HOST, [first, added])], [SERVICE]))
    stage.record.note("a version adds the route of the page")
    await asyncio.sleep(2.5)
    answers = []
    started = time.monotonic()
    until = started + SECONDS
    tasks = []
    for number in range(CLIENTS):
        gateway = stage.gateways[number % len(stage.gateways)]
        client = Client(f"c{number}", stage.record, gateway, answers)
        tasks.append(asyncio.create_task(client.run(until)))
    for number in range(PAGE_CALLERS):
        caller = Client(f"p{number}", stage.record, stage.gateways[number % PAGE_VMS], answers)
        tasks.append(asyncio.create_task(caller.ask_for_page(started, until)))
    await asyncio.sleep(CRASH_AT + 0.25)
    if TROUBLE:
        # The instance that runs the page is the one that crashes.
        busiest = max(instances, key=lambda it: it.page_requests)
        await crash(stage, busiest, instances)
    await asyncio.gather(*tasks)
    return judge(stage, [it for it in answers if it[0] > started + CALM_AT])


def judge(stage, answers):
    """Return whether the later route is served a quarter as often as the first one, or more."""
    shares = {}
    for prefix in (FIRST, ADDED):
        statuses = [status for _, path, status in answers if path.startswith(prefix)]
        shares[prefix] = statuses.count(200) / max(1, len(statuses))
        summary = f"in calm, {prefix}: {len(statuses)} sent, {statuses.count(200)} served"
        stage.record.note(summary)
        print(summary)
    asked = sum(path.startswith(ADDED) for _, path, _ in answers)
    return not (asked >= 20 and shares[ADDED] < shares[FIRST] / 4)


if __name__ == "__main__":
    sys.exit(play(case, HERE / "record.txt"))
