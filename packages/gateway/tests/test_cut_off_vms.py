"""A VM that is cut off from all targets serves its callers through other VMs."""

from __future__ import annotations

import curio
import pytest
from cut_off_fleet import MODES, CutOffFleet
from gateway_builders import configuration, request, route
from gateway_site import free_ports

#: Time by which a VM that has requests in flight must have found out about a cut.
_NOTICE_SECONDS = 3.0


def _on_fleet(check, *domains, **options):
    """Run a check on a fleet of VMs in some domains, with a timeout."""

    async def go():
        fleet = CutOffFleet(domains, port=free_ports("127.9.6.1", 1)[0], **options)
        async with curio.timeout_after(20.0):
            await fleet.start()
            await check(fleet)

    curio.run(go)


async def _send(vm, number, **changes):
    name = f"{vm.identity.name}-{number}"
    return await vm.forwarder.handle(request(request_id=name, affinity_key=f"{number % 7}"))


async def _send_steadily(vm, seconds, first=0, gap_seconds=0.02):
    """Send requests for some time, and return their statuses in the order of sending."""
    tasks = []
    for number in range(first, first + int(seconds / gap_seconds)):
        tasks.append(await curio.spawn(_send, vm, number))
        await curio.sleep(gap_seconds)
    return [(await task.join()).status for task in tasks]


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_requests_at_a_vm_that_reaches_no_target_are_served_through_other_vms(mode, kind):
    async def check(fleet):
        cut, *_ = fleet.vms
        assert set(await _send_steadily(cut, 0.5)) == {200}
        await cut.network.cut(mode)
        await _send_steadily(cut, _NOTICE_SECONDS, 100)
        # Open connections that live on are used as long as no other is needed.
        assert cut.state.reach.cut_off or mode == "refuse"
        assert set(await _send_steadily(cut, 0.5, 1000)) == {200}
        cut.network.heal()
        await _send_steadily(cut, 1.0, 2000)
        assert not cut.state.reach.cut_off
        assert set(await _send_steadily(cut, 0.5, 3000)) == {200}
        if kind == "non_idempotent":
            assert len(set(fleet.runs)) == len(fleet.runs)

    configured = configuration(route(kind=kind))
    _on_fleet(check, "puget-a", "puget-a", "puget-b", configured=configured)


@pytest.mark.parametrize("mode", MODES)
def test_requests_of_a_domain_without_targets_are_served_by_other_domains(mode):
    async def check(fleet):
        cut = [vm for vm in fleet.vms if vm.identity.domain == "puget-a"]
        for vm in cut:
            await vm.network.cut(mode)
        for vm in cut:
            await _send_steadily(vm, _NOTICE_SECONDS)
        for vm in cut:
            assert set(await _send_steadily(vm, 0.5, 1000)) == {200}

    _on_fleet(check, "puget-a", "puget-a", "puget-b", "inland-a")


def test_requests_are_answered_in_time_where_every_vm_is_cut_off():
    async def check(fleet):
        for vm in fleet.vms:
            await vm.network.cut("hang")
        await _send_steadily(fleet.vms[0], _NOTICE_SECONDS)
        statuses = set(await _send_steadily(fleet.vms[0], 0.5, 1000))
        assert statuses <= {502, 503, 504}
        assert fleet.runs == []

    _on_fleet(check, "puget-a", "puget-a", "puget-b")
