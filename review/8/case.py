"""A VM runs out of descriptors, as it keeps its connections to instances that have left.

The instances of three services are replaced in turn, as in a release. With TROUBLE=0 none is.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import stands  # noqa: E402
from stands import Instance, configuration, play, read_body, read_head, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"

#: Services of the site file cascade-pebble, each with 12 instances of 9 slots, and their paths.
SERVICES = {"granite-ledger": "/gela/", "sledway": "/sowa/", "pebblecal": "/peca/"}
INSTANCES = 12
SLOTS = 9
DRAIN_SECONDS = 2.5
COLD_SECONDS = 3.0
HOST = "nony93.example"
TIMEOUT_SECONDS = 1.5
SLACK_SECONDS = 0.5
DEADLINE_SECONDS = 6.0
WORK_SECONDS = 0.5
CLIENTS = 240
WARM_UP_SECONDS = 4.0
#: A release replaces two instances of a service at a time, with a second between.
REPLACED_AT_ONCE = 2
GAP_SECONDS = 1.0
RELEASE_SECONDS = 75.0
CALM_SECONDS = 12.0

stands.BOUNDS.update(drain="2500ms", config_deadline="2500ms", budget_slack=120)


class Attempt:
    def __init__(self, request_id, sent):
        self.request_id, self.sent, self.ended, self.status = request_id, sent, None, "open"


class Client:
    """Sends bookings over a kept connection, and on a new one after a refusal or a failure."""

    def __init__(self, name, path, record, gateway, attempts):
        self._name, self._path, self._record = name, path, record
        self._gateway, self._attempts = gateway, attempts
        self._count = 0
        self._connection = None

    async def run(self, until):
        while time.monotonic() < until:
            status, pause = await self._send()
            if status != 200:
                await self._close()
                await asyncio.sleep(pause)

    async def _close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _send(self):
        self._count += 1
        attempt = Attempt(f"{self._name}-{self._count}", time.monotonic())
        try:
            if self._connection is None:
                async with asyncio.timeout(1.0):
                    self._connection = await asyncio.open_connection(
                        self._gateway.host, self._gateway.ports["front"]
                    )
            reader, writer = self._connection
            attempt.sent = time.monotonic()
            self._attempts.append(attempt)
            self._record.note(f"client sends {attempt.request_id}")
            body = b"order=1"
            writer.write(
                f"POST {self._path}{self._count} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {attempt.request_id}\r\nDeadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            async with asyncio.timeout(DEADLINE_SECONDS):
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError
                await read_body(reader, head[1])
            attempt.status = int(head[0].split(" ")[1])
            attempt.ended = time.monotonic()
            self._record.note(f"client gets {attempt.status} for {attempt.request_id}")
            return attempt.status, float(head[1].get("retry-after", "0.2"))
        except asyncio.TimeoutError:
            attempt.status = "deadline"
        except (OSError, asyncio.IncompleteReadError):
            attempt.status = "cut"
            attempt.ended = time.monotonic()
        self._record.note(f"client ends {attempt.request_id}: {attempt.status}")
        return attempt.status, 0.2


class Release:
    """The instances of one service, which are replaced in turn."""

    def __init__(self, stage, service):
        self._stage, self._service = stage, service
        self._host = stage.net.host()
        self._count = 0
        self._instances = []
        self._leaving = []

    async def start(self):
        for _ in range(INSTANCES):
            await self._add()

    async def _add(self, cold_seconds=0.0):
        name = f"i-{self._service}-{self._count}"
        self._count += 1
        instance = Instance(
            self._stage.store,
            self._stage.record,
            name,
            self._service,
            self._host,
            "puget-a",
            WORK_SECONDS,
            400,
            SLOTS,
            cold_seconds,
        )
        await instance.start()
        self._instances.append(instance)
        return instance

    async def run(self, seconds):
        """Replace instances: the new one starts first, the old one drains and ends."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(GAP_SECONDS)
            for _ in range(REPLACED_AT_ONCE):
                new, old = await self._add(COLD_SECONDS), self._instances.pop(0)
                self._stage.record.note(f"{new.name} takes the place of {old.name}")
                self._leaving.append(asyncio.create_task(old.leave(DRAIN_SECONDS)))
        await asyncio.gather(*self._leaving)


async def case(stage):
    releases = [Release(stage, service) for service in SERVICES]
    for release in releases:
        await release.start()
    paths = [
        route(f"r-{service}", path, service, "non_idempotent", "1500ms", "800ms", 1)
        for service, path in SERVICES.items()
    ]
    await stage.store.put("config", "main", configuration(1, [(HOST, paths)], list(SERVICES)))
    await stage.start_gateways(["puget-a"])
    gateway = stage.gateways[0]
    attempts, readiness = [], []
    started = time.monotonic()
    until = started + WARM_UP_SECONDS + RELEASE_SECONDS + CALM_SECONDS
    tasks = [asyncio.create_task(watch_ready(stage, gateway, readiness, until))]
    for number in range(CLIENTS):
        path = list(SERVICES.values())[number % len(SERVICES)]
        client = Client(f"c{number}", path, stage.record, gateway, attempts)
        tasks.append(asyncio.create_task(client.run(until)))
    await asyncio.sleep(WARM_UP_SECONDS)
    if TROUBLE:
        tasks += [asyncio.create_task(it.run(RELEASE_SECONDS)) for it in releases]
    await asyncio.gather(*tasks)
    return judge(stage, gateway, attempts, readiness, until)


async def watch_ready(stage, gateway, readiness, until):
    while time.monotonic() < until:
        status = await gateway.ready_status()
        readiness.append((time.monotonic(), status))
        stage.record.note(f"readiness {status}, {gateway.descriptors()} descriptors open")
        await asyncio.sleep(1.0)


def judge(stage, gateway, attempts, readiness, until):
    """Return whether requests that outlast their route's timeout get an answer soon after it."""
    lasting = [
        it
        for it in attempts
        if it.sent + TIMEOUT_SECONDS + SLACK_SECONDS < until
        and (it.ended is None or it.ended - it.sent > TIMEOUT_SECONDS)
    ]
    unanswered = [
        it
        for it in lasting
        if it.ended is None or it.ended - it.sent > TIMEOUT_SECONDS + SLACK_SECONDS
    ]
    served = [it for it in attempts if it.status == 200]
    summary = (
        f"{len(attempts)} bookings sent, {len(served)} served; "
        f"{len(lasting)} unanswered at the route's timeout, {len(unanswered)} of these half a "
        f"second later; readiness checks without an answer "
        f"{sum(status == 0 for _, status in readiness)} of {len(readiness)}"
    )
    stage.record.note(summary)
    print(summary)
    return not (len(unanswered) >= 8 and len(unanswered) > len(lasting) / 4)


if __name__ == "__main__":
    sys.exit(play(case, HERE / "record.txt"))
