"""Look-up interface: names live entry VMs to callers, nearest first."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.membership import Address
from carawayquay_platform.own_endpoints import RESOLVE_PATH, lookup_response, parse_lookup
from carawayquay_wire.http import HttpResponse

if TYPE_CHECKING:
    from carawayquay.load_reports import VMIdentity
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.own_endpoints import LookupQuery
    from carawayquay_wire.http import HttpRequest

__all__ = ["LookupApi"]

#: Longest time for which callers may cache an answer.
_TTL = timedelta(seconds=2.5)

#: Bounds on the number of entry VMs in an answer; farther VMs are added only below the minimum.
_MIN_VMS = 2
_MAX_VMS = 64


class LookupApi:
    """Answers callers' look-ups of entry VMs."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the addresses of entry VMs near the caller, with a TTL."""
        if request.target.partition("?")[0] != RESOLVE_PATH:
            return HttpResponse(404)
        port = self._state.settings.callers.port
        vms = self._nearest_vms(parse_lookup(request))
        ttl = min(_TTL, self._state.settings.lookup_life)
        self._state.metrics.count("lookups_total")
        return lookup_response([Address(vm.host, port) for vm in vms], ttl)

    def _nearest_vms(self, query: LookupQuery) -> list[VMIdentity]:
        """Return live entry VMs of the caller's domain, then its region, then others if too few."""
        live = self._state.peers.live_vms(self._state.clock.now())
        if not self._state.stopping or not live:
            live.append(self._state.identity)
        region = query.region or self._state.settings.regions.get(query.domain, "")
        groups = (
            [vm for vm in live if vm.domain == query.domain],
            [vm for vm in live if vm.domain != query.domain and vm.region == region],
            [vm for vm in live if vm.domain != query.domain and vm.region != region],
        )
        nearest: list[VMIdentity] = []
        for group in groups:
            if len(nearest) < _MIN_VMS:
                nearest += group
        return nearest[:_MAX_VMS]
