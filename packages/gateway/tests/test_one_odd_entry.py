"""An odd entry of another writer costs only itself; the list is followed on."""

from __future__ import annotations

import json
import random
from contextlib import suppress
from datetime import timedelta
from functools import partial

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import at, configuration, identity, new_state, run, settings, target
from raw_store import RawStore, raw_entry

from carawayquay.clock import MonotonicClock
from carawayquay.errors import StoreError
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.objects import ObjectKind
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics
from carawayquay_wire.reports import decode_report, encode_report

_HOST = "127.9.30.1"
_SETTLE_SECONDS = 0.5

ODD_SPECS = {
    "arrays": b"[" * 100_000 + b"]" * 100_000,
    "objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested-less-than-json-refuses": b'{"a":' * 900 + b"1" + b"}" * 900,
    "integer": b"9" * 5_000,
    "no-utf8": b'{"service":"\xff\xfe"}',
    "half-a-surrogate-in-bytes": b'{"service":"\xed\xa0\x80"}',
    "half-a-surrogate": b'{"service":"\\ud800"}',
    "control-character": b'{"service":"a\x00b"}',
    "no-numbers": b'{"max_concurrency":NaN,"sequence":1e999,"born":-Infinity}',
    "no-json": b'{"service":01}',
}
odd_specs = pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)


def _target(port, **changes):
    return json.dumps(target(f"127.0.0.1:{port}", **changes)).encode()


async def _follow(store, *kinds):
    """Return a state that follows kinds of objects of a store, and the watchers' tasks."""
    state = GatewayState(settings(), MonotonicClock(), Metrics(), identity())
    client = PlatformStoreClient(await store.listen(_HOST), timedelta(seconds=2))
    tasks = []
    for kind in kinds:
        watcher = Watcher(
            state, client, state.replicas[kind], random.Random(1), timedelta(seconds=0.5)
        )
        tasks.append(await curio.spawn(watcher.run, daemon=True))
    return state, tasks


async def _until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


def _refused(state):
    """Return the number of refused objects that were counted."""
    lines = state.metrics.exposition().splitlines()
    return sum(float(line.split()[-1]) for line in lines if "objects_refused_total{" in line)


@odd_specs
def test_odd_entry_in_a_listing_costs_only_itself(spec):
    async def check():
        store = RawStore()
        store.pages["servers"] = [
            [raw_entry("a", 1, _target(81)), raw_entry("b", 2, spec)],
            [raw_entry("c", 3, _target(83))],
        ]
        state, tasks = await _follow(store, ObjectKind.TARGETS)
        await _until(lambda: state.targets.get("a") and state.targets.get("c"))
        assert state.targets.get("b") is None
        store.events["servers"] = [
            ([b'{"object":%s,"deleted":false}' % raw_entry("d", 11, _target(84))], 11)
        ]
        await _until(lambda: state.targets.get("d"))
        assert store.lists == 2
        assert _refused(state) == 1
        assert not tasks[0].terminated

    run(check)


@odd_specs
def test_odd_entry_among_changes_costs_only_itself(spec):
    async def check():
        store = RawStore()
        store.pages["servers"] = [[raw_entry("a", 1, _target(81))]]
        state, tasks = await _follow(store, ObjectKind.TARGETS)
        await _until(lambda: state.targets.get("a"))
        events = [
            b'{"object":%s,"deleted":false}' % entry
            for entry in (raw_entry("b", 11, spec), raw_entry("c", 12, _target(83)))
        ]
        gone = b'{"object":%s,"deleted":true}' % raw_entry("a", 1, spec)
        store.events["servers"] = [(events, 12), ([gone], 13)]
        await _until(lambda: state.targets.get("c") and not state.targets.get("a"))
        await curio.sleep(_SETTLE_SECONDS)
        assert store.lists == 1
        assert _refused(state) == 1
        assert not tasks[0].terminated

    run(check)


@odd_specs
def test_odd_configuration_leaves_the_one_in_force(spec):
    async def check():
        store = RawStore()
        valid = json.dumps(configuration(version=3)).encode()
        store.pages["config"] = [[raw_entry("main", 1, valid)]]
        state, tasks = await _follow(store, ObjectKind.CONFIGURATION)
        await _until(lambda: state.configuration)
        later = json.dumps(configuration(version=4)).encode()
        store.events["config"] = [
            ([b'{"object":%s,"deleted":false}' % raw_entry("main", 11, spec)], 11),
            ([b'{"object":%s,"deleted":false}' % raw_entry("main", 12, later)], 12),
        ]
        await _until(lambda: state.configuration.version == 4)
        assert store.lists == 1
        assert not tasks[0].terminated

    run(check)


@odd_specs
def test_odd_entry_is_passed_on_to_other_vms_readably(spec):
    async def check():
        store = RawStore()
        store.pages["servers"] = [[raw_entry("a", 1, _target(81)), raw_entry("b", 2, spec)]]
        state, _ = await _follow(store, ObjectKind.TARGETS)
        await _until(lambda: state.targets.get("a"))
        events = [
            b'{"object":%s,"deleted":false}' % entry
            for entry in (raw_entry("c", 11, spec), raw_entry("d", 12, _target(84)))
        ]
        store.events["servers"] = [(events, 12)]
        await _until(lambda: state.targets.get("d"))
        server = HttpServer(AdminApi(state).handle, reject)
        sock = tcp_server_socket(_HOST, 0)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        peer = PlatformStoreClient(Address(_HOST, sock.getsockname()[1]), timedelta(seconds=2))
        listing = await peer.list(ObjectKind.TARGETS)
        changes = await peer.pull(ObjectKind.TARGETS, at(10))
        assert [stored.name for stored in listing.objects] == ["a", "b", "c", "d"]
        assert [event.object.name for event in changes.events] == ["c", "d"]
        await peer.close()

    run(check)


def test_page_without_a_readable_object_does_not_end_the_listing():
    async def check():
        store = RawStore()
        nameless = b'{"metadata":{"name":"%s","revision":"x"},"spec":{}}'
        store.pages["servers"] = [
            [raw_entry("a", 1, _target(81)), nameless % b"b"],
            [nameless % b"c", nameless % b"d"],
            [b"7", nameless % b"e/f\xc3\xa9?&", b"null"],
            [raw_entry("g", 5, _target(85))],
        ]
        state, _ = await _follow(store, ObjectKind.TARGETS)
        await _until(lambda: state.targets.get("a") and state.targets.get("g"))
        assert store.after == ["b", "d", "e/f\xe9?&"]

    run(check)


def test_listing_that_cannot_go_on_fails_and_deletes_nothing():
    async def check():
        store = RawStore()
        store.pages["servers"] = [
            [raw_entry("a", 1, _target(81))],
            [b'{"metadata":{"name":7}}', b"[]"],
            [raw_entry("c", 3, _target(83))],
        ]
        client = PlatformStoreClient(await store.listen(_HOST), timedelta(seconds=2))
        with pytest.raises(StoreError, match="names no object"):
            await client.list(ObjectKind.TARGETS)
        await client.close()

    run(check)


@pytest.mark.parametrize("revision", [b"1" + b"0" * 30, b"-1", b"true", b"1.5", b"9" * 5_000])
def test_revision_out_of_range_fails_the_call_only(revision):
    async def check():
        sock = tcp_server_socket(_HOST, 0)
        body = b'{"items":[],"events":[],"current_rev":%s}' % revision
        server = HttpServer(lambda _: HttpResponse(200, (), body), reject)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        client = PlatformStoreClient(Address(_HOST, sock.getsockname()[1]), timedelta(seconds=2))
        for call in (client.list, partial(client.pull, after=at(3))):
            with pytest.raises(StoreError):
                await call(ObjectKind.TARGETS)
        await client.close()

    run(check)


@pytest.mark.parametrize(
    "addition",
    [
        b'"names":[["b"],{},7,"a"]',
        b'"names":{"a":1}',
        b'"events":[{"object":{"metadata":{"name":"b","revision":11}},"era":1%s}]' % (b"0" * 30),
        b'"events":[{"object":{"metadata":{"name":"b","revision":11}},"era":-1}]',
        b'"events":[{"object":{"metadata":{"name":"b","revision":11}},"era":true}]',
        b'"events":[7,null,[],{"object":[]},{"object":{"metadata":[]}},{"deleted":true}]',
        b'"events":{"a":1}',
    ],
)
def test_odd_additions_of_another_vm_end_no_watcher(addition):
    async def check():
        sock = tcp_server_socket(_HOST, 0)
        body = b'{"current_rev":12,%s}' % addition
        server = HttpServer(lambda _: HttpResponse(200, (), body), reject)
        await curio.spawn(run_server, sock, server.serve, daemon=True)
        client = PlatformStoreClient(Address(_HOST, sock.getsockname()[1]), timedelta(seconds=2))
        state = new_state(targets=[("a", target("127.0.0.1:81"))])
        with suppress(StoreError):
            changes = await client.pull(ObjectKind.TARGETS, at(10))
            state.replicas[ObjectKind.TARGETS].apply_changes(changes)
        report = LoadReport(identity(), 1, False, state.reported_revisions(), era=state.replica_era)
        assert decode_report(encode_report(report)).era == state.replica_era
        await client.close()

    run(check)
