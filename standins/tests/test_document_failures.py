"""Tests that an accepted document is in force everywhere in time and never reverts on failures."""

from __future__ import annotations

import json
import socket
import threading
import time

import curio
import pytest
from version_monitor import (
    IN_FORCE_SECONDS,
    ONE_DOMAIN,
    SERVICE,
    THREE_DOMAINS,
    VersionMonitor,
    logged_versions,
)

from carawayquay_standins.caller import CallerStandIn
from carawayquay_standins.partitions import STORE, PartitionedSite
from carawayquay_standins.site import Site, http_request, wait_until

pytestmark = pytest.mark.processes

#: Time, with a margin, within which a VM reports itself as not current if its versions are not
#: confirmed.
STALE_SECONDS = 5.0

#: A silence of the store in which its watches are sent again.
SILENCE_SECONDS = 2.5

#: Time within which a VM serves after others of its domain were lost or restarted.
SERVED_SECONDS = 10.0


@pytest.fixture(scope="module")
def domain_processes(tmp_path_factory):
    yield from up(Site(ONE_DOMAIN, tmp_path_factory.mktemp("domain")))


@pytest.fixture(scope="module")
def partitioned_processes(tmp_path_factory):
    yield from up(PartitionedSite(THREE_DOMAINS, tmp_path_factory.mktemp("cut")))


@pytest.fixture
def domain_site(domain_processes):
    yield domain_processes
    end_faults_and_check(domain_processes)


@pytest.fixture
def partitioned_site(partitioned_processes):
    yield partitioned_processes
    partitioned_processes.partition()
    end_faults_and_check(partitioned_processes)


def up(site):
    try:
        site.up()
        yield site
    finally:
        site.down()


def end_faults_and_check(site):
    """End all faults; check that the site recovers and that no VM ever adopted a lower version."""
    site.control(site.store)
    for vm in site.vms.values():
        vm.thaw()
        if not vm.running:
            vm.start()
    monitor = VersionMonitor(site)
    wait_until(lambda: all(is_current(site, vm) for vm in site.vms), "every VM is current")
    monitor.wait_in_force(monitor.change())
    for vm in site.vms:
        versions = logged_versions(site.folder, vm)
        assert versions == sorted(versions), vm


def wait_served(site, vm):
    """Wait until one entry VM serves a request.

    Slots are on hold for a while after a VM was lost or restarted, so the first requests may be
    refused.
    """
    wait_until(lambda: status(site, vm) == 200, f"{vm} serves", SERVED_SECONDS)


def status(site, vm):
    """Return the status of a request sent through one entry VM."""

    async def send_one():
        caller = CallerStandIn([site.callers[vm]])
        answer = await caller.send(SERVICE.name, "GET", "/stones")
        await caller.close()
        return answer.status

    return curio.run(send_one)


def refused_version(site, vm):
    """Return the version of the document that an entry VM refused; None if there is none."""
    found = site.state(vm)["documents"][SERVICE.name]["refused"]
    return found and found["version"]


def is_current(site, vm):
    return site.state(vm)["spreading"]["current"]


def wait_two_watchers(site):
    """Wait until only the domain's two watchers have a pending call to the store; return them."""

    def waiting():
        return {vm for vm in site.vms if site.state(vm)["store"]["waiting"]}

    def watchers():
        return set(site.state("puget-a-1")["membership"]["watchers"])

    wait_until(lambda: waiting() == watchers() and len(watchers()) == 2, "two VMs watch")
    return sorted(watchers())


def write_invalid_document(site):
    found = site.stored("documents", SERVICE.name)
    return site.write_document(SERVICE.name, {"service": SERVICE.name}, replaces=found["version"])


def test_partitioned_domain_keeps_serving_and_catches_up_after_it_rejoins(partitioned_site):
    monitor = VersionMonitor(partitioned_site)
    before = monitor.version("inland-a-1")
    partitioned_site.isolate("inland-a")
    version = monitor.change("puget-a")
    monitor.wait_in_force(
        version, [vm for vm in partitioned_site.vms if not vm.startswith("inland")]
    )
    wait_until(
        lambda: not is_current(partitioned_site, "inland-a-1"), "inland is stale", STALE_SECONDS
    )
    assert monitor.version("inland-a-1") == before
    wait_served(partitioned_site, "inland-a-1")
    partitioned_site.partition()
    monitor.wait_in_force(version)
    wait_until(
        lambda: is_current(partitioned_site, "inland-a-1"), "inland is current", IN_FORCE_SECONDS
    )


def test_domain_that_cannot_reach_the_store_gets_changes_from_another_domain(partitioned_site):
    monitor = VersionMonitor(partitioned_site)
    partitioned_site.partition(("inland-a", STORE))
    monitor.wait_in_force(monitor.change("puget-a"))
    wait_until(
        lambda: partitioned_site.state("inland-a-1")["membership"]["store_failed"],
        "inland detects that the store is unreachable",
        STALE_SECONDS,
    )
    monitor.wait_in_force(monitor.change())
    wait_until(
        lambda: is_current(partitioned_site, "inland-a-1"), "inland is current", IN_FORCE_SECONDS
    )


def test_change_after_a_silence_of_the_store_is_in_force_in_time(domain_site):
    """Guards against watches that the store took and never answers."""
    monitor = VersionMonitor(domain_site)
    monitor.wait_in_force(monitor.change("puget-a"))
    domain_site.control(domain_site.store, swallow=True)
    time.sleep(SILENCE_SECONDS)
    domain_site.control(domain_site.store)
    monitor.wait_in_force(monitor.change())


def test_restarted_vm_gets_documents_from_peers_while_the_store_is_down(domain_site):
    monitor = VersionMonitor(domain_site)
    version = monitor.change()
    monitor.wait_in_force(version)
    domain_site.control(domain_site.store, down=True)
    replaced = domain_site.vms["puget-a-2"]
    replaced.kill()
    replaced.start()
    monitor.wait_in_force(version, ["puget-a-2"])
    wait_served(domain_site, "puget-a-2")


def test_change_is_in_force_in_time_although_both_watchers_are_killed(domain_site):
    monitor = VersionMonitor(domain_site)
    for vm in wait_two_watchers(domain_site):
        domain_site.vms[vm].kill()
    monitor.wait_in_force(monitor.change("puget-a"))


def test_change_is_in_force_in_time_although_both_watchers_freeze_and_they_catch_up(domain_site):
    monitor = VersionMonitor(domain_site)
    watchers = wait_two_watchers(domain_site)
    for vm in watchers:
        domain_site.vms[vm].freeze()
    version = monitor.change("puget-a")
    monitor.wait_in_force(version, [vm for vm in domain_site.vms if vm not in watchers])
    for vm in watchers:
        domain_site.vms[vm].thaw()
    monitor.wait_in_force(version)


def test_store_with_an_older_copy_lowers_neither_old_nor_replaced_vms(domain_site):
    monitor = VersionMonitor(domain_site)
    before = monitor.version("puget-a-2")
    version = monitor.change("puget-a")
    monitor.wait_in_force(version)
    domain_site.control(domain_site.store, stale_revision=before)
    for vm in wait_two_watchers(domain_site):
        domain_site.vms[vm].kill()
        domain_site.vms[vm].start()
    monitor.wait_in_force(version)
    domain_site.control(domain_site.store)
    monitor.wait_in_force(monitor.change())


def test_invalid_document_is_refused_everywhere_and_a_restarted_vm_gets_the_last_valid_one(
    domain_site,
):
    monitor = VersionMonitor(domain_site)
    valid_version = monitor.version("puget-a-1")
    invalid_version = write_invalid_document(domain_site)
    wait_until(
        lambda: all(refused_version(domain_site, vm) == invalid_version for vm in domain_site.vms),
        "the invalid document is refused everywhere",
        IN_FORCE_SECONDS,
    )
    domain_site.vms["puget-a-2"].kill()
    domain_site.vms["puget-a-2"].start()
    monitor.wait_in_force(valid_version)
    assert refused_version(domain_site, "puget-a-2") == invalid_version
    wait_served(domain_site, "puget-a-2")
    monitor.wait_in_force(monitor.change())


def test_one_of_several_concurrent_writes_wins_and_only_its_document_is_in_force(domain_site):
    monitor = VersionMonitor(domain_site)
    before = monitor.version("puget-a-1")
    statuses = {}

    def write(operator):
        value = {"change": operator, "document": domain_site.document(SERVICE)}
        path = f"/objects/documents/{SERVICE.name}"
        answer = http_request(domain_site.store.address, "PUT", path, value, if_match=before)
        statuses[operator] = answer.status

    operators = [threading.Thread(target=write, args=(f"operator-{n}",)) for n in range(6)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    winners = [operator for operator, status in statuses.items() if status == 200]
    assert len(winners) == 1
    assert sorted(statuses.values()) == [200] + [412] * 5
    monitor.wait_in_force(domain_site.stored("documents", SERVICE.name)["version"])
    found = {domain_site.state(vm)["documents"][SERVICE.name]["change"] for vm in domain_site.vms}
    assert found == set(winners)


def test_malformed_frames_close_only_their_own_connection(domain_site):
    before = domain_site.vms["puget-a-1"].pid
    address = domain_site.peers["puget-a-1"]
    for frame in (
        b"\xff" * 64,
        b"GET / HTTP/1.1\r\n\r\n",
        bytes(15) * 20,
        oversized_frame(),
        b"\0",
    ):
        with socket.create_connection((address.host, address.port), timeout=5) as sock:
            sock.sendall(frame)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                pass
    wait_served(domain_site, "puget-a-1")
    assert domain_site.vms["puget-a-1"].pid == before
    assert all(domain_site.state("puget-a-2")["peers"].values())


def oversized_frame():
    """Return a frame whose length field announces 4 GiB."""
    return b"\xff\xff\xff\xff" + bytes(11)


def test_leaving_and_lost_vms_are_dropped_from_lookups_in_time(domain_site):
    domain_site.publish_vm_list("puget", "puget-a", "puget-a-3")
    leaving = str(domain_site.callers["puget-a-3"])

    def lookup_addresses(vm):
        answer = http_request(domain_site.callers[vm], "GET", f"/lookup/{SERVICE.name}")
        return [entry["address"] for entry in json.loads(answer.body)["entries"]]

    others = [vm for vm in domain_site.vms if vm != "puget-a-3"]
    wait_until(
        lambda: all(leaving not in lookup_addresses(vm) for vm in others),
        "the leaving VM is dropped",
        2.0,
    )
    domain_site.vms["puget-a-4"].kill()
    lost = str(domain_site.callers["puget-a-4"])
    alive = ["puget-a-1", "puget-a-2"]
    wait_until(
        lambda: all(lost not in lookup_addresses(vm) for vm in alive), "the lost VM is dropped"
    )
    domain_site.publish_vm_list("puget", "puget-a")
