"""Entries of entry VMs that a restored store has lost are written again, once for a domain."""

from __future__ import annotations

import random
from datetime import timedelta

import curio
from curio.network import run_server, tcp_server_socket
from gateway_builders import identity, new_state, run

from carawayquay.clock import MonotonicClock
from carawayquay.load_reports import LoadReport
from carawayquay.membership import Address
from carawayquay_gateway.registrar import VMRegistrar
from carawayquay_platform.objects import entry_vm_spec
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_standins.platform_store import PlatformStoreStandIn

KIND = "carawayquay-entry-vms"


async def _registered(store, *peers):
    """Return the state and registrar of a VM that knows some live VMs of its domain."""
    sock = tcp_server_socket("127.0.0.1", 0)
    await curio.spawn(run_server, sock, store.http.serve, daemon=True)
    state = new_state(clock=MonotonicClock())
    for peer in peers:
        state.peers.receive(LoadReport(peer, 1, False, ()), state.clock.now())
    client = PlatformStoreClient(
        Address("127.0.0.1", sock.getsockname()[1]),
        timedelta(milliseconds=300),
        observe_era=state.store_history.note_era,
    )
    registrar = VMRegistrar(
        state, client, random.Random(1), discovery_seconds=0.05, settle_seconds=0.1
    )
    await curio.spawn(registrar.run, daemon=True)
    await curio.spawn(_update, state, daemon=True)
    while not registrar.registered:
        await curio.sleep(0.01)
    await curio.sleep(0.2)
    return state, registrar, client


async def _update(state):
    while True:
        state.update(state.clock.now())
        await curio.sleep(0.05)


def test_lost_entries_of_the_domain_are_written_again_after_a_restore():
    async def check():
        store = PlatformStoreStandIn()
        peer = identity("puget-a-2", "127.0.0.2", incarnation=7)
        await store.put(KIND, peer.name, entry_vm_spec(identity(peer.name, "127.0.0.2")))
        copy = store.revision
        await store.put(KIND, peer.name, entry_vm_spec(peer))
        state, _, _ = await _registered(store, peer)
        await store.restore(copy)
        state.store_history.note_era(store.era)
        for vm in (state.identity, peer):
            while (store.object(KIND, vm.name) or {}).get("spec") != entry_vm_spec(vm):
                await curio.sleep(0.02)

    run(check)


def test_entry_of_another_revision_after_a_restore_is_removed_at_a_planned_stop():
    async def check():
        store = PlatformStoreStandIn()
        copy = store.revision
        state, registrar, client = await _registered(store)
        await store.restore(copy)
        await store.put("other", "object", {})
        await store.put(KIND, state.identity.name, entry_vm_spec(state.identity))
        await registrar.deregister()
        assert store.object(KIND, state.identity.name) is None
        await client.close()

    run(check)
