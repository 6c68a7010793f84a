"""Compares the load of this VM's region with its capacity, and sets the shares that stay in it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.entry_peers import RegionRates
from carawayquay.load_reports import short_hash
from carawayquay.local_share import RegionLoad
from carawayquay_gateway.service_state import ASSUMED_LATENCY

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget
    from carawayquay_gateway.service_state import ServiceState
    from carawayquay_gateway.state import GatewayState

__all__ = ["RegionLoads"]

#: Lower bound on the local share in the estimate of demand from in-flight requests, which is
#: unreliable if most of the region's requests spill over.
_MIN_SHARE = 0.2

#: Time for which summed rates of other VMs are cached; the rates are averages over seconds anyway.
_RATES_TTL = timedelta(milliseconds=600)


class RegionLoads:
    """Updates the local share of each service by the loads and capacities of the regions.

    :ivar rates: request rates of the other VMs, cached for a moment
    """

    def __init__(self, state: GatewayState) -> None:
        self.rates = RegionRates()
        self._state = state
        self._rates_until = timedelta()

    def update(self, now: timedelta) -> None:
        """Update each service's local share: the share of requests that stay in this region."""
        state = self._state
        if state.configuration is None:
            return
        if now >= self._rates_until:
            self.rates = state.peers.rates(now)
            self._rates_until = now + _RATES_TTL
        for name in state.configuration.service_names:
            service = state.service(name)
            service.local_share.update(self._region_load(name, service, now), now)

    def _region_load(self, name: str, service: ServiceState, now: timedelta) -> RegionLoad:
        state = self._state
        usable = [
            target for target in state.targets.ready(name) if target.domain not in state.evacuated
        ]
        region = state.settings.region
        near = [target for target in usable if target.region == region]
        code = short_hash(name)
        own_rate = service.rate(now)
        work = service.times.mean(ASSUMED_LATENCY)
        demand = work * (own_rate + self.rates.of(region, code))
        in_flight = service.smooth_in_flight(
            sum(state.in_flight_at(target.name, now) for target in near)
        )
        if demand > 0:
            # The measured in-flight requests are more reliable than the estimated work time.
            demand = max(demand, in_flight / max(_MIN_SHARE, service.local_share.share))
        return RegionLoad(
            demand=demand,
            capacity=self._capacity(near, work),
            all_demand=work * (own_rate + self.rates.total(code)),
            all_capacity=self._capacity(usable, work),
            regions=len(set(state.settings.regions.values())),
        )

    def _capacity(self, targets: list[RegisteredTarget], work: float) -> float:
        """Return the slots of targets that can be in use, fewer where they limit their requests.

        :param work: mean service time in seconds
        """
        if not self._state.target_limits.limited:
            return sum(target.slots for target in targets)
        return sum(self._usable_slots(target, work) for target in targets)

    def _usable_slots(self, target: RegisteredTarget, work: float) -> float:
        rate = self._state.target_limits.usable_rate(target)
        return target.slots if rate is None else min(target.slots, rate * work)
