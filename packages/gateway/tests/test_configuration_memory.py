"""A gateway stays within its memory however often a large configuration changes."""

from __future__ import annotations

import signal
import weakref

import curio
import pytest
from gateway_builders import (
    ScriptedTarget,
    answer_bytes,
    configuration,
    new_forwarder,
    request,
    route,
    run,
    stored,
    target,
)
from gateway_domain import until
from uncontrolled_clients import MEMORY_MB, GatewaySite

from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent
from carawayquay_platform.objects import ObjectKind

#: Routes of the large configuration, whose object is smaller than the store's limit of 1 MB.
_ROUTES = 2100

#: Changes that exceed the memory if each leaves its configuration behind.
_CHANGES = 120
_CHANGE_SECONDS = 0.1

#: Changes while the process is frozen, more than one response of the store carries.
_CHANGES_WHILE_FROZEN = 40


@pytest.fixture
def site(tmp_path):
    found = GatewaySite(tmp_path)
    yield found
    found.stop()


def _large_configuration(version):
    idle = [
        route(name=f"idle-{number}", path_prefix=f"/idle/n{number}/") for number in range(_ROUTES)
    ]
    first = route(timeout=f"{4000 + version % 50}ms")
    return configuration(first, *idle, version=version)


async def _change(site, versions):
    for version in versions:
        await site.store.put("config", "main", _large_configuration(version))
        await curio.sleep(_CHANGE_SECONDS)


async def _check(site, version):
    async with curio.timeout_after(60.0):
        while await site.configuration_version() != version:
            await curio.sleep(0.2)
    print(f"peak {site.peak_mb:.0f} MB")
    assert site.alive
    assert site.peak_mb < MEMORY_MB
    assert await site.answers_request()


# Guards against a VM that keeps every version of its configuration until it exceeds its memory.
@pytest.mark.processes
def test_process_stays_within_its_memory_while_a_large_configuration_changes(site):
    async def check():
        await site.start()
        await _change(site, range(2, 2 + _CHANGES))
        await _check(site, 1 + _CHANGES)

    curio.run(check)


# Guards against a VM that reads all versions at once which it has missed.
@pytest.mark.processes
def test_process_that_was_frozen_stays_within_its_memory(site):
    async def check():
        await site.start()
        await _change(site, range(2, 5))
        for start in (5, 5 + _CHANGES_WHILE_FROZEN):
            site.signal(signal.SIGSTOP)
            await _change(site, range(start, start + _CHANGES_WHILE_FROZEN))
            site.signal(signal.SIGCONT)
            await _check(site, start + _CHANGES_WHILE_FROZEN - 1)

    curio.run(check)


# Guards against requests that hold the whole configuration with which they arrived.
def test_request_in_flight_does_not_hold_the_configuration_with_which_it_arrived():
    async def check():
        working = await ScriptedTarget(1.0, answer_bytes()).start()
        forwarder, state = new_forwarder([("t0", target(working.address))])
        handling = await curio.spawn(forwarder.handle, request(left_ms=3000))
        await until(lambda: working.requests)
        former = weakref.ref(state.configuration)
        _adopt(state, configuration(version=2))
        assert state.configuration.version == 2
        assert former() is None
        assert (await handling.join()).status == 200

    run(check)


# Guards against memory that grows with each name that a route ever had.
def test_routes_that_were_removed_are_forgotten():
    async def check():
        working = await ScriptedTarget(answer_bytes()).start()
        forwarder, state = new_forwarder([("t0", target(working.address))])
        for version in range(2, 30):
            _adopt(state, configuration(route(name=f"n{version}"), version=version))
            assert (await forwarder.handle(request())).status == 200
        assert len(forwarder._service_choices) == 1

    run(check)


def _adopt(state, configured):
    revision = 30 + int(configured["version"][1:])
    event = ObjectEvent(stored("main", configured, revision), deleted=False)
    replica = state.replicas[ObjectKind.CONFIGURATION]
    replica.apply_changes(ObjectChanges(event.object.revision, (event,)))
