"""Clients that pipeline get answers cut off by the planned stop of the VM that they use.

With TROUBLE=0 no VM is stopped.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from stands import GRACE_SECONDS, Instance, configuration, play, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"

#: One way to clients, as in the site file, and a link of 32 Mbit/s with a small window: that of a TCP
#: connection begins with ten segments, 14,600 bytes, but on loopback with 655,000.
DELAY_SECONDS = 0.008
LINK_BYTES_PER_SECOND = 4_000_000
WINDOW_BYTES = 16384
PIECE_BYTES = 8192

CLIENTS = 32
GAP_SECONDS = 0.06
MOST_OUTSTANDING = 6
ANSWER_BYTES = 100_000
WORK_SECONDS = 0.02
DEADLINE_MS = 4000
SECONDS = 22.0
STOP_AT = 4.0
BETWEEN_SECONDS = 3.0
HOST = "lopu12.example"
SERVICE = "saisonarchiv"


class Link:
    """A link to a VM that delays both ways, and bounds the rate towards the client."""

    def __init__(self, host, to):
        self._to = to
        self._sock = socket.socket()
        self._sock.bind((host, 0))
        self._sock.listen(256)
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self._sock)
            asyncio.create_task(self._carry(near))

    async def _carry(self, near):
        loop = asyncio.get_running_loop()
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        far.setblocking(False)
        try:
            await loop.sock_connect(far, self._to)
        except OSError:
            far.close()
            near.close()
            return
        await asyncio.gather(
            self._pass(near, far, None), self._pass(far, near, LINK_BYTES_PER_SECOND)
        )
        near.close()
        far.close()

    async def _pass(self, source, sink, rate):
        """Pass bytes on after the delay; the end, or a reset, too."""
        loop = asyncio.get_running_loop()
        queue = asyncio.Queue()
        sending = asyncio.create_task(self._send(queue, sink))
        while True:
            try:
                data = await loop.sock_recv(source, PIECE_BYTES)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + DELAY_SECONDS, data))
            if not data:
                break
            if rate:
                await asyncio.sleep(len(data) / rate)
        await sending

    async def _send(self, queue, sink):
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, data)
            except OSError:
                return


class Client:
    """A client that sends idempotent requests behind others that are not answered yet."""

    def __init__(self, name, record, links, results):
        self._name, self._record, self._links, self._results = name, record, links, results
        self._count = 0
        self._sent = {}

    async def run(self, until):
        while time.monotonic() < until:
            link = random.choice(self._links)
            try:
                await self._use_connection(link, until)
            except OSError:
                await asyncio.sleep(0.2)

    async def _use_connection(self, link, until):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, link.address)
        waiting = []
        state = {"closing": False}
        sending = asyncio.create_task(self._send_requests(sock, waiting, state, until))
        try:
            await self._read_answers(sock, link, waiting, state, sending)
        finally:
            sending.cancel()
            sock.close()

    async def _send_requests(self, sock, waiting, state, until):
        loop = asyncio.get_running_loop()
        while time.monotonic() < until and not state["closing"]:
            if len(waiting) < MOST_OUTSTANDING:
                self._count += 1
                request_id = f"{self._name}-{self._count}"
                waiting.append(request_id)
                self._sent[request_id] = time.monotonic()
                self._record.note(f"client sends {request_id}")
                text = (
                    f"GET /hucu512/{self._count} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
                )
                await loop.sock_sendall(sock, text.encode())
            await asyncio.sleep(GAP_SECONDS * random.uniform(0.5, 1.5))
        state["closing"] = True

    def _cut(self, request_id, link):
        """Note a request whose connection ended, with when it was sent and when it ended."""
        self._results.cut.append((request_id, link, self._sent[request_id], time.monotonic()))

    async def _read_answers(self, sock, link, waiting, state, sending):
        """Read answers in the order of the requests, until the connection or the day ends."""
        buffer = bytearray()
        while not (state["closing"] and not waiting):
            if not waiting:
                await asyncio.sleep(0.005)
                continue
            head = await self._until(sock, buffer, lambda: buffer.find(b"\r\n\r\n") + 1)
            if not head:
                # What stands behind a closing answer, or was never read, counts as not read.
                self._results.ended_before_head.extend(waiting)
                for request_id in waiting:
                    self._cut(request_id, link)
                return
            end = buffer.find(b"\r\n\r\n") + 4
            lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
            del buffer[:end]
            status = int(lines[0].split(" ")[1])
            headers = {a.lower(): b.strip() for a, _, b in (it.partition(":") for it in lines[1:])}
            if headers.get("connection", "").lower() == "close":
                # A sound client sends nothing more behind an answer that closes.
                state["closing"] = True
                sending.cancel()
                self._record.note(f"closing answer for {waiting[0]}, behind it {waiting[1:]}")
                self._results.not_read.extend(waiting[1:])
            length = int(headers["content-length"])
            whole = await self._until(sock, buffer, lambda: len(buffer) >= length)
            request_id = waiting.pop(0)
            if not whole:
                self._record.note(
                    f"client gets {status} for {request_id}, of which {len(buffer)} of {length} "
                    f"bytes arrive before the connection ends"
                )
                self._cut(request_id, link)
                return
            del buffer[:length]
            self._results.answered.append(request_id)
            self._record.note(f"client gets {status} for {request_id}, whole")
            if headers.get("connection", "").lower() == "close":
                return

    async def _until(self, sock, buffer, done):
        loop = asyncio.get_running_loop()
        while not done():
            try:
                data = await loop.sock_recv(sock, 65536)
            except OSError:
                return False
            if not data:
                return False
            buffer += data
        return True


class Results:
    def __init__(self):
        self.answered, self.cut, self.not_read, self.ended_before_head = [], [], [], []


async def stop_in_turn(stage, links, stopped_at):
    """Stop each VM and start it again; callers learn from the directory not to use it meanwhile."""
    for gateway, link in zip(stage.gateways, list(links), strict=True):
        stage.record.note(f"the platform sends SIGTERM to {gateway.name}")
        links.remove(link)
        stopped_at[link] = time.monotonic()
        await gateway.term()
        stage.record.note(f"{gateway.name} has ended")
        gateway.start()
        await gateway.until_ready()
        links.append(link)
        await asyncio.sleep(BETWEEN_SECONDS)


async def case(stage):
    instances = []
    for zone in ("wien-a", "wien-b"):
        for number in range(4):
            name = f"i-{zone}-{number}"
            instance = Instance(
                stage.store,
                stage.record,
                name,
                SERVICE,
                stage.net.host(),
                zone,
                WORK_SECONDS,
                ANSWER_BYTES,
                5,
            )
            await instance.start()
            instances.append(instance)
    paths = [route("r-archive", "/hucu512/", SERVICE)]
    await stage.store.put("config", "main", configuration(1, [(HOST, paths)], [SERVICE]))
    await stage.start_gateways(["wien-a", "wien-b"])
    links = []
    for gateway in stage.gateways:
        link = Link(stage.net.host(), (gateway.host, gateway.ports["front"]))
        asyncio.create_task(link.run())
        links.append(link)
    results = Results()
    stopped_at = {}
    until = time.monotonic() + SECONDS
    clients = [Client(f"c{n}", stage.record, links, results) for n in range(CLIENTS)]
    running = [asyncio.create_task(client.run(until)) for client in clients]
    await asyncio.sleep(STOP_AT)
    if TROUBLE:
        await stop_in_turn(stage, links, stopped_at)
    await asyncio.gather(*running)
    ran = {request_id for instance in instances for request_id in instance.ran}
    lost = [
        request_id
        for request_id, link, sent, ended in results.cut
        if request_id in ran
        and link in stopped_at
        and stopped_at[link] <= ended <= stopped_at[link] + GRACE_SECONDS + 1.0
        and ended - sent < DEADLINE_MS / 1000
    ]
    summary = (
        f"answered whole {len(results.answered)}, sent behind a closing answer "
        f"{len(results.not_read)}, not read {len(results.ended_before_head)}, "
        f"run by an instance and cut off {len(lost)}: {' '.join(lost[:10])}"
    )
    stage.record.note(summary)
    print(summary)
    return not lost


if __name__ == "__main__":
    sys.exit(play(case, HERE / "record.txt"))
