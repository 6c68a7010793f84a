"""Stand-ins for the platform, the instances, the network and the clients, for the scripts in review/.

Everything here runs in one asyncio process with the standard library alone. Only the gateways are
separate processes: they are started with the command and the template of the deploy file.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import re
import resource
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
READ_BYTES = 65536

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, what: str, **fields: object) -> None:
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {pairs}\n")

    def flush(self) -> None:
        self._file.flush()


# --- HTTP -------------------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None if the connection ended before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


# --- The platform's store ---------------------------------------------------------------------


class Store:
    """The platform's object API: lists, long-poll watches and conditional writes, in memory."""

    def __init__(self, record: Record, page_items: int = 500) -> None:
        self._record = record
        self._page_items = page_items
        #: Called with the kind and whether it is the first page, after a page was answered.
        self.on_page = None
        self._revision = 1
        self._kinds: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Condition()

    async def start(self, host: str) -> str:
        server = await asyncio.start_server(self._serve, host, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or an instance does; the return is the acknowledgement."""
        objects = self._kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return self._revision
        return await self._change(kind, name, spec, known, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        known = self._kinds.get(kind, {}).get(name)
        if known is not None:
            await self._change(kind, name, known["spec"], known, deleted=True)

    async def _change(self, kind, name, spec, known, *, deleted: bool) -> int:
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": known["metadata"]["created"] if known else int(time.time() * 1000),
            "finalizers": [],
            "pending_delete": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        if deleted:
            del self._kinds[kind][name]
        else:
            self._kinds.setdefault(kind, {})[name] = stored
        self._events.append((self._revision, kind, {"object": stored, "deleted": deleted}))
        self._record.write("store-change", kind=kind, name=name, deleted=deleted, rev=self._revision)
        async with self._changed:
            self._changed.notify_all()
        return self._revision

    async def _serve(self, reader, writer) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, value = await self._answer(method, target, body)
                data = json.dumps(value).encode()
                headers = {"Content-Type": "application/json", "Content-Length": len(data)}
                writer.write(message(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
                if self.on_page is not None and "items" in value:
                    await self.on_page(target, value["has_more"])
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/") if part][1:]
        kind = parts[0]
        objects = self._kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
            names = sorted(name for name in objects if name > query.get("after", ""))
            items = [objects[name] for name in names[: self._page_items]]
            more = len(names) > self._page_items
            return 200, {"items": items, "has_more": more, "current_rev": self._revision}
        if method == "POST":
            value = json.loads(body)
            name = value["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            await self._change(kind, name, value.get("spec"), None, deleted=False)
            return 200, objects[name]
        name = parts[1]
        known = objects.get(name)
        if known is None:
            return 404, {"error": "no such object"}
        if method == "GET":
            return 200, known
        value = json.loads(body) if body else {}
        revision = query.get("revision") or value.get("metadata", {}).get("revision")
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            await self._change(kind, name, known["spec"], known, deleted=True)
            return 200, known
        await self.put(kind, name, value.get("spec"))
        return 200, objects[name]

    async def _watch(self, kind: str, after: int, wait: float) -> tuple[int, object]:
        until = time.monotonic() + wait
        while True:
            events = [event for rev, of, event in self._events if of == kind and rev > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            async with self._changed:
                with suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)


# --- The network ------------------------------------------------------------------------------

_SO_ATTACH_FILTER, _SO_DETACH_FILTER = 26, 27
_DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0), 8)
_DROP_ALL_PROGRAM = struct.pack("@HxxxxxxP", 1, ctypes.addressof(_DROP_ALL))


def drop_packets(sock) -> None:
    """Let this process's own socket drop what arrives, as if the packets were lost on the way."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _DROP_ALL_PROGRAM)


def take_packets(sock) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


class Link:
    """A proxy before one server. Its open connections may go silent, and it may be cut.

    A silent connection passes nothing on and acknowledges nothing, in both directions.
    """

    def __init__(self, target: str, delay: float = 0.0) -> None:
        """Take the server's address, and the time that bytes take in each direction."""
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._delay = delay
        self._pairs: set[_Pair] = set()
        self._listener: socket.socket | None = None

    async def start(self, host: str) -> str:
        server = await asyncio.start_server(self._serve, host, 0)
        self._listener = server.sockets[0]
        return "%s:%d" % self._listener.getsockname()[:2]

    def silence_open_connections(self) -> int:
        """Make the open connections silent for good, while new ones work; return their number."""
        for pair in self._pairs:
            pair.silence()
        return len(self._pairs)

    def last_sent_at(self, sent: bytes) -> float:
        """Return when a request that contains some bytes was last sent on an open connection."""
        return max((pair.sent_at for pair in self._pairs if sent in pair.last_sent), default=0.0)

    def reset_connection(self, sent: bytes) -> None:
        """Reset the connection on which a request that contains some bytes was sent last."""
        pairs = [pair for pair in self._pairs if sent in pair.last_sent]
        if pairs:
            max(pairs, key=lambda pair: pair.sent_at).reset()

    def cut(self) -> None:
        """Cut the link: open connections fall silent, and new ones hang."""
        drop_packets(self._listener)
        for pair in self._pairs:
            pair.silence()

    def heal(self) -> None:
        """End the cut: what is held up on connections that still live is delivered."""
        take_packets(self._listener)
        for pair in self._pairs:
            pair.wake()

    async def _serve(self, reader, writer) -> None:
        try:
            onward = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(reader, writer, *onward, self._delay)
        self._pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    """One connection through a link, and the one behind it."""

    def __init__(self, reader, writer, onward_reader, onward_writer, delay: float) -> None:
        self._delay = delay
        self.last_sent = b""
        self.sent_at = 0.0
        self._near = (reader, writer)
        self._far = (onward_reader, onward_writer)
        self._open = asyncio.Event()
        self._open.set()

    def silence(self) -> None:
        self._open.clear()
        with suppress(OSError):
            drop_packets(self._near[1].get_extra_info("socket"))

    def wake(self) -> None:
        take_packets(self._near[1].get_extra_info("socket"))
        self._open.set()

    def reset(self) -> None:
        """Reset the connection on both sides."""
        for _, writer in (self._near, self._far):
            linger = struct.pack("ii", 1, 0)
            with suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.transport.abort()

    async def run(self) -> None:
        await asyncio.gather(
            self._pass_on(self._near[0], self._far[1]), self._pass_on(self._far[0], self._near[1])
        )

    async def _pass_on(self, reader, writer) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if reader is self._near[0]:
                    self.last_sent, self.sent_at = data, time.monotonic()
                if self._delay:
                    await asyncio.sleep(self._delay)
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
            writer.close()
        except (ConnectionError, OSError):
            # A reset on one side becomes a reset on the other one.
            await self._open.wait()
            writer.transport.abort()


# --- Instances --------------------------------------------------------------------------------


class Instance:
    """A server as the pages describe it; it runs requests that name it and no others.

    :param answer: coroutine function (instance, writer, headers, first line, body) that runs a
        request and writes the answer; it returns whether the connection stays open
    """

    def __init__(self, record, name, service, zone, answer, slots=4) -> None:
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.record = record
        self.arrivals: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)
        self._answer = answer
        self._sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> str:
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def exit(self) -> None:
        """End: stop listening, and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def entry(self, address: str, state: str = "ready") -> dict:
        self._sequence += 1
        return {
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": state,
            "cold_left": "0ms",
            "sequence": self._sequence,
            "born": self.born,
        }

    def stamp(self, request_id: str) -> str:
        return f"{self.name}.{request_id}"

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                first_line, headers = head
                body = await read_body(reader, headers)
                request_id = headers.get("request-id", "")
                if first_line.split(" ")[1].startswith("/health"):
                    writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.name, "Content-Length": 0}))
                    continue
                if headers.get("expect-instance", self.name) != self.name:
                    fields = {"Request-Id": request_id, "Not-Executed": 1, "Content-Length": 0}
                    writer.write(message("HTTP/1.1 421 Misdirected Request", fields))
                    continue
                self.arrivals.append((self.record.now(), request_id))
                self.record.write("arrives", instance=self.name, id=request_id)
                if not await self._answer(self, writer, headers, first_line, body):
                    break
        self._writers.discard(writer)
        with suppress(ConnectionError):
            writer.close()


# --- Gateways ---------------------------------------------------------------------------------


def free_ports(host: str, count: int) -> list[int]:
    socks = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def render(template: str, fields: dict) -> str:
    """Render the deploy file's template, with the placeholders and sections that it uses."""

    def value(path: str, scope: dict) -> object:
        found: object = scope
        for key in path.split("."):
            found = found[key] if isinstance(found, dict) else None
        return found

    def section(match: re.Match) -> str:
        entries = value(match[1], fields)
        return "".join(
            match[2].replace("{{@}}", str(key)).replace("{{.}}", str(item))
            for key, item in entries.items()
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def plain(match: re.Match) -> str:
        found = value(match[1], fields)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


class Gateway:
    """One entry VM: a process that is started as the deploy file says."""

    def __init__(self, folder: Path, name: str, host: str, zone: str, ports: list[int]) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.front, self.ready, self.directory, self.control = (f"{host}:{p}" for p in ports[:4])
        self._range = sorted(ports[4:6])
        self._settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, zones: dict, seeds: list[str], store: str, bounds: dict) -> None:
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "region": zones[self.zone],
            "listen_addrs": {
                "front": self.front,
                "ready": self.ready,
                "directory": self.directory,
                "control": self.control,
            },
            "port_range": self._range,
            "seeds": seeds,
            "platform": {"address": store},
            "bounds": bounds,
            "limits": {"memory_mb": 222, "max_fds": 2870},
            "zones": zones,
        }
        role = _role()
        self._settings.write_text(render((ROOT / role["template"]).read_text(), fields))

    def start(self, descriptors: int | None = None) -> None:
        """Start the process, as the platform does.

        :param descriptors: the limit of open descriptors that the platform sets, if it is at stake
        """
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "CARAWAYQUAY_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                _role()["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        if descriptors is not None:
            limits = (descriptors, descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    async def until_ready(self, seconds: float = 25.0) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended: {self.log.read_text()[-2000:]}")
            with suppress(OSError, asyncio.TimeoutError):
                answer = await asyncio.wait_for(fetch(self.ready, "/ready"), 1.0)
                if answer == 200:
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} was not ready in time")


class CouldNotRun(Exception):
    """The case could not be run as meant, which says nothing on the rule."""


def _role() -> dict:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return next(iter(deploy["roles"].values()))


async def fetch(address: str, path: str) -> int:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message(f"GET {path} HTTP/1.1", {"Host": address}))
        head = await read_head(reader)
        return int(head[0].split(" ")[1]) if head else 0
    finally:
        writer.close()


# --- Clients ----------------------------------------------------------------------------------


class KeptConnection:
    """A connection that a client keeps open for many requests, one after the other."""

    def __init__(self, record: Record, address: str) -> None:
        self._record = record
        self._to = address.rsplit(":", 1)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, host: str, path: str, deadline_ms: int = 4000) -> Answer:
        answer = Answer(secrets.token_hex(8))
        headers = {"Host": host, "Request-Id": answer.request_id, "Deadline-Ms": deadline_ms}
        self._record.write("sent", id=answer.request_id, kept=1)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(self._to[0], int(self._to[1]))
                reader, writer = self._streams
                writer.write(message(f"GET {path} HTTP/1.1", headers))
                await _read_answer(reader, answer)
        except TimeoutError:
            answer.gave_up = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        if not answer.whole or answer.headers.get("connection") == "close":
            self.close()
        self._record.write("answered", id=answer.request_id, status=answer.status, kept=1)
        return answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Answer:
    """What a client saw of one attempt.

    :ivar status: the status, 0 if the connection ended before a head
    :ivar whole: whether the answer was complete by its own framing
    :ivar ended: whether the machine answered, or ended the connection, before the client left
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.gave_up = False
        self.ended = False


async def attempt(
    record: Record,
    address: str,
    host: str,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    key: str = "",
    deadline_ms: int = 4000,
    patience_ms: int | None = None,
) -> Answer:
    """Send one client attempt on a new connection, and read its answer.

    :param patience_ms: how long the client waits, the deadline if None
    """
    request_id = secrets.token_hex(8)
    answer = Answer(request_id)
    headers = {"Host": host, "Request-Id": request_id, "Deadline-Ms": deadline_ms}
    if key:
        headers["Affinity-Key"] = key
    if body:
        headers["Content-Length"] = len(body)
    record.write("sent", id=request_id, to=address, method=method, path=path)
    to, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout((patience_ms or deadline_ms) / 1000):
            reader, writer = await asyncio.open_connection(to, int(port))
            try:
                writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
                await _read_answer(reader, answer)
                answer.ended = True
            finally:
                writer.close()
    except TimeoutError:
        answer.gave_up = True
    except (OSError, asyncio.IncompleteReadError):
        answer.ended = True
    record.write(
        "answered",
        id=request_id,
        status=answer.status,
        bytes=len(answer.body),
        whole=answer.whole,
        gave_up=answer.gave_up,
        stamp=answer.headers.get("server-stamp", "-"),
    )
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    if "content-length" in head[1] or "transfer-encoding" in head[1]:
        answer.body = await read_body(reader, head[1])
    else:
        answer.body = await reader.read()
    answer.whole = True


# --- Running a case ---------------------------------------------------------------------------


def run_case(folder: Path, play) -> None:
    """Play a case and exit with its result.

    :param play: coroutine function (record, folder for settings and logs, trouble, gateways) that
        adds the gateways that it starts to a list, and returns HELD or BROKEN
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    work = Path(tempfile.mkdtemp(prefix="carawayquay-review-"))
    gateways: list[Gateway] = []
    result = COULD_NOT_RUN

    def stop(*_: object) -> None:
        raise CouldNotRun("stopped from outside")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        result = asyncio.run(asyncio.wait_for(play(record, work, trouble, gateways), 110))
    except Exception as error:
        record.write("could-not-run", reason=repr(error))
        print(f"could not run: {error!r}")
    finally:
        for gateway in gateways:
            gateway.end()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(work, keep, dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    record.write("result", exit=result, trouble=int(trouble))
    record.flush()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[result], flush=True)
    # Connections that are silent on purpose are still open; there is nothing left to close in order.
    os._exit(result)
