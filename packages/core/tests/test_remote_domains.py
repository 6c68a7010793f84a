"""Summaries count until their failure timeout, and budget shares never grow in a partition."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.domain_relays import relays
from carawayquay.entry_peers import EntryPeers
from carawayquay.load_reports import (
    DomainSummary,
    LoadReport,
    ServiceRate,
    TargetCount,
    VMIdentity,
)

NOW = timedelta(seconds=50)
DOMAINS = ("a", "b", "c")
OWN = VMIdentity("a-1", "10.0.0.1", "a", "west", 1)


def _vm(domain, number, incarnation=1):
    region = "west" if domain in "ab" else "east"
    return VMIdentity(
        f"{domain}-{number}", f"10.{ord(domain)}.0.{number}", domain, region, incarnation
    )


def _summary(domain="c", sequence=1, sender=1, members=3, **changes):
    named = tuple(_vm(domain, number) for number in range(1, members + 1))
    values = {"revisions": (5, 0, 7), "vms": members, "members": named}
    return DomainSummary(_vm(domain, sender), sequence, **(values | changes))


def test_counts_of_a_domain_are_added_once_and_replaced_by_newer_ones():
    peers = EntryPeers(OWN)
    assert peers.receive_summary(_summary(targets=(TargetCount(7, 3),)), NOW)
    assert not peers.receive_summary(_summary(targets=(TargetCount(7, 3),)), NOW)
    assert peers.running(7) == 3
    second = _summary(sequence=1, sender=2, targets=(TargetCount(7, 4),))
    assert peers.receive_summary(second, NOW)
    assert peers.running(7) == 4


def test_vm_that_reports_itself_is_not_counted_beside_its_domains_summary():
    peers = EntryPeers(OWN)
    report = LoadReport(_vm("c", 1), 1, False, (), targets=(TargetCount(7, 2),))
    peers.receive(report, NOW)
    assert peers.running(7) == 2
    peers.receive_summary(_summary(targets=(TargetCount(7, 3),)), NOW)
    assert peers.running(7) == 3
    peers.receive(LoadReport(_vm("c", 1), 2, False, (), targets=(TargetCount(7, 2),)), NOW)
    assert peers.running(7) == 3


def test_counts_rates_and_members_of_a_silent_domain_expire():
    peers = EntryPeers(OWN)
    rates = (ServiceRate(1, 9.0),)
    peers.receive_summary(_summary(targets=(TargetCount(7, 3),), rates=rates), NOW)
    assert peers.rates(NOW).of("east", 1) == 9.0
    assert len(peers.live_vms(NOW)) == 3
    later = NOW + timedelta(seconds=5)
    peers.expire(later)
    assert peers.running(7) == 0
    assert peers.rates(later).total(1) == 0.0
    assert peers.live_vms(later) == []


def test_summary_without_members_keeps_the_earlier_members():
    peers = EntryPeers(OWN)
    peers.receive_summary(_summary(), NOW)
    later = NOW + timedelta(seconds=3)
    peers.receive_summary(_summary(sequence=2, members=0, vms=3), later)
    assert len(peers.live_vms(later + timedelta(seconds=3))) == 3


def test_both_halves_of_a_partitioned_domain_are_known():
    peers = EntryPeers(OWN)
    peers.receive_summary(_summary(members=2), NOW)
    other = (_vm("c", 8), _vm("c", 9))
    peers.receive_summary(DomainSummary(other[0], 4, (), 4, other), NOW)
    assert {vm.name for vm in peers.live_vms(NOW)} == {"c-1", "c-2", "c-8", "c-9"}


def test_summary_sequence_restarts_with_the_sender():
    peers = EntryPeers(OWN)
    peers.receive_summary(_summary(sequence=90), NOW)
    again = DomainSummary(_vm("c", 1, incarnation=2), 1, (), 3)
    assert peers.receive_summary(again, NOW)
    assert not peers.receive_summary(_summary(sequence=91), NOW)


@pytest.mark.parametrize("rank", [0, 1])
def test_relays_send_to_the_relay_of_their_rank_or_try_all_members_in_rotation(rank):
    peers = EntryPeers(OWN)
    peers.receive_summary(_summary(members=5), NOW)
    domain = peers.remote_domains.get("c")
    first = relays("c", "a", [f"c-{number}" for number in range(1, 6)])[rank]
    hosts = peers.remote_domains.receivers(domain, rank, 0, NOW)
    assert hosts == [_vm("c", int(first[2:])).host]
    silent = NOW + timedelta(minutes=60)
    tried = {peers.remote_domains.receivers(domain, rank, turn, silent)[0] for turn in range(5)}
    assert len(tried) == 5


def test_share_of_a_budget_does_not_grow_in_a_partition_of_an_hour():
    peers = EntryPeers(OWN)
    for domain in "bc":
        peers.receive_summary(_summary(domain, members=4), NOW)
    assert peers.budget_sharers(DOMAINS) == 9
    for minute in range(60):
        peers.expire(NOW + timedelta(minutes=minute))
    assert peers.budget_sharers(DOMAINS) == 9


def test_vm_without_peers_uses_no_more_than_the_share_of_a_domain():
    assert EntryPeers(OWN).budget_sharers(DOMAINS) == 3


#: Steps of a fleet: an action, and a number that selects a domain or a duration.
_STEPS = st.lists(
    st.tuples(st.sampled_from(["tell", "tell", "tell", "cut", "join", "wait"]), st.integers(0, 8)),
    max_size=40,
)


class _Fleet:
    """VMs of three domains, whose summaries are delivered or lost in partitions."""

    def __init__(self):
        self.now = NOW
        self.sequence = 0
        self.cut = set()
        self.vms = {}
        for domain in DOMAINS:
            for number in (1, 2, 3):
                self.join(domain, number)
        for domain in DOMAINS:
            self.tell(domain)

    def join(self, domain, number):
        vm = _vm(domain, number)
        self.vms[vm.name] = (vm, EntryPeers(vm))
        for other, peers in list(self.vms.values()):
            if other.domain == domain and other != vm:
                peers.learn(vm, self.now)
                self.vms[vm.name][1].learn(other, self.now)

    def members_of(self, domain):
        return [vm for vm, _ in self.vms.values() if vm.domain == domain]

    def tell(self, domain):
        self.sequence += 1
        members = tuple(self.members_of(domain))
        summary = DomainSummary(members[0], self.sequence, (), len(members), members)
        for vm, peers in self.vms.values():
            if vm.domain != domain and not self.cut & {vm.domain, domain}:
                peers.receive_summary(summary, self.now)

    def step(self, action, number):
        domain = DOMAINS[number % len(DOMAINS)]
        if action == "tell":
            self.tell(domain)
        elif action == "cut":
            self.cut ^= {domain}
        elif action == "join" and not self.cut:
            # The next summary normally announces a joined VM to all domains.
            self.join(domain, len(self.members_of(domain)) + 1)
            for each in DOMAINS:
                self.tell(each)
        elif action == "wait":
            self.now += timedelta(seconds=20 * (number + 1))
            for vm, peers in self.vms.values():
                # VMs of one domain report to each other throughout.
                for peer in self.members_of(vm.domain):
                    if peer != vm:
                        peers.receive(LoadReport(peer, self.next_sequence(), False, ()), self.now)
                peers.expire(self.now)

    def next_sequence(self):
        self.sequence += 1
        return self.sequence

    def total_share(self):
        """Return the sum of all VMs' shares of a global budget."""
        return sum(1 / peers.budget_sharers(DOMAINS) for _, peers in self.vms.values())


@given(_STEPS)
def test_shares_of_all_vms_together_never_exceed_the_whole(steps):
    fleet = _Fleet()
    for action, number in steps:
        fleet.step(action, number)
        assert fleet.total_share() <= 1.0 + 1e-9


def test_shares_would_exceed_the_whole_if_silent_domains_were_forgotten(monkeypatch):
    from carawayquay.remote_domains import RemoteDomain

    fleet = _Fleet()
    for domain in DOMAINS:
        fleet.step("cut", DOMAINS.index(domain))
    fleet.step("wait", 8)
    assert fleet.total_share() <= 1.0 + 1e-9
    monkeypatch.setattr(
        RemoteDomain, "vms", property(lambda self: len(list(self.live_members(fleet.now))))
    )
    known = EntryPeers.budget_sharers
    monkeypatch.setattr(
        EntryPeers,
        "budget_sharers",
        lambda self, _: known(self, {domain.name for domain in self.remote_domains if domain.vms}),
    )
    assert fleet.total_share() > 1.5
