"""A limit holds while the callers of all VMs come in a burst."""

from __future__ import annotations

from datetime import timedelta

import pytest
from gateway_builders import settings
from limit_fleet import LimitFleet

from carawayquay.target_limits import ServiceLoad
from carawayquay_gateway.service_state import ServiceState

#: Requests that the users' rule allows in 4 s at 7.4/s.
_LIMIT = 7.4
_ALLOWED = 1.5 * 4 * _LIMIT + 5

#: Numbers of VMs and domains, and requests/s for the service at each VM.
_FLEETS = [(6, 3, 80.0), (20, 6, 25.0), (102, 6, 6.9), (195, 9, 3.6)]

#: Fleets of different chance; the first seed is the one with which the fault was found.
_SEEDS = (1, 2, 3, 4)


class _BurstFleet(LimitFleet):
    """A fleet whose VMs see the requests for the whole service, by which they notice a burst.

    :param vm_rate: requests/s for the service at each VM
    """

    def __init__(self, vms, domains, rate, vm_rate, seed):
        super().__init__(vms, domains, rate, seed=seed)
        self._vm_rate = vm_rate
        self._services = {vm.name: ServiceState(settings()) for vm in self.vms}
        self._counted_until = dict.fromkeys(self._services, self.now)

    def burst(self, factor):
        """Multiply the rates of all requests from now on."""
        for vm in self.vms:
            self._count_service_requests(vm)
        self.rate *= factor
        self._vm_rate *= factor

    def _service_load(self, vm):
        self._count_service_requests(vm)
        service = self._services[vm.name]
        service.count_request(self.now)
        return ServiceLoad(self.rate, service.growth(self.now))

    def _count_service_requests(self, vm):
        """Count the requests for the service up to now, at the present rate."""
        service = self._services[vm.name]
        at = self._counted_until[vm.name]
        while (gap := timedelta(seconds=self._random.expovariate(self._vm_rate))) < self.now - at:
            at += gap
            service.count_request(at)
        self._counted_until[vm.name] = self.now


@pytest.mark.parametrize(("vms", "domains", "vm_rate"), _FLEETS)
def test_limit_holds_through_a_threefold_burst(vms, domains, vm_rate):
    for seed in _SEEDS:
        _check_burst(_BurstFleet(vms, domains, 25.0, vm_rate, seed))


def _check_burst(fleet):
    fleet.run(4)
    fleet.limit = _LIMIT
    fleet.run(10)
    burst = fleet.now
    fleet.burst(3)
    fleet.run(8)
    assert fleet.most_in_window(burst - timedelta(seconds=4)) <= _ALLOWED
    assert fleet.used(burst) >= 0.6 * _LIMIT


@pytest.mark.parametrize(("vms", "domains", "vm_rate"), _FLEETS)
def test_limit_is_used_by_steady_requests(vms, domains, vm_rate):
    fleet = _BurstFleet(vms, domains, 25.0, vm_rate, seed=1)
    fleet.run(4)
    fleet.limit = _LIMIT
    fleet.run(30)
    assert fleet.used(fleet.now - timedelta(seconds=20)) >= 0.6 * _LIMIT
