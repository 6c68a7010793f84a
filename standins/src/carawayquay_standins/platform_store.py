"""Stand-in for the platform's store that gateways use, with injected faults."""

from __future__ import annotations

import copy
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote, urlsplit

import attrs
import curio

from carawayquay_wire.http import HttpLimits, HttpRequest, HttpResponse, json_response
from carawayquay_wire.http_server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["PlatformFaults", "PlatformStoreStandIn"]

_PAGE_ITEMS = 500


def _swallow_none(_: HttpRequest) -> bool:
    """Swallow no call."""
    return False


@attrs.define
class PlatformFaults:
    """Faults to inject.

    :param down: close every connection without an answer
    :param silent: accept calls and never answer them
    :param swallow: tells of each call whether to accept it and never answer it
    :param refuse_status: status to answer every call with; 0 to serve calls
    :param delay_seconds: delay of each answer
    :param lose_writes: number of writes to apply without an answer
    """

    down: bool = False
    silent: bool = False
    swallow: Callable[[HttpRequest], bool] = _swallow_none
    refuse_status: int = 0
    delay_seconds: float = 0.0
    lose_writes: int = 0


class PlatformStoreStandIn:
    """In-memory object store with lists, long-poll watches and conditional writes over HTTP.

    Every answer names the store's era, which rises by one with each restore.

    :param page_items: maximum number of objects on one page of a list
    :param era: the first era, or 0 to name none
    :ivar calls: method and request target of every request so far
    :ivar after_page: called with the kind before a page of a list is answered that more are to
        follow, and after its objects were read
    """

    def __init__(self, page_items: int = _PAGE_ITEMS, era: int = 1) -> None:
        self._page_items = page_items
        self._era = era
        self._revision = 1
        self._kinds: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._compacted_revision = 0
        self._changed = curio.Condition()
        self.faults = PlatformFaults()
        self.calls: list[str] = []
        self.after_page: Callable[[str], Awaitable[None]] | None = None
        self.http = HttpServer(self._handle, _error_response, HttpLimits(body_bytes=1024 * 1024))

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """The number of restores, counted from the first era."""
        return self._era

    def object(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if there is none."""
        return self._kinds.get(kind, {}).get(name)

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally and return its revision."""
        current = self.object(kind, name)
        return await self._store(kind, _object(name, spec, current), deleted=False)

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object unconditionally, if it exists."""
        current = self._kinds.get(kind, {}).get(name)
        if current is not None:
            await self._store(kind, current, deleted=True)

    async def compact_history(self) -> None:
        """Compact the history up to now; watches from an earlier revision end with status 410."""
        self._compacted_revision = self._revision
        async with self._changed:
            await self._changed.notify_all()

    async def go_down(self) -> None:
        """Close every connection without an answer, also those of waiting watches."""
        self.faults.down = True
        async with self._changed:
            await self._changed.notify_all()

    async def restore(self, revision: int) -> None:
        """Go back to the copy of a revision; later revisions are given out again."""
        self._history = [item for item in self._history if item[0] <= revision]
        self._kinds = {}
        for _, kind, event in self._history:
            stored = event["object"]
            objects = self._kinds.setdefault(kind, {})
            if event["deleted"]:
                objects.pop(stored["metadata"]["name"], None)
            else:
                objects[stored["metadata"]["name"]] = stored
        self._revision = revision
        self._era += 1
        async with self._changed:
            await self._changed.notify_all()

    async def _store(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> int:
        self._revision += 1
        stored = copy.deepcopy(stored)
        stored["metadata"]["revision"] = self._revision
        if deleted:
            self._kinds[kind].pop(stored["metadata"]["name"], None)
        else:
            self._kinds.setdefault(kind, {})[stored["metadata"]["name"]] = stored
        event = {"object": stored, "deleted": deleted}
        self._history.append((self._revision, kind, event))
        async with self._changed:
            await self._changed.notify_all()
        return self._revision

    async def _handle(self, request: HttpRequest) -> HttpResponse | None:
        faults = self.faults
        self.calls.append(f"{request.method} {request.target}")
        if faults.silent or faults.swallow(request):
            await curio.Event().wait()
        if faults.down:
            return None
        if faults.refuse_status:
            return self._with_era(HttpResponse(faults.refuse_status))
        if faults.delay_seconds:
            await curio.sleep(faults.delay_seconds)
        answer = await self._answer(request)
        if answer is None:
            return None
        answer = self._with_era(answer)
        if request.method != "GET" and faults.lose_writes > 0:
            faults.lose_writes -= 1
            return None
        return answer

    def _with_era(self, answer: HttpResponse) -> HttpResponse:
        if not self._era:
            return answer
        era = (b"store-era", str(self._era).encode())
        return attrs.evolve(answer, headers=(*answer.headers, era))

    async def _answer(self, request: HttpRequest) -> HttpResponse | None:
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        match [unquote(part) for part in url.path.split("/") if part]:
            case ["objects", kind] if request.method == "GET" and "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
            case ["objects", kind] if request.method == "GET":
                return await self._list(kind, query.get("after", ""))
            case ["objects", kind] if request.method == "POST":
                return await self._create(kind, json.loads(request.body))
            case ["objects", kind, name] if request.method == "GET":
                return self._get(kind, name)
            case ["objects", kind, name] if request.method == "PUT":
                return await self._replace(kind, name, json.loads(request.body))
            case ["objects", kind, name] if request.method == "DELETE":
                return await self._delete(kind, name, query.get("revision"))
        return HttpResponse(404)

    def _get(self, kind: str, name: str) -> HttpResponse:
        found = self.object(kind, name)
        return HttpResponse(404) if found is None else json_response(200, found)

    async def _list(self, kind: str, after: str) -> HttpResponse:
        names = sorted(name for name in self._kinds.get(kind, {}) if name > after)
        page = names[: self._page_items]
        value = {
            "items": [self._kinds[kind][name] for name in page],
            "has_more": len(names) > len(page),
            "current_rev": self._revision,
        }
        response = json_response(200, value)
        if value["has_more"] and self.after_page is not None:
            await self.after_page(kind)
        return response

    async def _watch(self, kind: str, after: int, wait_ms: int) -> HttpResponse | None:
        events: list[Any] = []
        async with curio.ignore_after(wait_ms / 1000), self._changed:
            while self._has_history(after) and not (events := self._events(kind, after)):
                await self._changed.wait()
                if self.faults.down:
                    return None
        if not self._has_history(after):
            return HttpResponse(410)
        return json_response(200, {"events": events, "current_rev": self._revision})

    def _has_history(self, after: int) -> bool:
        """Return whether the changes after a revision are known and the revision exists."""
        return self._compacted_revision <= after <= self._revision

    def _events(self, kind: str, after: int) -> list[Any]:
        return [
            event
            for revision, event_kind, event in self._history
            if revision > after and event_kind == kind
        ]

    async def _create(self, kind: str, body: Any) -> HttpResponse:
        name = body["metadata"]["name"]
        current = self.object(kind, name)
        if current is not None:
            return json_response(409, current)
        await self._store(kind, _object(name, body.get("spec"), None), deleted=False)
        return json_response(200, self.object(kind, name))

    async def _replace(self, kind: str, name: str, body: Any) -> HttpResponse:
        current = self.object(kind, name)
        if current is None:
            return HttpResponse(404)
        revision = body["metadata"].get("revision")
        if revision is not None and revision != current["metadata"]["revision"]:
            return json_response(409, current)
        if body.get("spec") != current["spec"]:
            await self._store(kind, _object(name, body.get("spec"), current), deleted=False)
        return json_response(200, self.object(kind, name))

    async def _delete(self, kind: str, name: str, revision: str | None) -> HttpResponse:
        current = self.object(kind, name)
        if current is None:
            return HttpResponse(404)
        if revision is not None and int(revision) != current["metadata"]["revision"]:
            return json_response(409, current)
        await self._store(kind, current, deleted=True)
        return json_response(200, current)


def _object(name: str, spec: Any, current: dict[str, Any] | None) -> dict[str, Any]:
    metadata = {
        "name": name,
        "revision": 0,
        "created": current["metadata"]["created"] if current else 0,
        "finalizers": [],
        "pending_delete": False,
    }
    return {"metadata": metadata, "spec": spec, "status": None}


def _error_response(status: int, _: str) -> HttpResponse:
    return HttpResponse(status)
