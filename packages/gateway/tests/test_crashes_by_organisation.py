"""Crashes are counted for the organisation whose requests cause them, and for no other one.

Guards against a request that crashes each target and is never refused, since an equal one of
another organisation completes; and against organisations that are refused for another's crashes.
"""

from __future__ import annotations

import curio
import pytest
from cut_off_fleet import CutOffFleet, HandlingTarget
from gateway_builders import configuration, new_state, request, route
from gateway_site import free_ports

from carawayquay.request_fingerprints import request_fingerprint
from carawayquay_gateway.exchanges import Exchange
from carawayquay_platform import headers
from carawayquay_wire.http import HttpResponse

_TENANTS = [
    {"name": name, "api_keys": [f"key-{name}"], "rate_per_s": 0, "burst": 0}
    for name in ("north", "south")
]
_PATH = "/reports/7"

#: Time after which a request ends its target, and time in which a VM judges that it crashed.
_CRASH_SECONDS = 0.1
_JUDGE_SECONDS = 0.8


async def _serve(stub, received):
    """Crash by the requests of one organisation, and serve those of the other one."""
    if received.header(b"tenant-id") == "north":
        await curio.sleep(_CRASH_SECONDS)
        await curio.spawn(stub.crash, daemon=True)
        await curio.Event().wait()
    return HttpResponse(200)


def _on_fleet(check, vms=3, targets=9, kind="idempotent"):
    async def go():
        fleet = CutOffFleet(
            ["puget-a"] * vms,
            port=free_ports("127.9.68.1", 1)[0],
            network="127.9.68",
            configured=configuration(route(max_attempts=1, kind=kind)) | {"tenants": _TENANTS},
            stubs=[HandlingTarget(f"t{index}", _serve) for index in range(targets)],
        )
        async with curio.timeout_after(40.0):
            await fleet.start()
            await check(fleet)

    curio.run(go)


async def _ask(vm, organisation):
    key = f"Bearer key-{organisation}"
    sent = request(path=_PATH, left_ms=3000, authorization=key)
    return (await vm.forwarder.handle(sent)).status


async def _judged(fleet):
    await curio.sleep(_JUDGE_SECONDS)
    fleet.tell_crashes()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize("turns", [1, 3], ids=["one VM", "three VMs in turn"])
def test_request_that_crashes_targets_is_refused_though_anothers_equal_one_completes(kind, turns):
    async def check(fleet):
        crashing, served = [], []
        for number in range(5):
            crashing.append(await _ask(fleet.vms[number % turns], "north"))
            await _judged(fleet)
            served += [await _ask(vm, "south") for vm in fleet.vms]
            fleet.tell_crashes()
        assert crashing == [502, 502, 502, 503, 503]
        assert served == [200] * len(served)

    _on_fleet(check, kind=kind)


def test_other_organisation_is_served_after_the_first_one_is_refused():
    async def check(fleet):
        for _ in range(3):
            await _ask(fleet.vms[0], "north")
            await _judged(fleet)
        assert [await _ask(vm, "north") for vm in fleet.vms] == [503] * 3
        assert [await _ask(vm, "south") for vm in fleet.vms] == [200] * 3
        assert [await _ask(vm, "north") for vm in fleet.vms] == [503] * 3

    _on_fleet(check)


def test_request_by_way_of_another_vm_counts_for_its_organisation():
    async def check(fleet):
        cut = fleet.vms[0]
        await cut.cut_off("hang")
        crashing = []
        for _ in range(5):
            crashing.append(await _ask(cut, "north"))
            await _judged(fleet)
            assert await _ask(cut, "south") == 200
            fleet.tell_crashes()
        assert crashing == [502, 502, 502, 503, 503]
        cut.network.heal()

    _on_fleet(check)


def test_request_that_a_change_gives_an_organisation_counts_for_it():
    before, after = _exchange_of(""), _exchange_of("north")
    assert before.fingerprint != after.fingerprint
    before.apply_version(after.call, after.route, 2)
    assert before.fingerprint == after.fingerprint


def _exchange_of(organisation):
    call = headers.identify_caller(headers.parse_request(request()), organisation)
    state = new_state()
    found = state.configuration.find(call.host, call.path)
    now = state.clock.now()
    return Exchange(call, found, "granite", 1, now, now, request_fingerprint(call))
