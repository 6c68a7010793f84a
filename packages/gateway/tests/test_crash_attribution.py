"""Crashes of targets are attributed to the requests that cause them, and to no others."""

from __future__ import annotations

from datetime import timedelta
from functools import partial

import curio
import pytest
from cut_off_fleet import CutOffFleet, HandlingTarget
from gateway_builders import configuration, request, route
from gateway_site import free_ports

from carawayquay_wire.http import HttpResponse

_PAGE, _CAUSE = "/reports/page", "/reports/cause"

#: Time that a target works on the page, and that after which the cause ends it.
_WORK_SECONDS = 0.2
_CRASH_SECONDS = 0.1

#: Time in which a VM judges whether a target has crashed, and after which the target is back.
_JUDGE_SECONDS = 0.8


async def _serve_page(_, __):
    await curio.sleep(_WORK_SECONDS)
    return HttpResponse(200)


async def _serve(stub, received):
    """Serve the page, and crash by the cause."""
    if received.target == _CAUSE:
        await curio.sleep(_CRASH_SECONDS)
        await curio.spawn(stub.crash, daemon=True)
        await curio.Event().wait()
    return await _serve_page(stub, received)


def _on_fleet(check, vms, targets, handle=_serve_page, **changes):
    async def go():
        fleet = CutOffFleet(
            ["puget-a"] * vms,
            port=free_ports("127.9.62.1", 1)[0],
            network="127.9.62",
            configured=configuration(route(**changes)),
            stubs=[HandlingTarget(f"t{index}", handle) for index in range(targets)],
        )
        async with curio.timeout_after(40.0):
            await fleet.start()
            await check(fleet)

    curio.run(go)


async def _ask(vm, path=_PAGE, key="17", name="a1"):
    asked = request(path=path, request_id=name, affinity_key=key, left_ms=3000)
    return (await vm.forwarder.handle(asked)).status


async def _spawn_all(vm, count):
    return [await curio.spawn(partial(_ask, vm, name=f"b{index}")) for index in range(count)]


async def _crash(stubs):
    for stub in stubs:
        await stub.crash()


async def _judged(fleet):
    await curio.sleep(_JUDGE_SECONDS)
    fleet.tell_crashes()


# Guards against a page that many ask for alike and that one crash of a target ended at all VMs.
@pytest.mark.parametrize("asking", [1, 2])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_page_is_served_after_one_crash_of_a_target_that_ran_it_many_times(asking, kind):
    async def check(fleet):
        tasks = [task for vm in fleet.vms[:asking] for task in await _spawn_all(vm, 6)]
        await curio.sleep(_WORK_SECONDS / 2)
        await _crash([max(fleet.targets, key=lambda stub: len(stub.requests))])
        for task in tasks:
            await task.join()
        await _judged(fleet)
        assert [await _ask(vm) for vm in fleet.vms] == [200] * len(fleet.vms)

    _on_fleet(check, vms=3, targets=3, kind=kind)


# Guards against a page that is refused after a domain without power, whose targets all ran it.
def test_page_is_served_after_all_targets_that_ran_it_ended_together():
    async def check(fleet):
        *ending, _ = fleet.targets
        tasks = []
        for stub in ending:
            for vm in fleet.vms:
                _allow_only(vm, fleet, stub.name)
                tasks += await _spawn_all(vm, 2)
            await curio.sleep(_CRASH_SECONDS / 10)
        await _crash(ending)
        for vm in fleet.vms:
            _allow_only(vm, fleet, fleet.targets[-1].name)
        for task in tasks:
            await task.join()
        assert all(stub.requests for stub in ending)
        await _judged(fleet)
        assert [await _ask(vm) for vm in fleet.vms] == [200] * len(fleet.vms)

    _on_fleet(check, vms=3, targets=7)


def _allow_only(vm, fleet, name):
    """Let a VM send its next requests to one target only."""
    now = vm.state.clock.now()
    for stub in fleet.targets:
        until = now if stub.name == name else now + timedelta(seconds=30)
        vm.state.stats(stub.name).ejected_until = until


# Guards against a page that is refused since the cause of the crashes runs beside it each time.
def test_cause_is_refused_and_the_page_that_runs_beside_it_is_served():
    async def check(fleet):
        vm = fleet.vms[0]
        statuses = []
        for number in range(5):
            page = await curio.spawn(partial(_ask, vm, name=f"p{number}"))
            statuses.append(await _ask(vm, _CAUSE, name=f"q{number}"))
            await page.join()
            await _judged(fleet)
        assert statuses == [502, 502, 502, 503, 503]
        assert await _ask(vm, name="p9") == 200

    _on_fleet(check, vms=2, targets=9, handle=_serve, max_attempts=1)


# Guards against a cause whose crashes don't add up, since each is seen by another VM.
def test_cause_that_comes_to_another_vm_each_time_is_refused_after_its_third_crash():
    async def check(fleet):
        statuses = []
        for vm in fleet.vms:
            statuses.append(await _ask(vm, _CAUSE))
            await _judged(fleet)
        assert statuses == [502, 502, 502, 503, 503]

    _on_fleet(check, vms=5, targets=6, handle=_serve, max_attempts=1)
