"""An instance that works on a booking as soon as it has read its head, and reads the rest later.

Takes the settings of `instance.py`, and `pause_seconds`, for which it works before it reads on. Its
sockets hold a few kilobytes of what it has not read.
"""

import asyncio
import json
import socket
import sys
import time

from messages import call_store, encode

SETTINGS = json.loads(sys.argv[1])
NAME = SETTINGS["name"]
BORN = int(time.time() * 1000)
HEARTBEAT_SECONDS = 1.5
BUFFER_BYTES = 4096
STORE = tuple(SETTINGS["store"])


def note(**fields):
    """Write a line of the record."""
    print(json.dumps({"t": time.time(), "instance": NAME, **fields}), flush=True)


async def beat():
    """Register, and write the entry again at each heartbeat."""
    sequence = 0
    while True:
        sequence += 1
        spec = {
            "service": SETTINGS["service"],
            "address": f"{SETTINGS['host']}:{SETTINGS['port']}",
            "zone": SETTINGS["zone"],
            "version": "v1",
            "max_concurrency": SETTINGS["slots"],
            "state": "ready",
            "cold_left": f"{max(0, 3000 - (int(time.time() * 1000) - BORN))}ms",
            "sequence": sequence,
            "born": BORN,
        }
        method, path = ("POST", "") if sequence == 1 else ("PUT", f"/{NAME}")
        value = {"metadata": {"name": NAME}, "spec": spec}
        await call_store(STORE, method, f"/objects/servers{path}", value)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def serve(reader, writer):
    """Serve the requests of one connection, one at a time."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = [line.partition(":") for line in head.split("\r\n")[1:]]
            headers = {name.strip().lower(): value.strip() for name, _, value in lines}
            await answer(headers, reader, writer)
    except (OSError, EOFError):
        pass
    finally:
        writer.close()


async def answer(headers, reader, writer):
    """Work on a request, read the rest of it, and answer."""
    identity, length = headers["request-id"], int(headers.get("content-length", 0))
    echo = {"Request-Id": identity}
    if headers.get("expect-instance", NAME) != NAME:
        await reader.readexactly(length)
        writer.write(encode("HTTP/1.1 421 Misdirected Request", {**echo, "Not-Executed": "1"}))
        return
    note(event="run", id=identity)
    await asyncio.sleep(SETTINGS["pause_seconds"])
    try:
        await reader.readexactly(length)
    except (OSError, EOFError):
        note(event="broken off by the entry VM", id=identity)
        raise
    note(event="end", id=identity, status=200)
    stamp = f"{NAME}.{identity}.200"
    writer.write(encode("HTTP/1.1 200 OK", {**echo, "Server-Stamp": stamp}, b"booked"))
    await writer.drain()


async def main():
    """Serve until the process ends."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind((SETTINGS["host"], SETTINGS["port"]))
    server = await asyncio.start_server(serve, sock=sock, limit=BUFFER_BYTES)
    beating = asyncio.create_task(beat())
    async with server:
        await server.serve_forever()
    await beating


asyncio.run(main())
