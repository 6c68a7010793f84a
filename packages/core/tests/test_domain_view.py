"""Two live members of a failure domain watch the store, without lost and leaving ones."""

from __future__ import annotations

from object_builders import entry_vm, heartbeat, seconds, vm_list

from carawayquay.directory import Directory
from carawayquay.domain_view import DomainView
from carawayquay.heartbeats import PeerTable
from carawayquay.membership import VMState

NAMES = tuple(f"vm-{index}" for index in range(5))


def domain_view(name="vm-0", heard=NAMES, leaving=(), **flags):
    directory, peers = Directory(), PeerTable()
    states = {vm: VMState.LEAVING if vm in leaving else VMState.LIVE for vm in NAMES}
    directory.adopt(vm_list(*(entry_vm(vm, state=state) for vm, state in states.items())))
    for vm in heard:
        if vm != name:
            peers.record(heartbeat(vm, **flags.get(vm.replace("-", "_"), {})), seconds(0))
    return DomainView(name, "puget-a", directory, peers, seconds(0))


def test_all_members_agree_on_two_watchers():
    views = [domain_view(name) for name in NAMES]
    chosen = {view.watchers(seconds(1)) for view in views}
    assert len(chosen) == 1
    assert sum(view.watches(seconds(1)) for view in views) == 2


def test_lost_watcher_is_replaced():
    first, second = domain_view().watchers(seconds(1))
    others = [vm for vm in NAMES if vm not in (first, second)]
    after = domain_view(others[0], heard=others).watchers(seconds(1))
    assert set(after) <= set(others)
    assert len(after) == 2


def test_vm_without_live_peers_watches():
    for name in NAMES:
        assert domain_view(name, heard=()).watches(seconds(1))


def test_vm_without_a_list_watches():
    assert DomainView("vm-0", "puget-a", Directory(), PeerTable(), seconds(0)).watches(seconds(1))


def test_watcher_with_failing_store_calls_is_replaced():
    first, _ = domain_view().watchers(seconds(1))
    name = next(vm for vm in NAMES if vm != first)
    view = domain_view(name, **{first.replace("-", "_"): {"store_failed": True}})
    assert first not in view.watchers(seconds(1))


def test_watchers_stay_if_the_store_fails_for_all():
    failed = {vm.replace("-", "_"): {"store_failed": True} for vm in NAMES}
    views = [domain_view(name, **failed) for name in NAMES]
    for view in views:
        view.store.record_failure(seconds(1))
    assert sum(view.watches(seconds(1)) for view in views) == 2


def test_store_failure_expires():
    view = domain_view()
    view.store.record_failure(seconds(1))
    assert view.store_failed(seconds(5.9))
    assert not view.store_failed(seconds(6))


def test_leaving_and_lost_members_are_not_usable():
    view = domain_view(heard=NAMES[:4], leaving=("vm-1",), vm_2={"leaving": True})
    assert [vm for vm in NAMES if view.usable(vm, seconds(1))] == ["vm-0", "vm-3", "vm-4"]
    assert [vm for vm in NAMES if view.usable(vm, seconds(2))] == ["vm-0"]


def test_lost_members_are_contacted_in_rotation():
    view = domain_view(heard=("vm-0", "vm-1"))
    called = [set(view.receivers(seconds(1), turn)) for turn in range(3)]
    assert all("vm-1" in names for names in called)
    assert set().union(*called) == {"vm-1", "vm-2", "vm-3", "vm-4"}
