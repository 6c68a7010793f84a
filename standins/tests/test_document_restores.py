"""Tests that an accepted document stays in force when the store is restored from an older copy."""

from __future__ import annotations

import time

import pytest
from version_monitor import IN_FORCE_SECONDS, ONE_DOMAIN, SERVICE, VersionMonitor

from carawayquay.store_versions import combine_version
from carawayquay_standins.site import Site, http_request, wait_until

pytestmark = pytest.mark.processes

#: Time for which a lost document is missing in the store, less than the grace for writing it again.
MISSING_SECONDS = 2.0

#: Time for which a lost document is missing that is not written again, beyond that grace.
_LOST_SECONDS = 13.0


@pytest.fixture
def site(tmp_path):
    site = Site(ONE_DOMAIN, tmp_path)
    try:
        site.up()
        yield site
    finally:
        site.down()


def stored_number(site):
    return site.stored("documents", SERVICE.name)["version"]


def restore(site, revision):
    http_request(site.store.address, "PUT", "/control", {"revision": revision})


def test_document_is_kept_over_restores_and_later_ones_are_in_force_in_time(site):
    monitor = VersionMonitor(site)
    copy = stored_number(site)
    for era in (2, 3):
        known = monitor.version("puget-a-1")
        lost = monitor.change("puget-a")
        monitor.wait_in_force(combine_version(era - 1, lost))
        lost = monitor.change()
        monitor.wait_in_force(combine_version(era - 1, lost))
        assert monitor.version("puget-a-1") > known
        restore(site, copy)
        until = time.monotonic() + MISSING_SECONDS
        while time.monotonic() < until:
            assert {monitor.version(vm) for vm in site.vms} == {combine_version(era - 1, lost)}
            time.sleep(0.1)
        rewritten = monitor.change()
        monitor.wait_in_force(combine_version(era, rewritten))
        reissued = monitor.change("puget-a")
        assert reissued <= lost
        monitor.wait_in_force(combine_version(era, reissued))


def test_vms_restarted_over_a_restore_get_the_document_in_force_from_others(site):
    monitor = VersionMonitor(site)
    copy = stored_number(site)
    lost = monitor.change("puget-a")
    monitor.wait_in_force(lost)
    restore(site, copy)
    for vm in ("puget-a-1", "puget-a-2"):
        site.vms[vm].kill()
        site.vms[vm].start()
    wait_until(
        lambda: {monitor.version(vm) for vm in site.vms} == {lost},
        "the lost document is in force everywhere",
        IN_FORCE_SECONDS,
    )


def test_vms_restarted_over_a_restore_keep_a_document_that_is_never_written_again(site):
    monitor = VersionMonitor(site)
    copy = stored_number(site)
    lost = monitor.change("puget-a")
    monitor.wait_in_force(lost)
    restore(site, copy)
    for vm in ("puget-a-1", "puget-a-2"):
        site.vms[vm].kill()
        site.vms[vm].start()
    monitor.wait_in_force(lost)
    until = time.monotonic() + _LOST_SECONDS
    while time.monotonic() < until:
        assert {monitor.version(vm) for vm in site.vms} == {lost}
        time.sleep(0.1)
