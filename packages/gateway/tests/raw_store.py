"""Store that serves prepared bytes, as another writer's odd entries make a store serve them."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import curio
from curio.network import run_server, tcp_server_socket

from carawayquay.membership import Address
from carawayquay_gateway.admin import reject
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer

__all__ = ["RawStore", "raw_entry"]

_WATCH_SECONDS = 0.2


def raw_entry(name, revision, spec):
    """Return the bytes of an object whose ``spec`` is given as bytes."""
    metadata = b'{"name":"%s","revision":%d,"finalizers":[]}' % (name.encode(), revision)
    return b'{"metadata":%s,"spec":%s,"status":null}' % (metadata, spec)


class RawStore:
    """Store that serves a kind's pages of objects and batches of events as they are given.

    :ivar pages: for each kind, the objects of each page
    :ivar events: for each kind, the batches of events that were not asked for yet, each with the
        revision that follows
    :ivar after: the names after which pages were asked for
    """

    def __init__(self, revision=10):
        self.revision = revision
        self.pages = {}
        self.events = {}
        self.after = []
        self.lists = 0

    async def listen(self, host):
        """Listen on a free port and return the address."""
        sock = tcp_server_socket(host, 0)
        server = HttpServer(self._handle, reject)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        return Address(host, sock.getsockname()[1])

    async def _handle(self, request):
        url = urlsplit(request.target)
        query = parse_qs(url.query)
        kind = url.path.removeprefix("/objects/")
        if "watch" in query:
            return await self._watch(kind)
        return self._list(kind, query.get("after", [""])[0])

    async def _watch(self, kind):
        if not self.events.get(kind):
            await curio.sleep(_WATCH_SECONDS)
            return HttpResponse(200, (), b'{"events":[],"current_rev":%d}' % self.revision)
        items, self.revision = self.events[kind].pop(0)
        body = b'{"events":[%s],"current_rev":%d}' % (b",".join(items), self.revision)
        return HttpResponse(200, (), body)

    def _list(self, kind, after):
        self.lists += 1
        self.after += [after] if after else []
        pages = self.pages.get(kind, [[]])
        index = (
            0 if not after else 1 + next(i for i, page in enumerate(pages) if _names(page, after))
        )
        more = b"true" if index + 1 < len(pages) else b"false"
        body = b'{"items":[%s],"has_more":%s,"current_rev":%d}'
        return HttpResponse(200, (), body % (b",".join(pages[index]), more, self.revision))


def _names(page, name):
    return any(b'"name":"%s"' % name.encode() in item for item in page)
