"""Requests run at home, under grants elsewhere, and leave their region only within the caps."""

from __future__ import annotations

from datetime import timedelta

import curio
import pytest
from document_builders import target_value
from fleet_builders import Fleet, forward

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.grants import GrantRequest
from carawayquay.shares import owner
from carawayquay.shifts import Goal

UNCAPPED = {"planned": 1, "failure": 1, "window": 10}


def send(node, **changes):
    return curio.run(node.steering.run, forward(**changes))


def refusal(node, **changes):
    with pytest.raises(RequestError) as caught:
        send(node, **changes)
    return caught.value


def runs(fleet):
    return {name: len(node.runner.runs) for name, node in fleet.nodes.items() if node.runner.runs}


def remove_slots(fleet, *names):
    for name in names:
        fleet.nodes[name].runner.limits = {}


def fill_link_budgets(fleet, node):
    """Let the link budgets of a node fill up; they are empty after a start."""
    node.steering._link_budgets.take("inland", "sledway", 0, 1, fleet.clock.now())
    fleet.clock.advance(timedelta(seconds=1))


def test_request_runs_in_its_own_failure_domain_without_a_grant():
    fleet = Fleet()
    send(fleet.nodes["puget-a-1"])
    assert runs(fleet) == {"puget-a-1": 1}
    assert fleet.nodes["puget-a-1"].sent_messages == []


def test_other_failure_domain_of_the_region_is_used_under_a_grant():
    fleet = Fleet()
    remove_slots(fleet, "puget-a-1")
    send(fleet.nodes["puget-a-1"])
    assert runs(fleet) == {"puget-b-1": 1}
    assert fleet.nodes["puget-b-1"].runner.runs[0].grant > 0


def test_request_with_an_unknown_grant_is_refused_as_not_run():
    fleet = Fleet()
    admission = fleet.nodes["puget-b-1"].admission
    with pytest.raises(RequestError) as caught:
        curio.run(admission.run, forward(grant=7), timedelta(seconds=1))
    assert caught.value.not_run
    assert runs(fleet) == {}


def test_lost_region_shifts_requests_within_the_cap_and_refuses_the_rest():
    fleet = Fleet(cap={"planned": 0.1, "failure": 0.34, "window": 10})
    node = fleet.nodes["puget-a-1"]
    fill_link_budgets(fleet, node)
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    outcomes = []
    for index in range(50):
        try:
            send(node, path=f"/{index}")
            outcomes.append("ran")
        except RequestError as error:
            outcomes.append(error.kind)
    assert set(outcomes) == {"ran", ErrorKind.CAP_REACHED}
    assert outcomes.count("ran") == len(fleet.nodes["inland-a-1"].runner.runs) == 17


def test_request_is_not_spilled_over_without_link_budget():
    fleet = Fleet(cap=UNCAPPED)
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    assert refusal(fleet.nodes["puget-a-1"], deadline_ms=500).kind is ErrorKind.OVERLOADED
    assert runs(fleet) == {}


def test_draining_region_gets_no_requests_and_grants_no_slots():
    fleet = Fleet(cap=UNCAPPED, drains=["inland"])
    fill_link_budgets(fleet, fleet.nodes["puget-a-1"])
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    assert refusal(fleet.nodes["puget-a-1"]).kind is ErrorKind.NO_TARGET
    assert curio.run(fleet.nodes["inland-a-1"].admission.offer, grant_request("puget-a")).count == 0


def grant_request(domain):
    return GrantRequest("sledway", f"{domain}-1", domain, 2)


def test_no_grant_is_asked_for_in_another_region_while_documents_may_be_stale():
    fleet = Fleet(cap=UNCAPPED)
    node = fleet.nodes["puget-a-1"]
    fill_link_budgets(fleet, node)
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    node.current = False
    assert refusal(node).not_run
    assert runs(fleet) == {}
    sent_messages = zip(node.sent_messages, node.addresses, strict=True)
    ports = {
        address.port for message, address in sent_messages if isinstance(message, GrantRequest)
    }
    assert ports == {fleet.nodes["puget-b-1"].vm.peers.port}


def test_other_failure_domain_of_the_region_is_used_while_documents_may_be_stale():
    fleet = Fleet()
    node = fleet.nodes["puget-a-1"]
    remove_slots(fleet, "puget-a-1")
    node.current = False
    send(node)
    assert runs(fleet) == {"puget-b-1": 1}


def test_unknown_outcome_is_returned_and_not_retried():
    fleet = Fleet()
    lost = RequestError(ErrorKind.ANSWER_LOST, "link closed")
    fleet.nodes["puget-a-1"].runner.failure = lost
    assert refusal(fleet.nodes["puget-a-1"]).kind is ErrorKind.ANSWER_LOST
    assert runs(fleet) == {}


def home_budget(fleet, name):
    node = fleet.nodes[name]
    return node.steering.shifts.budget(node.state.document("sledway").document, node.vm.region)


@pytest.mark.parametrize(("second_has_started_too", "learned"), [(False, 0.3), (True, 0.4)])
def test_started_vm_adopts_the_lowest_level_known_in_its_region(second_has_started_too, learned):
    fleet = Fleet(vms=2)
    for name, level in (("puget-a-2", 0.3), ("puget-b-1", 0.4), ("inland-a-1", 0.1)):
        home_budget(fleet, name).adopt(level, fleet.clock.now())
        fleet.nodes[name].steering.shifts._peer_levels = {}
    if second_has_started_too:
        fleet.nodes["puget-a-2"].steering.shifts._peer_levels = None
    curio.run(fleet.nodes["puget-a-1"].steering.shifts._learn_levels)
    assert home_budget(fleet, "puget-a-1").level == learned


def test_level_is_frozen_while_documents_may_be_stale():
    fleet = Fleet(drains=["puget"])
    node = fleet.nodes["puget-a-1"]
    node.current = False
    document = node.state.document("sledway").document
    for _ in range(10):
        fleet.clock.advance(timedelta(seconds=1))
        budget = node.steering.shifts.budget(document, "puget")
    assert (budget.goal, budget.level) == (Goal.DRAINED, 0)


def test_explanation_lists_each_vm_tried_and_the_refusal():
    fleet = Fleet(cap=UNCAPPED)
    node = fleet.nodes["puget-a-1"]
    fleet.unreachable.add("puget-b-1")
    remove_slots(fleet, "puget-a-1")
    refusal(node, deadline_ms=500)
    steps = node.steering.explain("sledway", "puget", "192.0.2.7")["decisions"][0]["steps"]
    assert steps[:2] == ["puget-a-1: no-target", "puget-b-1: no-target"]
    assert "inland-a-1: overloaded" in steps


def test_started_vm_forwards_to_a_vm_without_a_heartbeat_yet():
    fleet = Fleet(vms=2)
    owned_by_first = "sledway-4"
    fleet.write(2, targets=[target_value(owned_by_first)])
    assert owner(owned_by_first, ["puget-a-1", "puget-a-2"]) == "puget-a-1"
    fleet.nodes["puget-a-1"].runner.limits = {}
    fleet.nodes["puget-a-2"].runner.limits = {owned_by_first: 4}
    send(fleet.nodes["puget-a-1"])
    assert runs(fleet) == {"puget-a-2": 1}


def test_request_waits_for_a_free_slot():
    fleet = Fleet(cap=UNCAPPED)
    remove_slots(fleet, "puget-a-1", "puget-b-1")

    def free_slots():
        fleet.nodes["puget-b-1"].runner.limits = {"sledway-puget-b-1": 4}

    fleet.after_wait = free_slots
    send(fleet.nodes["puget-a-1"])
    assert runs(fleet) == {"puget-b-1": 1}


def test_request_near_its_deadline_does_not_wait_for_a_free_slot():
    fleet = Fleet(cap=UNCAPPED)
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    before = fleet.clock.now()
    assert refusal(fleet.nodes["puget-a-1"], deadline_ms=500).not_run
    assert fleet.clock.now() == before


def test_request_refused_by_the_cap_does_not_wait():
    fleet = Fleet()
    remove_slots(fleet, "puget-a-1", "puget-b-1")
    before = fleet.clock.now()
    assert refusal(fleet.nodes["puget-a-1"]).kind is ErrorKind.CAP_REACHED
    assert fleet.clock.now() == before
