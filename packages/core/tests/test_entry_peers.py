"""Entry VMs are live while they report, and only the newest report of each counts."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.entry_peers import EntryPeers
from carawayquay.load_reports import LoadReport, ServiceRate, TargetCount, VMIdentity

OWN = VMIdentity("a-1", "10.0.0.1", "a", "west", 1)
OTHER = VMIdentity("a-2", "10.0.0.2", "a", "west", 5)
NOW = timedelta(seconds=50)


def _report(sequence=1, sender=OTHER, **changes):
    return LoadReport(sender, sequence, changes.pop("leaving", False), (), **changes)


def test_counts_of_all_vms_add_up_and_newer_reports_replace_older_ones():
    peers = EntryPeers(OWN)
    third = VMIdentity("b-1", "10.0.0.3", "b", "west", 1)
    peers.receive(_report(1, targets=(TargetCount(7, 3), TargetCount(8, 1))), NOW)
    peers.receive(_report(1, third, targets=(TargetCount(7, 2),)), NOW)
    assert peers.running(7) == 5
    peers.receive(_report(2, targets=(TargetCount(7, 1),)), NOW)
    assert (peers.running(7), peers.running(8)) == (3, 0)


def test_outdated_report_is_ignored():
    peers = EntryPeers(OWN)
    assert peers.receive(_report(5, targets=(TargetCount(7, 3),)), NOW)
    assert not peers.receive(_report(4, targets=(TargetCount(7, 9),)), NOW)
    earlier = VMIdentity("a-2", "10.0.0.2", "a", "west", 4)
    assert not peers.receive(_report(9, earlier), NOW)
    assert peers.running(7) == 3


def test_report_sequence_restarts_with_the_vm():
    peers = EntryPeers(OWN)
    peers.receive(_report(900), NOW)
    again = VMIdentity("a-2", "10.0.0.2", "a", "west", 6)
    assert peers.receive(_report(1, again), NOW)


def test_silent_vm_is_not_live_and_its_counts_are_dropped():
    peers = EntryPeers(OWN)
    peers.receive(_report(targets=(TargetCount(7, 3),), rates=(ServiceRate(1, 9.0),)), NOW)
    later = NOW + timedelta(seconds=2.6)
    peers.expire(later)
    assert peers.live(later) == []
    assert peers.running(7) == 0
    assert peers.rates(later).total(1) == 0.0


def test_counts_last_until_the_next_report_at_long_intervals():
    peers = EntryPeers(OWN)
    for number in range(100):
        far = VMIdentity(f"c-{number}", f"10.1.0.{number}", "c", "east", 1)
        peers.receive(_report(1, far, targets=(TargetCount(7, 1),)), NOW)
    interval = next(iter(peers)).timing.interval
    assert interval > timedelta(seconds=2)
    peers.expire(NOW + interval + timedelta(seconds=0.3))
    assert peers.running(7) == 100


def test_leaving_vm_is_not_live():
    peers = EntryPeers(OWN)
    peers.receive(_report(leaving=True), NOW)
    assert peers.live(NOW) == []


def test_gossiped_vm_is_known_but_not_live_before_it_reports():
    peers = EntryPeers(OWN)
    third = VMIdentity("b-1", "10.0.0.3", "b", "west", 1)
    peers.receive(_report(members=(third, OWN)), NOW)
    assert peers.known == 3
    assert [peer.identity for peer in peers.live(NOW)] == [OTHER]


def test_rates_are_summed_by_region_and_in_total():
    peers = EntryPeers(OWN)
    third = VMIdentity("b-1", "10.0.0.3", "b", "east", 1)
    peers.receive(_report(rates=(ServiceRate(1, 9.0),)), NOW)
    peers.receive(_report(1, third, rates=(ServiceRate(1, 4.0), ServiceRate(2, 1.0))), NOW)
    assert peers.rates(NOW).of("west", 1) == 9.0
    assert peers.rates(NOW).total(1) == 13.0


def test_lower_incarnation_is_accepted_after_the_failure_timeout():
    peers = EntryPeers(OWN)
    peers.receive(_report(9), NOW)
    again = VMIdentity("a-2", "10.0.0.2", "a", "west", 4)
    assert not peers.receive(_report(1, again), NOW + timedelta(seconds=1))
    later = NOW + timedelta(seconds=2)
    assert peers.receive(_report(2, again), later)
    assert [peer.identity for peer in peers.live(later)] == [again]
