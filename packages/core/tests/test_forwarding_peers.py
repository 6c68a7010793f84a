"""Requests that go through other VMs are spread over near ones, and avoid those that can't help."""

from __future__ import annotations

import random
from datetime import timedelta

import attrs

from carawayquay.forwarding_peers import ForwardingPeers
from carawayquay.load_reports import VMIdentity

NOW = timedelta(seconds=50)


def _vm(name, domain="a", region="r"):
    return VMIdentity(name, "10.0.0.1", domain, region, 1)


OWN = _vm("own")
NEAR = [_vm("n1"), _vm("n2")]
BESIDE = [_vm("b1", "b"), _vm("b2", "b")]
FAR = [_vm("f1", "f", "s")]


def _peers():
    return ForwardingPeers(OWN, random.Random(1))


def _fill(peers, live, requests):
    """Send requests that don't end, and return the names of the VMs they went through."""
    chosen = []
    for _ in range(requests):
        vm = peers.choose(live, (), (), NOW)
        peers.started(vm)
        chosen.append(vm.name)
    return chosen


def test_near_vms_are_preferred_until_they_have_more_requests():
    chosen = _fill(_peers(), NEAR + BESIDE + FAR, 30)
    assert set(chosen[:8]) == {"n1", "n2"}
    counts = {name: chosen.count(name) for name in set(chosen)}
    assert abs(counts["n1"] - counts["n2"]) <= 1
    assert counts["b1"] >= 2
    assert "f1" not in chosen


def test_requests_in_flight_are_counted_until_they_end():
    peers = _peers()
    peers.started(NEAR[0])
    assert peers.in_flight == 1
    assert peers.choose(NEAR, (), (), NOW) == NEAR[1]
    peers.ended(NEAR[0])
    assert peers.in_flight == 0


def test_vm_outside_the_allowed_regions_is_never_chosen():
    assert _peers().choose(NEAR + BESIDE, {"s"}, (), NOW) is None
    assert _peers().choose(NEAR + FAR, {"s"}, (), NOW) == FAR[0]


def test_tried_vm_is_not_chosen_again_and_another_domain_comes_first():
    assert _peers().choose(NEAR + BESIDE, (), (NEAR[0],), NOW) in BESIDE
    assert _peers().choose(NEAR, (), (NEAR[0],), NOW) == NEAR[1]
    assert _peers().choose(NEAR, (), NEAR, NOW) is None


def test_vm_that_could_not_help_is_left_out_for_a_while_unless_it_restarted():
    peers = _peers()
    peers.failed(NEAR[0], NOW)
    peers.failed(NEAR[1], NOW, cut_off=True)
    assert peers.choose(NEAR, (), (), NOW) is None
    assert peers.choose(NEAR, (), (), NOW + timedelta(seconds=1.1)) == NEAR[0]
    restarted = attrs.evolve(NEAR[1], incarnation=2)
    assert peers.choose([restarted], (), (), NOW) == restarted


def test_memory_of_vms_that_could_not_help_is_bounded():
    peers = _peers()
    for number in range(5000):
        peers.failed(_vm(f"v{number}"), NOW + timedelta(milliseconds=number), cut_off=True)
    assert len(peers._experiences) <= 1024


def test_vm_that_was_cut_off_is_used_after_others_until_it_helps_again():
    peers = _peers()
    peers.failed(NEAR[0], NOW, cut_off=True)
    later = NOW + timedelta(seconds=3)
    assert {peers.choose(NEAR, (), (), later) for _ in range(20)} == {NEAR[1]}
    peers.helped(NEAR[0], later)
    assert {peers.choose(NEAR, (), (), later) for _ in range(50)} == set(NEAR)


def test_vm_known_to_reach_targets_comes_first_after_three_refusals():
    peers = _peers()
    peers.helped(FAR[0], NOW)
    unknown = [_vm(f"u{number}", f"d{number}") for number in range(5)]
    assert peers.choose(unknown + FAR, (), unknown[:2], NOW) in unknown[2:]
    assert peers.choose(unknown + FAR, (), unknown[:3], NOW) == FAR[0]


def test_sample_holds_some_vms_of_each_distance_and_those_known_to_reach_targets():
    many = [_vm(f"n{number}") for number in range(100)]
    peers = _peers()
    peers.helped(many[70], NOW)
    sample = peers.sample(many + BESIDE + FAR, NOW)
    assert len(sample) == 16 + len(BESIDE) + len(FAR)
    assert len(set(sample)) == len(sample)
    assert many[70] in sample


def test_vm_whose_answer_came_too_late_is_used_after_others_but_used():
    peers = _peers()
    peers.timed_out(NEAR[0], NOW)
    assert {peers.choose(NEAR, (), (), NOW) for _ in range(20)} == {NEAR[1]}
    assert peers.choose(NEAR[:1], (), (), NOW) == NEAR[0]
