"""Tests that slots are never exceeded on failures, and that draining and stopping cancel no run."""

from __future__ import annotations

import time

import attrs
import pytest

from carawayquay_standins.layout import SMALL
from carawayquay_standins.load import BackgroundLoad
from carawayquay_standins.site import Site, exchange, http_request, wait_until
from carawayquay_wire.http import HttpRequest

pytestmark = pytest.mark.processes

SERVICE = attrs.evolve(SMALL.services[0], work_ms=20.0, document={"timeout": 1, "warm_up": 0})
LAYOUT = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=3, services=(SERVICE,))
TARGET = "sledway-puget-a-1"
STONES = "/services/sledway/stones"

#: Sum of a loan's lifetime, the longest run and the failure timeout, with a margin.
TAKEOVER_SECONDS = 10.0

#: Number of polls without a new run after which a target under load counts as idle.
IDLE_POLL_COUNT = 20

#: Required time within which a draining target gets no new requests.
STOP_ASSIGNING_SECONDS = 3.0


def start(folder, **changes):
    site = Site(attrs.evolve(LAYOUT, services=(attrs.evolve(SERVICE, **changes),)), folder)
    try:
        site.up()
    except BaseException:
        site.down()
        raise
    return site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = start(tmp_path_factory.mktemp("site"))
    yield site
    site.down()


@pytest.fixture(scope="module")
def four_target_site(tmp_path_factory):
    site = start(tmp_path_factory.mktemp("wide-site"), targets_per_domain=4)
    yield site
    site.down()


def report(site, name=TARGET):
    return http_request(site.targets[name].address, "GET", "/runs").json()


def owner(site, name=TARGET):
    return next(vm for vm in site.vms if site.state(vm)["targets"][name]["wanted"])


def cancelled_runs(site):
    return sum(run["cancelled"] for run in report(site)["runs"])


def send(entry, body, key):
    """Send a booking and return the error kind of its refusal, or None."""
    headers = ((b"idempotency-key", key.encode()),)
    request = HttpRequest("POST", "/services/sledway/pickups", headers, body)
    return exchange(entry, request).header(b"carawayquay-error")


def wait_idle(site, seconds):
    """Wait until the target gets no new requests and return the number of its runs."""
    counts = []

    def idle():
        counts.append(len(report(site)["runs"]))
        return len(counts) > IDLE_POLL_COUNT and counts[-1] == counts[-IDLE_POLL_COUNT]

    wait_until(idle, f"{TARGET} gets no new requests", seconds)
    return counts[-1]


def wait_all_slots(site):
    """Wait until one entry VM holds all slots of the target."""

    def complete():
        states = [site.state(vm)["targets"][TARGET] for vm in site.vms]
        return any(state["limit"] == SERVICE.slots for state in states)

    wait_until(complete, "one entry VM holds all slots", TAKEOVER_SECONDS)


def wait_served(load, seconds=TAKEOVER_SECONDS):
    before = load.completed
    wait_until(lambda: load.completed > before + 20, "requests are answered", seconds)


def test_silent_connections_are_replaced_without_ejecting_the_target(site):
    wait_all_slots(site)
    with BackgroundLoad(list(site.callers.values()), STONES, workers=2) as load:
        wait_served(load)
        silenced = time.monotonic()
        site.control(site.targets[TARGET], silence_open=True)
        wait_served(load, STOP_ASSIGNING_SECONDS)
        assert site.state(owner(site))["targets"][TARGET]["health"] != "ejected"
    refused = [answer for answer in load.results if answer.status != 200]
    assert [
        (round(answer.completed_at - silenced, 2), answer.status, answer.error)
        for answer in refused
    ] == []


def test_slots_of_a_target_are_never_exceeded_through_freeze_kill_and_restart(site):
    with BackgroundLoad(list(site.callers.values()), STONES, workers=12) as load:
        wait_all_slots(site)
        wait_served(load)
        first = site.vms[owner(site)]
        first.freeze()
        wait_served(load)
        first.thaw()
        wait_served(load)
        second = site.vms[owner(site)]
        second.kill()
        second.start()
        site.wait_ready(second.name)
        wait_all_slots(site)
        wait_served(load)
        wait_until(
            lambda: report(site)["most_running"] == SERVICE.slots,
            "every slot is in use at once",
            TAKEOVER_SECONDS,
        )
    final_report = report(site)
    assert final_report["most_running"] == SERVICE.slots
    assert final_report["offered_over"] == 0


def test_drained_target_gets_no_new_requests_and_cancels_none(four_target_site):
    site = four_target_site
    with BackgroundLoad(list(site.callers.values()), STONES, workers=4) as load:
        wait_served(load)
        version = site.state(owner(site))["documents"]["sledway"]["version"]
        drained = site.document(site.layout.services[0], drains=[TARGET])
        site.write_document("sledway", drained, version)
        runs_at_end = wait_idle(site, STOP_ASSIGNING_SECONDS)
        wait_served(load)
    final_report = report(site)
    assert len(final_report["runs"]) == runs_at_end
    assert not any(run["cancelled"] for run in final_report["runs"])
    assert {answer.status for answer in load.results} == {200}


def test_request_that_crashes_targets_is_refused_after_the_second(four_target_site):
    site = four_target_site
    entry = next(iter(site.callers.values()))
    refusals = [send(entry, b"poison", f"p-{number}") for number in range(3)]
    assert refusals == ["target-failed", "target-failed", "quarantined"]
    assert sum(not process.running for process in site.targets.values()) == 2
    assert [send(other, b"poison", "p-9") for other in site.callers.values()] == ["quarantined"] * 3
    assert send(entry, b"8 stones", "s-1") is None


def test_stopping_owner_cancels_no_run_and_hands_over_its_targets(site):
    with BackgroundLoad(list(site.callers.values()), STONES, workers=3) as load:
        wait_served(load)
        cancelled_before = cancelled_runs(site)
        leaving = owner(site)
        load.remove_entry(site.callers[leaving])
        assert site.vms[leaving].stop() == 0
        wait_served(load)
    assert not [answer for answer in load.results if answer.error in ("lost", "answer-lost")]
    assert cancelled_runs(site) == cancelled_before
    assert report(site)["offered_over"] == 0
