"""The store's client tells confirmed, refused and unconfirmed calls apart."""

from __future__ import annotations

import itertools
from datetime import timedelta

import curio
import pytest
from curio.network import run_server, tcp_server_socket

from carawayquay.errors import (
    ConflictError,
    HistoryLostError,
    StoreError,
    StoreUnreachableError,
    UnconfirmedWriteError,
)
from carawayquay.membership import Address
from carawayquay.store_revision import StoreRevision
from carawayquay_platform.objects import ObjectKind
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn

KIND = ObjectKind.ENTRY_VMS
WAIT = timedelta(milliseconds=100)


def _with_store(check, **options):
    async def scenario():
        store = PlatformStoreStandIn(**options)
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, store.http.serve, daemon=True)
        address = Address("127.0.0.1", sock.getsockname()[1])
        await check(store, PlatformStoreClient(address, timedelta(milliseconds=300)))

    curio.run(scenario)


def test_list_reads_all_pages():
    async def check(store, client):
        for index in range(7):
            await store.put(KIND.value, f"vm {index}", {"n": index})
        listing = await client.list(KIND)
        assert [item.name for item in listing.objects] == [f"vm {index}" for index in range(7)]
        assert (listing.revision.era, listing.revision.number) == (store.era, store.revision)

    _with_store(check, page_items=3)


async def _changing_store():
    """Return a store that lists objects in three pages, and a client of it."""
    store = PlatformStoreStandIn(page_items=2)
    for name in "abcdef":
        await store.put(KIND.value, name, {"n": 1})
    return store, await _client(store)


async def _client(store):
    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, store.http.serve, daemon=True)
    address = Address("127.0.0.1", sock.getsockname()[1])
    return PlatformStoreClient(address, timedelta(milliseconds=300))


def test_listing_contains_every_change_up_to_its_revision_when_objects_change_between_pages():
    """Guards against a listing that shows a later change but not an earlier one."""

    async def check():
        store, client = await _changing_store()

        async def change_again(_):
            await store.put(KIND.value, "a", {"n": 3})
            await store.put(KIND.value, "f", {"n": 2})
            store.after_page = None

        async def change(_):
            await store.put(KIND.value, "a", {"n": 2})
            await store.remove(KIND.value, "b")
            await store.put(KIND.value, "g", {"n": 1})
            store.after_page = change_again

        store.after_page = change
        listing = await client.list(KIND)
        assert {item.name: item.value["n"] for item in listing.objects} == {
            "a": 3,
            "c": 1,
            "d": 1,
            "e": 1,
            "f": 2,
            "g": 1,
        }
        assert max(item.revision for item in listing.objects) <= listing.revision
        assert listing.revision.number == store.revision

    curio.run(check)


def test_listing_fails_if_the_store_has_discarded_the_changes_between_its_pages():
    async def check():
        store, client = await _changing_store()

        async def change(_):
            await store.put(KIND.value, "a", {"n": 2})
            await store.put(KIND.value, "g", {"n": 1})
            await store.compact_history()
            store.after_page = None

        store.after_page = change
        with pytest.raises(StoreError) as caught:
            await client.list(KIND)
        assert not isinstance(caught.value, HistoryLostError)
        assert len((await client.list(KIND)).objects) == 7

    curio.run(check)


def test_listing_whose_pages_show_no_change_is_not_followed_by_a_watch():
    async def check():
        store, client = await _changing_store()
        await client.list(KIND)
        assert not any("watch=" in call for call in store.calls)

    curio.run(check)


def test_watch_returns_changes_and_deletions_since_a_revision():
    async def check(store, client):
        await store.put(KIND.value, "a", {})
        listing = await client.list(KIND)
        await store.put(KIND.value, "b", {})
        await store.remove(KIND.value, "a")
        changes = await client.watch(KIND, listing.revision, WAIT)
        assert [(item.object.name, item.deleted) for item in changes.events] == [
            ("b", False),
            ("a", True),
        ]
        assert (await client.watch(KIND, changes.revision, WAIT)).events == ()

    _with_store(check)


def test_changes_are_returned_without_waiting_also_where_there_is_none():
    async def check(store, client):
        await store.put(KIND.value, "vm", {"n": 1})
        listing = await client.list(KIND)
        unchanged = await curio.timeout_after(1.0, client.changes, KIND, listing.revision)
        assert (unchanged.events, unchanged.revision) == ((), listing.revision)
        await store.put("servers", "other", {})
        await store.put(KIND.value, "vm", {"n": 2})
        changed = await client.changes(KIND, listing.revision)
        assert [event.object.value for event in changed.events] == [{"n": 2}]
        assert changed.revision.number == store.revision

    _with_store(check)


def test_changes_that_the_store_swallows_or_has_discarded_raise_an_error():
    async def check(store, client):
        await store.put(KIND.value, "vm", {"n": 1})
        known = (await client.list(KIND)).revision
        store.faults.swallow = lambda request: "watch=" in request.target
        with pytest.raises(StoreError, match="no response"):
            await client.changes(KIND, known)
        store.faults.swallow = lambda request: False
        await store.put(KIND.value, "vm", {"n": 2})
        await store.compact_history()
        with pytest.raises(HistoryLostError):
            await client.changes(KIND, known)

    _with_store(check)


def test_watch_from_a_discarded_revision_raises_history_lost():
    async def check(store, client):
        listing = await client.list(KIND)
        await store.put(KIND.value, "a", {})
        await store.compact_history()
        with pytest.raises(HistoryLostError):
            await client.watch(KIND, listing.revision, WAIT)

    _with_store(check)


def test_writes_are_conditional():
    async def check(store, client):
        created = await client.create(KIND, "a", {"n": 1})
        with pytest.raises(ConflictError):
            await client.create(KIND, "a", {"n": 2})
        replaced = await client.replace(KIND, "a", {"n": 2}, created.revision)
        with pytest.raises(ConflictError):
            await client.replace(KIND, "a", {"n": 3}, created.revision)
        with pytest.raises(ConflictError):
            await client.delete(KIND, "a", created.revision)
        await client.delete(KIND, "a", replaced.revision)
        assert await client.get(KIND, "a") is None

    _with_store(check)


def test_write_whose_response_is_lost_is_unconfirmed():
    async def check(store, client):
        store.faults.lose_writes = 1
        with pytest.raises(UnconfirmedWriteError):
            await client.create(KIND, "a", {})
        assert store.object(KIND.value, "a") is not None

    _with_store(check)


@pytest.mark.parametrize("status", [429, 503])
def test_write_refused_by_the_store_is_not_unconfirmed(status):
    async def check(store, client):
        store.faults.refuse_status = status
        with pytest.raises(StoreError) as raised:
            await client.create(KIND, "a", {})
        assert not isinstance(raised.value, UnconfirmedWriteError)

    _with_store(check)


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_unresponsive_store_raises_store_error(fault):
    async def check(store, client):
        setattr(store.faults, fault, True)
        with pytest.raises(StoreError):
            await client.list(KIND)

    _with_store(check)


def test_calls_use_the_address_set_last():
    async def check(store, client):
        second = PlatformStoreStandIn()
        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, second.http.serve, daemon=True)
        await second.put(KIND.value, "a", {})
        assert (await client.list(KIND)).objects == ()
        client.set_address(Address("127.0.0.1", sock.getsockname()[1]))
        assert [item.name for item in (await client.list(KIND)).objects] == ["a"]

    _with_store(check)


def test_call_after_a_failed_one_uses_no_connection_from_before_it():
    """Guards against taking a store for away whose idle connections are silent."""

    async def check():
        silent = False
        page = b'{"items":[],"has_more":false,"current_rev":1}'
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(page), page)

        async def serve(sock, _):
            silent_before = silent
            while await sock.recv(65536):
                if silent == silent_before:
                    await curio.sleep(0.05)
                    await sock.sendall(answer)

        sock = tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(run_server, sock, serve, daemon=True)
        address = Address("127.0.0.1", sock.getsockname()[1])
        client = PlatformStoreClient(address, timedelta(milliseconds=300))
        async with curio.TaskGroup() as group:
            for _ in range(3):
                await group.spawn(client.list, KIND)
        silent = True
        with pytest.raises(StoreError):
            await client.list(KIND)
        assert (await client.list(KIND)).revision.number == 1

    curio.run(check)


def _delayed_store(delays):
    """Return a handler of connections that answers with a delay in seconds, or never if None.

    :param delays: called with the number of the connection
    """
    page = b'{"items":[],"events":[],"has_more":false,"current_rev":1}'
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(page), page)
    connections = itertools.count(1)

    async def serve(sock, _):
        number = next(connections)
        while await sock.recv(65536):
            delay = delays(number)
            if delay is not None:
                await curio.sleep(delay)
                await sock.sendall(answer)

    return serve


def _check_after_list(delays):
    """Return a client that has listed a kind, and then checked it for changes.

    :param delays: of the answers after the listing, as for :func:`_delayed_store`
    """

    async def check():
        listed = False
        sock = tcp_server_socket("127.0.0.1", 0)
        serve = _delayed_store(lambda number: delays(number) if listed else 0.0)
        await curio.spawn(run_server, sock, serve, daemon=True)
        address = Address("127.0.0.1", sock.getsockname()[1])
        client = PlatformStoreClient(address, timedelta(milliseconds=500))
        listing = await client.list(KIND)
        listed = True
        changes = await client.changes(KIND, listing.revision)
        assert changes.revision == listing.revision
        return client

    return curio.run(check)


def test_check_that_a_reused_connection_does_not_answer_is_repeated_on_a_new_one():
    """Guards against waiting for keep-alive probes where a connection has fallen silent."""
    client = _check_after_list(lambda number: None if number == 1 else 0.0)
    assert client.silences == 1


def test_check_that_the_store_answers_late_on_any_connection_shows_no_silent_connection():
    client = _check_after_list(lambda _: 0.3)
    assert client.silences == 0


def test_store_that_refuses_connections_is_unreachable():
    async def check():
        sock = tcp_server_socket("127.0.0.1", 0)
        address = Address("127.0.0.1", sock.getsockname()[1])
        await sock.close()
        client = PlatformStoreClient(address, timedelta(milliseconds=300))
        with pytest.raises(StoreUnreachableError):
            await client.list(KIND)
        with pytest.raises(StoreUnreachableError):
            await client.create(KIND, "a", {})

    curio.run(check)


async def _client_of_bytes(response):
    """Return a client of a store that answers every call with prepared bytes."""

    async def serve(sock, _):
        while await sock.recv(65536):
            await sock.sendall(response)

    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, serve, daemon=True)
    address = Address("127.0.0.1", sock.getsockname()[1])
    return PlatformStoreClient(address, timedelta(milliseconds=300))


@pytest.mark.parametrize("status", [b"000", b"0200", b"99", b"600", b"999", b"+200", b"20x", b""])
def test_response_with_an_invalid_status_confirms_and_refuses_nothing(status):
    """Guards against taking such a response to a write for one that was not performed."""

    async def check():
        head = b"HTTP/1.1 " + status + b" X\r\ncontent-length: 0\r\n\r\n"
        client = await _client_of_bytes(head)
        with pytest.raises(UnconfirmedWriteError):
            await client.create(KIND, "a", {"n": 1})
        with pytest.raises(StoreError):
            await client.list(KIND)
        with pytest.raises(StoreError):
            await client.watch(KIND, StoreRevision(0, 1), WAIT)

    curio.run(check)


_LARGEST_OBJECT_BYTES = 1024 * 1024 - 200


# Guards against a VM that reads everything at once which it has missed.
def test_changes_larger_than_two_objects_count_as_lost_history_and_can_be_listed():
    async def check(store, client):
        before = StoreRevision(store.era, store.revision)
        for count in range(1, 4):
            await store.put(KIND.value, "a", {"n": count, "text": "x" * _LARGEST_OBJECT_BYTES})
            if count < 3:
                assert len((await client.changes(KIND, before)).events) == count
        with pytest.raises(HistoryLostError):
            await client.changes(KIND, before)
        with pytest.raises(HistoryLostError):
            await client.watch(KIND, before, WAIT)
        with pytest.raises(HistoryLostError):
            await client.pull(KIND, before)
        assert [item.value["n"] for item in (await client.list(KIND)).objects] == [3]

    _with_store(check)
