"""The demand of other VMs for targets with a limit, as their reports state it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.load_reports import TargetLimitReport

__all__ = ["FleetDemand"]

#: Time for which a reported demand is kept; reports that are full carry each target in turn.
_DEMAND_LIFETIME = timedelta(seconds=10)


@attrs.frozen
class _Demand:
    """A reported demand in requests/s, and when it expires."""

    rate: float
    expires_at: timedelta


@attrs.define
class _Source:
    """A VM or a failure domain that reports its demand.

    :param vms: number of VMs whose demand it reports
    :param expires_at: when it counts as silent
    """

    vms: int
    expires_at: timedelta
    demands: dict[int, _Demand] = attrs.field(factory=dict)


class FleetDemand:
    """The reported demand of other VMs or of other failure domains; targets are keyed by hash."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}

    def receive(
        self,
        source: str,
        vms: int,
        reports: Iterable[TargetLimitReport],
        now: timedelta,
        timeout: timedelta,
    ) -> None:
        """Take the demand that a source reports.

        :param source: name of a VM or of a domain
        :param vms: number of VMs whose demand it reports
        :param timeout: time without a report after which the source counts as silent
        """
        known = self._sources.setdefault(source, _Source(vms, now))
        known.vms, known.expires_at = vms, now + timeout
        for report in reports:
            expires_at = now + max(_DEMAND_LIFETIME, timeout)
            known.demands[report.target] = _Demand(report.demand, expires_at)

    def reporting_vms(self, now: timedelta) -> int:
        """Return the number of VMs whose demand is reported by sources that are not silent."""
        return sum(source.vms for source in self._sources.values() if now < source.expires_at)

    def rate(self, target: int, now: timedelta) -> float:
        """Return the sum of the reported demand for a target, in requests/s."""
        total = 0.0
        for source in self._sources.values():
            demand = source.demands.get(target)
            if demand is not None and now < source.expires_at and now < demand.expires_at:
                total += demand.rate
        return total

    def forget(self, source: str) -> None:
        """Forget a source that no longer reports its demand."""
        self._sources.pop(source, None)

    def expire(self, now: timedelta) -> None:
        """Drop silent sources and expired demands."""
        for name in [n for n, source in self._sources.items() if now >= source.expires_at]:
            del self._sources[name]
        for source in self._sources.values():
            expired = [key for key, demand in source.demands.items() if now >= demand.expires_at]
            for key in expired:
                del source.demands[key]
