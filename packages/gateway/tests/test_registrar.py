"""A VM's entry is in the store while it runs, and stale entries of other VMs are deleted."""

from __future__ import annotations

import random
from datetime import timedelta

import curio
import pytest
from curio.network import run_server, tcp_server_socket
from gateway_builders import identity, new_state, run

from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.registrar import VMRegistrar
from carawayquay_platform.objects import entry_vm_spec
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn

KIND = "carawayquay-entry-vms"


async def _registrar(store, state, stale_seconds=90):
    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, store.http.serve, daemon=True)
    address = Address("127.0.0.1", sock.getsockname()[1])
    client = PlatformStoreClient(address, timedelta(milliseconds=300))
    return VMRegistrar(state, client, random.Random(1), stale_seconds, discovery_seconds=0.1)


async def _until(condition):
    while not condition():
        await curio.sleep(0.01)


def test_entry_is_written_at_the_start_and_removed_at_a_planned_stop():
    async def check():
        store, state = PlatformStoreStandIn(), new_state()
        registrar = await _registrar(store, state)
        await curio.spawn(registrar.run, daemon=True)
        await _until(lambda: store.object(KIND, "puget-a-1"))
        assert store.object(KIND, "puget-a-1")["spec"] == entry_vm_spec(state.identity)
        await registrar.deregister()
        assert store.object(KIND, "puget-a-1") is None

    run(check)


@pytest.mark.parametrize(("incarnation", "remains"), [(1, False), (9, True)])
def test_unconfirmed_entry_is_removed_at_a_planned_stop_unless_of_another_incarnation(
    incarnation, remains
):
    async def check():
        store, state = PlatformStoreStandIn(), new_state()
        registrar = await _registrar(store, state)
        await store.put(KIND, "puget-a-1", entry_vm_spec(identity(incarnation=incarnation)))
        await registrar.deregister()
        assert (store.object(KIND, "puget-a-1") is not None) == remains

    run(check)


@pytest.mark.parametrize("fault", [{"lose_writes": 1}, {"refuse_status": 503}])
def test_entry_is_written_eventually_despite_failed_calls(fault):
    async def check():
        store, state = PlatformStoreStandIn(), new_state()
        for name, value in fault.items():
            setattr(store.faults, name, value)
        registrar = await _registrar(store, state)
        await curio.spawn(registrar.run, daemon=True)
        await curio.sleep(0.2)
        store.faults.refuse_status = 0
        await _until(lambda: store.object(KIND, "puget-a-1"))
        await _until(lambda: registrar.registered)

    run(check)


def test_entry_of_an_earlier_incarnation_is_replaced():
    async def check():
        store, state = PlatformStoreStandIn(), new_state(vm=identity(incarnation=9))
        await store.put(KIND, "puget-a-1", entry_vm_spec(identity(incarnation=3)))
        registrar = await _registrar(store, state)
        await curio.spawn(registrar.run, daemon=True)
        await _until(lambda: store.object(KIND, "puget-a-1")["spec"]["incarnation"] == 9)

    run(check)


def test_other_vms_are_discovered_and_only_stale_entries_are_deleted():
    async def check():
        store, state = PlatformStoreStandIn(), new_state()
        for index in (2, 3, 4):
            vm = identity(f"puget-a-{index}", f"127.0.0.{index}")
            await store.put(KIND, vm.name, entry_vm_spec(vm))
        other_domain = identity("inland-a-5", "127.0.0.5", "inland-a", "inland")
        await store.put(KIND, "inland-a-5", entry_vm_spec(other_domain))
        await store.put(KIND, "broken", {"host": 7})
        registrar = await _registrar(store, state, stale_seconds=0.3)
        await curio.spawn(registrar.run, daemon=True)
        await _until(lambda: state.peers.get("puget-a-3"))
        reporting = identity("puget-a-2", "127.0.0.2")
        state.peers.receive(LoadReport(reporting, 1, False, ()), state.clock.now())
        changed = entry_vm_spec(identity("puget-a-4", "127.0.0.4", incarnation=8))
        await store.put(KIND, "puget-a-4", changed)
        await _until(lambda: store.object(KIND, "puget-a-3") is None)
        assert store.object(KIND, "puget-a-2")
        assert store.object(KIND, "puget-a-4")
        assert store.object(KIND, "inland-a-5")
        assert store.object(KIND, "broken")

    run(check)


def test_entries_are_not_listed_if_seeds_named_other_vms():
    async def check():
        store, state = PlatformStoreStandIn(), new_state()
        registrar = await _registrar(store, state)
        state.peers.learn(identity("puget-a-2", "127.0.0.2"), state.clock.now())
        await curio.spawn(registrar.run, daemon=True)
        await curio.sleep(0.4)
        assert [call.partition(" ")[0] for call in store.calls] == ["POST"]

    run(check)
