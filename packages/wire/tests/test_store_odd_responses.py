"""An odd object or response of the store costs only itself, and no error but StoreError."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest
from curio.network import run_server, tcp_server_socket

from carawayquay.errors import StoreError
from carawayquay.membership import Address
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.store import StoreClient

_HOST = "127.9.32.1"
_SOUND = b'{"name":"a","version":3,"value":{"n":1}}'


def _call(body, name, *args, headers=()):
    """Return the result of a call of the client to a store that answers with a body."""

    async def check():
        sock = tcp_server_socket(_HOST, 0)
        answer = HttpResponse(200, headers, body)
        server = HttpServer(lambda _: answer, lambda status, _: HttpResponse(status))
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        client = StoreClient(Address(_HOST, sock.getsockname()[1]), timedelta(seconds=2))
        try:
            return await getattr(client, name)(*args)
        finally:
            await client.close()

    return curio.run(check)


@pytest.mark.parametrize(
    "odd",
    [
        b"null",
        b"7",
        b"[]",
        b"{}",
        b'{"name":["a"],"version":3,"value":1}',
        b'{"name":"b","value":1}',
        b'{"name":"b","version":3}',
        b'{"name":"b","version":"3","value":1}',
        b'{"name":"b","version":true,"value":1}',
        b'{"name":"b","version":-3,"value":1}',
        b'{"name":"b","version":1%s,"value":1}' % (b"0" * 30),
        b'{"name":"b","version":%s,"value":1}' % (b"9" * 5_000),
        b'{"name":"b","version":01,"value":1}',
    ],
)
@pytest.mark.parametrize(("name", "args"), [("list", ()), ("watch", (2, timedelta()))])
def test_odd_object_costs_only_itself(odd, name, args):
    listing = _call(b'{"revision":5,"items":[%s,%s]}' % (odd, _SOUND), name, "documents", *args)
    assert [item.name for item in listing.objects] == ["a"]
    assert listing.revision == 5


def test_object_nested_too_deep_is_read_with_its_name():
    deep = b'{"name":"b","version":4,"value":%s}' % (b"[" * 100_000 + b"]" * 100_000)
    listing = _call(b'{"revision":5,"items":[%s,%s]}' % (deep, _SOUND), "list", "documents")
    assert [item.name for item in listing.objects] == ["b", "a"]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"7",
        b"[]",
        b"{}",
        b'{"items":[]}',
        b'{"items":{},"revision":1}',
        b'{"items":[],"revision":-1}',
        b'{"items":[],"revision":true}',
        b'{"items":[],"revision":1%s}' % (b"0" * 30),
        b"[" * 100_000,
    ],
)
@pytest.mark.parametrize(
    ("name", "args"),
    [
        ("list", ()),
        ("watch", (2, timedelta())),
        ("get", ("a",)),
    ],
)
def test_odd_response_is_a_store_error(body, name, args):
    with pytest.raises(StoreError):
        _call(body, name, "documents", *args)


@pytest.mark.parametrize("era", ["9" * 5_000, "9" * 30, "\xb2", "-1", ""])
def test_odd_era_is_read_as_none(era):
    headers = ((b"store-era", era.encode("latin-1")),)
    listing = _call(b'{"revision":5,"items":[]}', "list", "documents", headers=headers)
    assert listing.revision == 5
