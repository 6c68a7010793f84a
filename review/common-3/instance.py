"""An instance of a service: registers itself in the store, runs requests, and notes each run.

Takes one argument, a JSON object. Each run is noted on standard output, a JSON object a line.

- `work_seconds`: time that it works on a request
- `crash_for`: a tenant; the process ends as soon as it begins to run a request of this tenant
- `crash_path`: the path of those requests
- `grey_share`: share of the requests that it runs and then fails
- `grey_status`: the status of these failures
- `spoil_share`: share of the answers in which a byte of the name of the stamp is wrong
- `trouble_from`, `trouble_until`: the times between which it does either

Shares are counted, not drawn, so that no play exceeds them.
"""

import asyncio
import json
import os
import sys
import time

from messages import call_store, encode, read_message

SETTINGS = json.loads(sys.argv[1])
NAME = SETTINGS["name"]
BORN = int(time.time() * 1000)
HEARTBEAT_SECONDS = 1.5
STORE = tuple(SETTINGS["store"])


def note(**fields):
    """Write a line of the record."""
    print(json.dumps({"t": time.time(), "instance": NAME, **fields}), flush=True)


class Share:
    """Picks a share of the answers in the time of the trouble, never more than that."""

    def __init__(self, share):
        self._share = share
        self._seen = 0

    def picks(self):
        """Return whether the next answer is picked."""
        if not SETTINGS.get("trouble_from", 0) <= time.time() < SETTINGS.get("trouble_until", 0):
            return False
        self._seen += 1
        return int(self._seen * self._share) > int((self._seen - 1) * self._share)


class Instance:
    """The instance's state."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SETTINGS["slots"])
        self.sequence = 0
        self.running = 0
        self.grey = Share(SETTINGS.get("grey_share", 0.0))
        self.spoilt = Share(SETTINGS.get("spoil_share", 0.0))

    def registration(self):
        """Return its entry in the store."""
        self.sequence += 1
        cold_ms = max(0, 3000 - (int(time.time() * 1000) - BORN))
        return {
            "service": SETTINGS["service"],
            "address": f"{SETTINGS['host']}:{SETTINGS['port']}",
            "zone": SETTINGS["zone"],
            "version": "v1",
            "max_concurrency": SETTINGS["slots"],
            "state": "ready",
            "cold_left": f"{cold_ms}ms",
            "sequence": self.sequence,
            "born": BORN,
        }

    async def beat(self):
        """Register, and write the entry again at each heartbeat."""
        value = {"metadata": {"name": NAME}, "spec": self.registration()}
        while await call_store(STORE, "POST", "/objects/servers", value, 1.0) not in (200, 409):
            value = {"metadata": {"name": NAME}, "spec": self.registration()}
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            value = {"metadata": {"name": NAME}, "spec": self.registration()}
            await call_store(STORE, "PUT", f"/objects/servers/{NAME}", value)

    async def serve(self, reader, writer):
        """Serve the requests of one connection, one at a time."""
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        """Run a request and return the bytes of the answer."""
        identity = request.headers.get("request-id")
        echo = {"Request-Id": identity}
        if identity is None:
            return encode("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"})
        if request.headers.get("expect-instance", NAME) != NAME:
            return encode("HTTP/1.1 421 Misdirected Request", {**echo, "Not-Executed": "1"})
        async with self.slots:
            self.running += 1
            tenant = request.headers.get("tenant-id", "")
            path = request.first.split()[1]
            note(event="run", id=identity, path=path, tenant=tenant)
            if path == SETTINGS.get("crash_path") and tenant == SETTINGS.get("crash_for"):
                note(event="crash", id=identity)
                os._exit(1)
            await asyncio.sleep(SETTINGS.get("work_seconds", 0.02))
            self.running -= 1
        status = 200
        if self.grey.picks():
            status = SETTINGS["grey_status"]
        note(event="end", id=identity, status=status)
        stamp = f"{NAME}.{identity}.{status}"
        load = f"{self.running},0,{SETTINGS['slots']}"
        spoilt = self.spoilt.picks()
        name = "Server-Stbmp" if spoilt else "Server-Stamp"
        headers = {**echo, name: stamp, "Server-Load": load}
        return encode(f"HTTP/1.1 {status} X", headers, b"done by " + NAME.encode())


async def main():
    """Serve until the process ends."""
    instance = Instance()
    server = await asyncio.start_server(instance.serve, SETTINGS["host"], SETTINGS["port"])
    beating = asyncio.create_task(instance.beat())
    async with server:
        await server.serve_forever()
    await beating


asyncio.run(main())
