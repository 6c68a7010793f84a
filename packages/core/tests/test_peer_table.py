"""Tests of the status of VMs from heartbeats and gossip: alive, leaving, without the store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from object_builders import heartbeat, seconds

from carawayquay.heartbeats import FAILURE_TIMEOUT, Load, PeerTable

MEMBERS = ("vm-1", "vm-2", "vm-3")


def test_vm_is_alive_until_the_failure_timeout():
    peers = PeerTable()
    peers.record(heartbeat("vm-1"), seconds(10))
    assert peers.alive("vm-1", seconds(11.9))
    assert not peers.alive("vm-1", seconds(10) + FAILURE_TIMEOUT)


def test_older_heartbeat_of_the_same_process_is_ignored():
    peers = PeerTable()
    assert peers.record(heartbeat("vm-1", 5), seconds(1))
    assert not peers.record(heartbeat("vm-1", 4), seconds(2))
    assert peers.record(heartbeat("vm-1", 1, incarnation=2), seconds(2))


def test_relayed_status_carries_its_age_and_flags():
    receiver, sender = PeerTable(), PeerTable()
    sender.record(heartbeat("vm-2", leaving=True), seconds(100))
    sender.record(heartbeat("vm-3", store_failed=True), seconds(101))
    receiver.merge_sightings(MEMBERS, sender.sightings(MEMBERS, seconds(101.5)), seconds(7))
    assert not receiver.alive("vm-1", seconds(7))
    assert receiver.alive("vm-2", seconds(7.4))
    assert not receiver.alive("vm-2", seconds(7.6))
    assert receiver.leaving("vm-2")
    assert not receiver.leaving("vm-3")
    assert receiver.store_failed("vm-3")


def test_load_is_known_only_from_the_vm_itself():
    receiver, sender = PeerTable(), PeerTable()
    sender.record(heartbeat("vm-2", loads=[Load("sledway", 3, 4)]), seconds(0))
    receiver.merge_sightings(MEMBERS, sender.sightings(MEMBERS, seconds(0)), seconds(0))
    assert sender.load("vm-2", "sledway", seconds(1)) == Load("sledway", 3, 4)
    assert receiver.alive("vm-2", seconds(1))
    assert receiver.load("vm-2", "sledway", seconds(1)) is None


def test_unlisted_vms_are_removed():
    peers = PeerTable()
    peers.record(heartbeat("vm-1"), seconds(0))
    peers.retain_listed(["vm-2"])
    assert peers.last("vm-1") is None
    assert not peers.alive("vm-1", seconds(0))


@given(st.lists(st.floats(0, 1), min_size=1, max_size=8))
def test_failure_timeout_holds_however_often_a_status_is_relayed(waits):
    now = 100.0
    sender = PeerTable()
    sender.record(heartbeat("vm-2"), seconds(now))
    for wait in waits:
        now += wait
        receiver = PeerTable()
        receiver.merge_sightings(MEMBERS, sender.sightings(MEMBERS, seconds(now)), seconds(now))
        sender = receiver
    assert not sender.alive("vm-2", seconds(100) + FAILURE_TIMEOUT)
