"""Look-up interface: names live entry VMs to callers, nearest first."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from carawayquay.load_reports import short_hash
from carawayquay.membership import Address
from carawayquay.vm_capacity import sample_by_capacity
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
    """Answers callers' look-ups of entry VMs.

    Callers choose among the named VMs at random, so larger VMs are named more often.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._random = Random(state.identity.incarnation ^ short_hash(state.identity.name))

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
            self._spread([vm for vm in live if vm.domain == query.domain]),
            [vm for vm in live if vm.domain != query.domain and vm.region == region],
            [vm for vm in live if vm.domain != query.domain and vm.region != region],
        )
        nearest: list[VMIdentity] = []
        for group in groups:
            if len(nearest) < _MIN_VMS:
                nearest += group
        return nearest[:_MAX_VMS]

    def _spread(self, vms: list[VMIdentity]) -> list[VMIdentity]:
        """Return the VMs of a domain to name, by what they carry."""
        capacities = {vm.name: self._capacity(vm.name) for vm in vms}
        named = sample_by_capacity(capacities, self._random)
        return [vm for vm in vms if vm.name in named]

    def _capacity(self, name: str) -> int:
        """Return the requests/s that a VM carries, 0 if it does not say."""
        state = self._state
        if name == state.identity.name:
            return state.settings.capacity
        peer = state.peers.get(name)
        return 0 if peer is None or peer.report is None else peer.report.capacity
