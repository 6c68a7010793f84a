"""At least one VM of each domain watches the store, whatever the others report."""

from __future__ import annotations

from datetime import timedelta
from itertools import product

from carawayquay.entry_peers import EntryPeers
from carawayquay.load_reports import LoadReport, VMIdentity
from carawayquay.store_watch import must_watch_store, snapshot_source

NOW = timedelta(seconds=9)
VMS = [VMIdentity(f"vm-{index}", f"10.0.0.{index}", "a", "west", 1) for index in range(4)]


def _duties(watching, reported=(True,) * 4, leaving=(False,) * 4):
    """Return for each VM whether it must watch the store, given the reports that arrive."""
    found = []
    for own in VMS:
        peers = EntryPeers(own)
        for vm, says, heard, leaves in zip(VMS, watching, reported, leaving, strict=True):
            if heard and vm != own:
                peers.receive(LoadReport(vm, 1, leaves, (), says), NOW)
        found.append(must_watch_store(own, peers, NOW))
    return found


def test_one_vm_has_the_duty_while_it_is_answered():
    for first in range(4):
        if _duties([index == first for index in range(4)]).count(True) == 1:
            return
    raise AssertionError("no VM relieves the others from watching the store")


def test_there_is_always_a_vm_with_the_duty():
    for watching in product([False, True], repeat=4):
        assert any(_duties(watching))


def test_no_vm_is_free_of_the_duty_by_one_that_is_silent_leaving_or_unanswered():
    assert all(_duties([False] * 4))
    assert all(_duties([True] * 4, reported=[False] * 4))
    assert all(_duties([True] * 4, leaving=[True] * 4))


def test_vms_of_other_domains_do_not_count():
    peers = EntryPeers(VMS[0])
    other = VMIdentity("vm-9", "10.0.0.9", "b", "west", 1)
    peers.receive(LoadReport(other, 1, False, (), True), NOW)
    assert must_watch_store(VMS[0], peers, NOW)


def test_vms_that_start_take_the_objects_from_each_other_and_one_from_the_store():
    sources = []
    for own in VMS:
        peers = EntryPeers(own)
        for vm in VMS:
            if vm != own:
                peers.receive(LoadReport(vm, 1, False, ()), NOW)
        sources.append(snapshot_source(own, peers, NOW))
    assert sources.count(None) == 1
    assert max(sources.count(vm) for vm in VMS) <= 2
    for own, source in zip(VMS, sources, strict=True):
        seen = [own]
        while source is not None:
            assert source not in seen
            seen.append(source)
            source = sources[VMS.index(source)]


def test_vm_that_hears_nobody_lists_the_store():
    assert snapshot_source(VMS[0], EntryPeers(VMS[0]), NOW) is None
