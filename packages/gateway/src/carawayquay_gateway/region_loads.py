"""Compares the load of this VM's region with its capacity, and sets the shares that stay in it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.entry_peers import RegionRates
from carawayquay.load_reports import short_hash
from carawayquay.local_share import RegionLoad
from carawayquay_gateway.service_state import ASSUMED_LATENCY

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.discovery import RegisteredTarget, TargetRegistry
    from carawayquay.entry_peers import EntryPeers
    from carawayquay.evacuations import Evacuations
    from carawayquay.routes import Configuration
    from carawayquay.target_limits import TargetLimits
    from carawayquay_gateway.service_state import ServiceState
    from carawayquay_gateway.settings import GatewaySettings

__all__ = ["RegionLoads"]

#: Lower bound on the local share in the estimate of demand from in-flight requests, which is
#: unreliable if most of the region's requests spill over.
_MIN_SHARE = 0.2

#: Time for which summed rates of other VMs are cached; the rates are averages over seconds anyway.
_RATES_TTL = timedelta(milliseconds=600)


class RegionLoads:
    """Updates the local share of each service by the loads and capacities of the regions.

    :param service: returns the statistics of a service
    :param in_flight_at: returns the estimated requests in flight at a target from all VMs at a time
    :ivar rates: request rates of the other VMs, cached for a moment
    """

    def __init__(
        self,
        peers: EntryPeers,
        targets: TargetRegistry,
        evacuated: Evacuations,
        limits: TargetLimits,
        service: Callable[[str], ServiceState],
        in_flight_at: Callable[[str, timedelta], int],
    ) -> None:
        self.rates = RegionRates()
        self._peers = peers
        self._targets = targets
        self._evacuated = evacuated
        self._limits = limits
        self._service = service
        self._in_flight_at = in_flight_at
        self._rates_until = timedelta()

    def update(
        self, configuration: Configuration, settings: GatewaySettings, now: timedelta
    ) -> None:
        """Update each service's local share: the share of requests that stay in this region."""
        if now >= self._rates_until:
            self.rates = self._peers.rates(now)
            self._rates_until = now + _RATES_TTL
        for name in configuration.service_names:
            service = self._service(name)
            service.local_share.update(self._region_load(name, service, settings, now), now)

    def _region_load(
        self, name: str, service: ServiceState, settings: GatewaySettings, now: timedelta
    ) -> RegionLoad:
        usable = [
            target for target in self._targets.ready(name) if target.domain not in self._evacuated
        ]
        region = settings.region
        near = [target for target in usable if target.region == region]
        code = short_hash(name)
        own_rate = service.rate(now)
        work = service.times.mean(ASSUMED_LATENCY)
        demand = work * (own_rate + self.rates.of(region, code))
        in_flight = service.smooth_in_flight(
            sum(self._in_flight_at(target.name, now) for target in near)
        )
        if demand > 0:
            # The measured in-flight requests are more reliable than the estimated work time.
            demand = max(demand, in_flight / max(_MIN_SHARE, service.local_share.share))
        return RegionLoad(
            demand=demand,
            capacity=self._capacity(near, work),
            all_demand=work * (own_rate + self.rates.total(code)),
            all_capacity=self._capacity(usable, work),
            regions=len(set(settings.regions.values())),
        )

    def _capacity(self, targets: list[RegisteredTarget], work: float) -> float:
        """Return the slots of targets that can be in use, fewer where they limit their requests.

        :param work: mean service time in seconds
        """
        if not self._limits.limited:
            return sum(target.slots for target in targets)
        return sum(self._usable_slots(target, work) for target in targets)

    def _usable_slots(self, target: RegisteredTarget, work: float) -> float:
        rate = self._limits.usable_rate(target)
        return target.slots if rate is None else min(target.slots, rate * work)
