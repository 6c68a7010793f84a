"""A watcher recovers from store faults, and pulls from other VMs while one of them watches."""

from __future__ import annotations

import random
from datetime import timedelta

import attrs
import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import configuration, identity, new_state, run, settings, target
from gateway_domain import linked_domain, until, update_forever

from carawayquay.clock import MonotonicClock
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.admin import AdminApi, reject
from carawayquay_gateway.state import GatewayState
from carawayquay_gateway.watcher import Watcher
from carawayquay_platform.objects import ObjectKind
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn
from carawayquay_wire.http import HttpResponse
from carawayquay_wire.http_server import HttpServer
from carawayquay_wire.metrics import Metrics

#: Time in which VMs that start together hear of each other by way of a seed, four ticks at most.
_DISCOVERY_SECONDS = 0.8

_CONTACT_SECONDS = settings().deadlines.contact.total_seconds()

KINDS = (ObjectKind.CONFIGURATION, ObjectKind.TARGETS, ObjectKind.EVACUATIONS)


async def _listen(server, host="127.0.0.1"):
    sock = tcp_server_socket(host, 0)
    await curio.spawn(run_server, sock, server.serve, daemon=True)
    return Address(host, sock.getsockname()[1])


async def _started(store, state=None):
    """Return a state whose replicas are kept up to date from a store."""
    address = await _listen(store.http)
    if state is None:
        state = GatewayState(settings(), MonotonicClock(), Metrics(), identity())
    client = PlatformStoreClient(address, timedelta(milliseconds=300))
    for kind in KINDS:
        watcher = Watcher(
            state, client, state.replicas[kind], random.Random(1), timedelta(seconds=0.5)
        )
        await curio.spawn(watcher.run, daemon=True)
    await curio.spawn(update_forever, state, daemon=True)
    return state


async def _filled():
    store = PlatformStoreStandIn()
    await store.put("config", "main", configuration(version=3))
    await store.put("servers", "t1", target("127.0.0.1:81"))
    return store


def test_state_follows_each_kind_of_object():
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready)
        assert state.configuration.version == 3
        await store.put("servers", "t2", target("127.0.0.1:82", service="sledway"))
        await store.put("evacuations", "puget-b", {})
        await store.put("config", "main", configuration(version=5))
        await until(lambda: state.configuration.version == 5 and state.evacuated)
        await until(lambda: state.targets.get("t2"))
        await store.remove("evacuations", "puget-b")
        await store.remove("servers", "t1")
        await until(lambda: not state.evacuated and not state.targets.get("t1"))

    run(check)


def test_lost_history_of_the_store_is_replaced_by_a_listing():
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready)
        await store.compact_history()
        await store.put("servers", "t2", target("127.0.0.1:82"))
        await until(lambda: state.targets.get("t2"))

    run(check)


# Guards against a VM that takes missed changes which are too large together for an outage.
def test_changes_that_are_too_large_together_are_replaced_by_a_listing_at_once():
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready)
        store.faults.silent = True
        for version in range(4, 24):
            much = configuration(version=version) | {"comment": "x" * 900_000}
            await store.put("config", "main", much)
        store.faults.silent = False
        await until(lambda: state.configuration.version == 23)
        assert state.store_history.failed_at is None

    run(check)


@pytest.mark.parametrize(
    "fault", [{"down": True}, {"refuse_status": 503}, {"refuse_status": 429}, {"silent": True}]
)
def test_changes_during_an_outage_are_applied_after_it(fault):
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready)
        for name, value in fault.items():
            setattr(store.faults, name, value)
        await store.put("servers", "t2", target("127.0.0.1:82"))
        await store.remove("servers", "t1")
        await curio.sleep(0.3)
        for name in fault:
            setattr(store.faults, name, type(getattr(store.faults, name))())
        await until(lambda: state.targets.get("t2") and not state.targets.get("t1"))

    run(check)


def test_version_never_goes_back():
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready)
        await store.put("config", "main", configuration(version=2))
        await store.put("servers", "t2", target("127.0.0.1:82"))
        await until(lambda: state.targets.get("t2"))
        assert state.configuration.version == 3

    run(check)


def test_unreadable_objects_leave_the_others_in_force():
    async def check():
        store = await _filled()
        await store.put("servers", "bad", {"service": "granite", "state": "dancing"})
        await store.put("servers", "worse", "not an object")
        state = await _started(store)
        await until(lambda: state.ready)
        assert [it.name for it in state.targets] == ["t1"]
        await store.put("config", "main", {"version": "12"})
        await store.put("servers", "t2", target("127.0.0.1:82"))
        await until(lambda: state.targets.get("t2"))
        assert state.configuration.version == 3

    run(check)


def test_vm_that_the_store_refuses_pulls_from_another_vm():
    async def check():
        store = await _filled()
        neighbour = new_state(
            clock=MonotonicClock(),
            configured=configuration(version=7),
            targets=[("t5", target("127.0.0.1:85"))],
        )
        server = HttpServer(AdminApi(neighbour).handle, reject)
        address = await _listen(server, "127.0.0.2")
        neighbour_settings = attrs.evolve(settings(), admin=Address("127.0.0.1", address.port))
        state = GatewayState(neighbour_settings, MonotonicClock(), Metrics(), identity())
        store.faults.refuse_status = 503
        await _started(store, state)
        sender = identity("puget-a-2", "127.0.0.2")

        async def report():
            sequence = 0
            while True:
                sequence += 1
                revisions = neighbour.reported_revisions()
                state.peers.receive(LoadReport(sender, sequence, False, revisions), _now(state))
                await curio.sleep(0.1)

        await curio.spawn(report, daemon=True)
        await until(lambda: state.ready)
        assert state.configuration.version == 7
        assert state.targets.get("t5")

    run(check)


def test_vm_does_not_pull_changes_that_it_has_at_another_revision():
    async def check():
        requested_paths = []

        def answer(request):
            requested_paths.append(request.target)
            return HttpResponse(404)

        address = await _listen(HttpServer(answer, reject), "127.0.0.2")
        state = new_state(clock=MonotonicClock())
        state.settings = attrs.evolve(settings(), admin=Address("127.0.0.1", address.port))
        known = state.replicas[ObjectKind.TARGETS].revision
        # The other VM applied the same deletion at a later revision of the store.
        revisions = (known.number,) * 3
        sender = identity("puget-a-2", "127.0.0.2")
        report = LoadReport(sender, 1, False, revisions, True, era=known.era)
        state.peers.receive(report, _now(state))
        replica = state.replicas[ObjectKind.TARGETS]
        assert replica.change_revision < known
        store = PlatformStoreClient(Address("127.0.0.1", 1), timedelta(milliseconds=100))
        watcher = Watcher(state, store, replica, random.Random(1))
        replica_task = await curio.spawn(watcher.run, daemon=True)
        await curio.sleep(0.5)
        await replica_task.cancel()
        assert requested_paths == []

    run(check)


async def _started_domain(store):
    address = await _listen(store.http)
    states = await linked_domain(3)
    for state in states:
        client = PlatformStoreClient(address, timedelta(milliseconds=300))
        for kind in KINDS:
            watch_timeout = timedelta(seconds=0.5)
            watcher = Watcher(state, client, state.replicas[kind], random.Random(1), watch_timeout)
            await curio.spawn(watcher.run, daemon=True)
    await until(lambda: all(state.ready for state in states))
    return states


def _watching(states):
    return [state.identity.name for state in states if state.watching]


def test_one_vm_of_a_domain_watches_and_all_learn_of_changes_and_removals():
    async def check():
        store = await _filled()
        states = await _started_domain(store)
        await until(lambda: len(_watching(states)) == 1)
        store.calls.clear()
        await store.put("servers", "t2", target("127.0.0.1:82"))
        await until(lambda: all(state.targets.get("t2") for state in states))
        await store.remove("servers", "t1")
        await until(lambda: not any(state.targets.get("t1") for state in states))
        assert all("watch=" in call for call in store.calls)
        assert len(store.calls) < 3 * 8

    run(check)


def test_followers_learn_that_a_target_drains_that_changes_between_two_pages_of_a_listing():
    """Guards against followers that count themselves as further than the VM that they follow."""

    async def check():
        store = PlatformStoreStandIn(page_items=1)
        await store.put("config", "main", configuration(version=3))
        await store.put("servers", "t1", target("127.0.0.1:81"))
        await store.put("servers", "t2", target("127.0.0.1:82"))
        states = await _started_domain(store)
        await until(lambda: len(_watching(states)) == 1)

        async def change(kind):
            if kind == "servers":
                store.after_page = None
                # The followers pull before the watch brings the changes between the pages.
                store.faults.delay_seconds = 0.25
                await store.put("servers", "t1", target("127.0.0.1:81", state="draining"))
                await store.put("servers", "t3", target("127.0.0.1:83"))

        store.after_page = change
        # A VM lists all objects again after a pause.
        next(state for state in states if state.watching).pause_count += 1
        async with curio.timeout_after(5.0):
            await until(lambda: all(state.targets.get("t3") for state in states))
            await until(lambda: not any(_ready(state, "t1") for state in states))

    run(check)


def _ready(state, name):
    return any(found.name == name for found in state.targets.ready("granite"))


def test_next_vm_takes_over_when_the_store_refuses_the_watching_one():
    async def check():
        store = await _filled()
        states = await _started_domain(store)
        await until(lambda: len(_watching(states)) == 1)
        first = next(state for state in states if state.watching)
        first.store_answered = dict.fromkeys(KINDS, False)
        first.stopping = True
        await until(lambda: any(name != first.identity.name for name in _watching(states)))
        await store.put("servers", "t2", target("127.0.0.1:82"))
        others = [state for state in states if state is not first]
        await until(lambda: all(state.targets.get("t2") for state in others))

    run(check)


def _now(state):
    return state.clock.now()


def test_rapid_configuration_changes_end_with_the_last_at_every_vm_and_never_go_back():
    async def check():
        store = await _filled()
        states = await _started_domain(store)
        seen = {state.identity.name: [] for state in states}

        async def record_versions():
            while True:
                for state in states:
                    seen[state.identity.name].append(state.configuration.version)
                await curio.sleep(0.01)

        await curio.spawn(record_versions, daemon=True)
        for version in range(10, 43):
            await store.put("config", "main", configuration(version=version))
            await curio.sleep(0.03)
        last_put_at = states[0].clock.now()
        await until(lambda: all(state.configuration.version == 42 for state in states))
        assert states[0].clock.now() - last_put_at < timedelta(seconds=2)
        for versions in seen.values():
            assert versions == sorted(versions)

    run(check)


def test_vm_that_was_paused_lists_the_store_again_at_once():
    async def check():
        store = await _filled()
        state = await _started(store)
        await until(lambda: state.ready and _lists(store) == len(KINDS))
        state.update(state.clock.now() + timedelta(seconds=9))
        await until(lambda: _lists(store) == 2 * len(KINDS))

    run(check)


def test_starting_vm_lists_the_store_at_once_if_callers_were_refused():
    async def check(refused):
        store = await _filled()
        state = GatewayState(settings(), MonotonicClock(), Metrics(), identity())
        for number in (2, 3, 4):
            peer = identity(f"puget-a-{number}", f"127.0.0.{number}")
            state.peers.receive(LoadReport(peer, 1, False, ()), _now(state))
        state.refused_unconfigured = refused
        await _started(store, state)
        await curio.sleep(0.3)
        return state.ready

    assert run(check, True)
    assert not run(check, False)


def _lists(store):
    return sum("watch=" not in call for call in store.calls)


def test_vms_that_load_their_objects_from_another_one_leave_the_store_to_it():
    """Guards against watches by every VM of a domain that starts."""

    async def check():
        store = await _filled()
        address = await _listen(store.http)
        callers = set()
        states = await linked_domain(22, report_as_gateways=True)
        # The first kind is announced before the store has answered for all of them.
        for kind in KINDS:
            for state in states:
                name = state.identity.name
                client = PlatformStoreClient(
                    address, timedelta(seconds=1), lambda *_, name=name: callers.add(name)
                )
                watcher = Watcher(state, client, state.replicas[kind], random.Random(1))
                await curio.spawn(watcher.run, daemon=True)
            await curio.sleep(0.2)
        for state in states:
            await curio.spawn(update_forever, state, daemon=True)
        await until(lambda: all(state.ready for state in states))
        await curio.sleep(_CONTACT_SECONDS)
        assert len(callers) == 1

    run(check)


def test_vms_that_start_together_list_the_store_once_for_their_domain():
    """Guards against a listing by each VM, before those of its domain could discover each other."""

    async def check():
        store = await _filled()
        address = await _listen(store.http)
        # A seed answers at its first tick, and the first reports go out at the next ones.
        states = await linked_domain(4, first_report_seconds=_DISCOVERY_SECONDS)
        for state in states:
            client = PlatformStoreClient(address, timedelta(seconds=1))
            for kind in KINDS:
                watcher = Watcher(state, client, state.replicas[kind], random.Random(1))
                await curio.spawn(watcher.run, daemon=True)
            await curio.spawn(update_forever, state, daemon=True)
        await until(lambda: all(state.ready for state in states))
        lists = [call for call in store.calls if "?" not in call]
        assert sorted(lists) == sorted(f"GET /objects/{kind.value}" for kind in KINDS)

    run(check)
