"""At least one VM of each domain watches the store, whatever the others report."""

from __future__ import annotations

from datetime import timedelta
from itertools import product

from carawayquay.entry_peers import EntryPeers
from carawayquay.freshness import UNCONFIRMED_MS
from carawayquay.load_reports import LoadReport, VMIdentity
from carawayquay.store_watch import must_watch_store, snapshot_source

NOW = timedelta(seconds=9)
VMS = [VMIdentity(f"vm-{index}", f"10.0.0.{index}", "a", "west", 1) for index in range(4)]


def _must_watch(watching, reported=(True,) * 4, leaving=(False,) * 4):
    """Return for each VM whether it must watch the store, given the reports that arrive."""
    found = []
    for own in VMS:
        peers = EntryPeers(own)
        for vm, says, heard, leaves in zip(VMS, watching, reported, leaving, strict=True):
            if heard and vm != own:
                peers.receive(LoadReport(vm, 1, leaves, (), says), NOW)
        found.append(must_watch_store(own, peers, NOW))
    return found


def test_one_vm_watches_while_the_store_answers_it():
    for first in range(4):
        if _must_watch([index == first for index in range(4)]).count(True) == 1:
            return
    raise AssertionError("no VM is the only one to watch the store")


def test_some_vm_always_watches():
    for watching in product([False, True], repeat=4):
        assert any(_must_watch(watching))


def test_silent_leaving_or_unanswered_vm_does_not_count_as_watching():
    assert all(_must_watch([False] * 4))
    assert all(_must_watch([True] * 4, reported=[False] * 4))
    assert all(_must_watch([True] * 4, leaving=[True] * 4))


def test_vm_whose_objects_were_not_confirmed_lately_does_not_count_as_watching():
    """Guards against reliance on a VM whose watch hangs, or that does not report ages."""
    max_age = timedelta(seconds=3)
    first = next(vm for vm in VMS if _must_watch([True] * 4)[VMS.index(vm)])
    own = next(vm for vm in VMS if vm != first)
    for ages, since_report, relied_on in (
        ((2900, 0, 0), 0.0, True),
        ((2900, 0, 0), 0.2, False),
        ((0, 0, 3001), 0.0, False),
        ((0, UNCONFIRMED_MS, 0), 0.0, False),
        ((), 0.0, False),
    ):
        peers = EntryPeers(own)
        peers.receive(LoadReport(first, 1, False, (), True, confirmed_ms=ages), NOW)
        now = NOW + timedelta(seconds=since_report)
        assert must_watch_store(own, peers, now, max_age=max_age) is not relied_on


def test_vms_of_other_domains_do_not_count():
    peers = EntryPeers(VMS[0])
    other = VMIdentity("vm-9", "10.0.0.9", "b", "west", 1)
    peers.receive(LoadReport(other, 1, False, (), True), NOW)
    assert must_watch_store(VMS[0], peers, NOW)


def test_starting_vms_load_objects_from_each_other_and_one_from_the_store():
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


def test_vm_without_peers_lists_the_store():
    assert snapshot_source(VMS[0], EntryPeers(VMS[0]), NOW) is None
