"""End-to-end tests on real processes: look-up, request, answer, document change, stop."""

from __future__ import annotations

import attrs
import curio
import pytest

from carawayquay_standins.caller import CallerStandIn
from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site, wait_until

pytestmark = pytest.mark.processes

#: Required time within which a change is in force on every entry VM.
IN_FORCE_SECONDS = 3.0


@pytest.fixture
def site(tmp_path):
    site = Site(SMALL, tmp_path)
    try:
        site.up()
        yield site
    finally:
        site.down()


def test_request_gets_the_whole_answer_of_a_target(site):
    async def send_both():
        caller = CallerStandIn(list(site.callers.values()))
        key = ((b"idempotency-key", b"pickup-1"),)
        answers = [
            await caller.send("sledway", "GET", "/stones"),
            await caller.send("sledway", "POST", "/pickups", b"8 stones", key),
        ]
        await caller.close()
        return answers

    stock, pickup = curio.run(send_both)
    assert stock.status == 200
    assert stock.json()["path"] == "/stones"
    assert pickup.status == 200
    assert pickup.json()["echo"] == "8 stones"
    assert [run["key"] for run in site.runs() if run["key"]] == ["pickup-1"]


def test_changed_document_is_in_force_on_every_entry_vm(site):
    service = SMALL.services[0]
    before = site.state("puget-a-1")["documents"]["sledway"]["version"]
    drained = site.document(service, drains=["puget-a"])
    version = site.write_document("sledway", drained, replaces=before)
    wait_until(
        lambda: all(
            site.state(vm)["documents"]["sledway"]["version"] == version for vm in site.vms
        ),
        "the change is in force everywhere",
        IN_FORCE_SECONDS,
    )


def test_entry_vms_of_a_domain_receive_heartbeats_from_each_other(tmp_path):
    layout = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=3)
    site = Site(layout, tmp_path)
    try:
        site.up()
        wait_until(
            lambda: all(all(site.state(vm)["peers"].values()) for vm in site.vms),
            "every entry VM receives heartbeats from the others",
            IN_FORCE_SECONDS,
        )
    finally:
        site.down()


def test_planned_stop_exits_zero(site):
    assert site.vms["puget-b-1"].stop() == 0
