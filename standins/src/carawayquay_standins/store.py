"""Stand-in for the store that daemons and ``carawayquayctl`` use, with injected faults."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
import curio

from carawayquay_wire.http import HttpLimits, HttpRequest, HttpResponse, json_response
from carawayquay_wire.http_server import HttpServer

__all__ = ["Faults", "StoreStandIn"]


@attrs.define
class Faults:
    """Faults to inject.

    :param down: close every connection without an answer
    :param swallow: accept calls and never answer them; waiting watches go on
    :param delay_ms: delay of each answer in milliseconds
    :param lose_writes: number of writes to apply without an answer
    :param stale: answer reads and watches from a snapshot taken when the fault is first set
    :param stale_revision: answer reads and watches from the snapshot at this revision; 0 for none
    """

    down: bool = False
    swallow: bool = False
    delay_ms: int = 0
    lose_writes: int = 0
    stale: bool = False
    stale_revision: int = 0


@attrs.frozen
class _Entry:
    name: str
    version: int
    value: Any


class StoreStandIn:
    """In-memory object store with lists, long-poll watches and conditional writes over HTTP.

    Every answer names its era, which rises by one with each restore (``PUT /control``).
    """

    def __init__(self) -> None:
        self._revision = 0
        self._era = 1
        self._kinds: dict[str, dict[str, _Entry]] = {}
        self._history: list[tuple[str, _Entry]] = []
        self._changed = curio.Condition()
        self._faults = Faults()
        self._calls = {"reads": 0, "writes": 0, "watches": 0}
        self.http = HttpServer(self._handle, _error_response, HttpLimits(body_bytes=1024 * 1024))

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls so far: reads, writes and watches."""
        return dict(self._calls)

    def write(self, kind: str, name: str, value: Any) -> int:
        """Write an object unconditionally and return its version.

        Waiting watches are not notified, so tests may call it for set-up only.
        """
        self._revision += 1
        entry = _Entry(name, self._revision, value)
        self._kinds.setdefault(kind, {})[name] = entry
        self._history.append((kind, entry))
        return self._revision

    async def _handle(self, request: HttpRequest) -> HttpResponse | None:
        url = urlsplit(request.target)
        if url.path == "/control":
            return await self._control(request)
        answer = await self._answer(request)
        if answer is None:
            return None
        era = (b"store-era", str(self._era).encode())
        return attrs.evolve(answer, headers=(*answer.headers, era))

    async def _answer(self, request: HttpRequest) -> HttpResponse | None:
        url = urlsplit(request.target)
        if self._faults.down:
            return None
        if self._faults.swallow:
            await curio.Event().wait()
        if self._faults.delay_ms:
            await curio.sleep(self._faults.delay_ms / 1000)
        match [part for part in url.path.split("/") if part]:
            case ["objects", kind, name] if request.method == "GET":
                return self._get(kind, name)
            case ["objects", kind, name] if request.method == "PUT":
                return await self._put(kind, name, request)
            case ["objects", kind]:
                return self._list(kind)
            case ["watch", kind]:
                return await self._watch(kind, parse_qs(url.query))
        return json_response(404, {"error": "unknown path or method"})

    async def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT":
            await self._restore(json.loads(request.body)["revision"])
        if request.method == "POST":
            previous_revision = self._faults.stale_revision
            self._faults = Faults(**json.loads(request.body))
            if self._faults.stale and not self._faults.stale_revision:
                self._faults.stale_revision = previous_revision or self._revision
            async with self._changed:
                await self._changed.notify_all()
        return json_response(200, {"calls": self._calls, "faults": attrs.asdict(self._faults)})

    async def _restore(self, revision: int) -> None:
        """Go back to the copy of a revision; later revisions are given out again."""
        self._history = [item for item in self._history if item[1].version <= revision]
        self._kinds = {}
        for kind, entry in self._history:
            self._kinds.setdefault(kind, {})[entry.name] = entry
        self._revision = revision
        self._era += 1
        async with self._changed:
            await self._changed.notify_all()

    def _get(self, kind: str, name: str) -> HttpResponse:
        self._calls["reads"] += 1
        entry = self._visible(kind).get(name)
        if entry is None:
            return json_response(404, {"error": "no such object"})
        return json_response(200, {"version": entry.version, "value": entry.value})

    def _list(self, kind: str) -> HttpResponse:
        self._calls["reads"] += 1
        return self._listing(list(self._visible(kind).values()))

    async def _put(self, kind: str, name: str, request: HttpRequest) -> HttpResponse | None:
        self._calls["writes"] += 1
        current = self._kinds.get(kind, {}).get(name)
        expected = int(request.header(b"if-match") or "0")
        if (current.version if current else 0) != expected:
            return json_response(412, {"error": "stored version is not the expected one"})
        version = self.write(kind, name, json.loads(request.body))
        async with self._changed:
            await self._changed.notify_all()
        if self._faults.lose_writes > 0:
            self._faults.lose_writes -= 1
            return None
        return json_response(200, {"version": version})

    async def _watch(self, kind: str, query: dict[str, list[str]]) -> HttpResponse | None:
        self._calls["watches"] += 1
        after = int(query["after"][0])
        async with curio.ignore_after(int(query["wait_ms"][0]) / 1000), self._changed:
            while not self._changed_after(kind, after) and not self._faults.down:
                await self._changed.wait()
        if self._faults.down:
            return None
        return self._listing(self._changed_after(kind, after))

    def _visible(self, kind: str) -> dict[str, _Entry]:
        if not self._faults.stale_revision:
            return self._kinds.get(kind, {})
        limit = self._faults.stale_revision
        return {
            entry.name: entry
            for found, entry in self._history
            if found == kind and entry.version <= limit
        }

    def _changed_after(self, kind: str, after: int) -> list[_Entry]:
        return [entry for entry in self._visible(kind).values() if entry.version > after]

    def _listing(self, entries: list[_Entry]) -> HttpResponse:
        revision = self._faults.stale_revision or self._revision
        items = [attrs.asdict(entry) for entry in entries]
        return json_response(200, {"revision": revision, "items": items})


def _error_response(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})
