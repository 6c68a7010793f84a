"""Exchanges quota messages with the coordinators of quotas, or acts as one, over UDP."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.errors import FrameError
from carawayquay.quotas import (
    DomainView,
    QuotaCoordinator,
    QuotaDemands,
    QuotaGrants,
    QuotaReport,
    coordinators,
)
from carawayquay_gateway.datagrams import DatagramSocket
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.quota_messages import decode_quota_message, encode_quota_message

if TYPE_CHECKING:
    from carawayquay.load_reports import VMIdentity
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.quota_messages import QuotaMessage

__all__ = ["QuotaExchange"]

_log = EventLog("quotas")

#: Ports of the range that VMs use among themselves, with the one for messages about quotas.
_PORTS_NEEDED = 3

#: Interval of reports and grants, and time in which the messages of others collect. What is
#: admitted beyond a quota before the coordinator knows of it grows with both.
_TICK_SECONDS = 0.1
_BATCH_SECONDS = 0.03

#: Ticks between reports without news, and between the demands sent to other failure domains.
_REPORT_TICKS = 5
_DEMAND_TICKS = 5

#: Number of VMs of another domain that get the demands, as its coordinator may have changed.
_RECEIVERS = 2

#: Time in which a VM sends complete reports to a coordinator that it has just heard of.
_COMPLETE_FOR = timedelta(seconds=0.8)

#: Time without a limit after which the end of the limit of an organisation is logged.
_LIMIT_ENDED_AFTER = timedelta(seconds=2)


@attrs.frozen
class _KnownCoordinator:
    """The coordinator whose grants came last, and when the first of them came."""

    name: str
    incarnation: int
    since: timedelta


class QuotaExchange:
    """Reports to the domain's coordinator, or grants its VMs their requests if it is this VM.

    It starts once the configuration has an organisation with a quota.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._sock: DatagramSocket | None = None
        self._coordinator: QuotaCoordinator | None = None
        self._known: _KnownCoordinator | None = None
        self._chosen = ""
        self._sequence = 0
        self._ticks = 0
        self._limited_at: dict[str, timedelta] = {}
        state.metrics.gauge("quota_coordinator", lambda: float(self._coordinator is not None))
        state.metrics.gauge("organisations_limited", lambda: float(len(self._limited_at)))

    async def run(self) -> None:
        """Send and receive until cancelled."""
        while not self._state.limited_organisations:
            await self._state.ticker.next()
        if len(self._state.settings.ports) < _PORTS_NEEDED:
            reason = f"[listen] ports has fewer than {_PORTS_NEEDED} ports"
            _log.warning(Event.QUOTAS_UNCOORDINATED, reason=reason)
            await curio.Event().wait()
        self._sock = DatagramSocket(
            self._state.settings.quotas, "quota", self._state.metrics, _BATCH_SECONDS
        )
        async with curio.TaskGroup() as group:
            await group.spawn(self._sock.receive, self.handle_datagram)
            await group.spawn(self._send)

    async def _send(self) -> None:
        while True:
            self.tick()
            await curio.sleep(_TICK_SECONDS)

    def tick(self) -> None:
        """Send what is due."""
        state = self._state
        now = state.clock.now()
        self._ticks += 1
        state.quotas.set_fleet(domain_vms=self._domain_vms, fleet_vms=state.budget_sharers())
        state.quotas.retain(state.limited_organisations)
        hosts = self._live_hosts(now)
        chosen = coordinators(state.identity.domain, hosts)[0]
        if chosen != self._chosen:
            self._chosen = chosen
            _log.info(Event.QUOTA_COORDINATOR_CHANGED, coordinator=chosen)
        if chosen == state.identity.name:
            self._coordinate(now)
        else:
            self._coordinator = None
            self._limited_at.clear()
            self._report(chosen, hosts[chosen], now)

    @property
    def _domain_vms(self) -> int:
        """The number of known VMs of the failure domain, live or not, with this one."""
        return len(self._state.peers.domain_peers) + 1

    def _live_hosts(self, now: timedelta) -> dict[str, str]:
        """Return the hosts of the VMs of the domain that may coordinate, by name."""
        state = self._state
        hosts = {
            peer.identity.name: peer.identity.host
            for peer in state.peers.domain_peers
            if peer.live(now) and peer.report is not None and not peer.report.leaving
        }
        if not state.stopping or not hosts:
            hosts[state.identity.name] = state.identity.host
        return hosts

    def _report(self, coordinator: str, host: str, now: timedelta) -> None:
        """Report the requests of this VM to the coordinator."""
        known = self._known
        complete = known is None or known.name != coordinator or now - known.since < _COMPLETE_FOR
        uses = self._state.quotas.uses(now, complete=complete)
        if uses or self._ticks % _REPORT_TICKS == 0:
            self._transmit(QuotaReport(*self._head(), uses, complete), [host])

    def _coordinate(self, now: timedelta) -> None:
        """Grant the VMs of the domain their requests."""
        state = self._state
        if self._coordinator is None:
            self._coordinator = QuotaCoordinator(state.quotas, now)
        coordinator = self._coordinator
        own = QuotaReport(*self._head(), state.quotas.uses(now, complete=True), True)
        coordinator.receive(own, now)
        others = frozenset(state.settings.regions) - {state.identity.domain}
        grants = coordinator.grants(
            state.limited_organisations,
            DomainView(others, self._domain_vms),
            state.settings.quota_tolerance,
            now,
        )
        if coordinator.ready(now):
            message = QuotaGrants(*self._head(), grants)
            state.quotas.apply(message, now)
            self._transmit(message, [it.identity.host for it in state.peers.domain_peers])
            self._log_limits(now)
        if self._ticks % _DEMAND_TICKS == 0:
            demands = coordinator.demands(now)
            told = QuotaDemands(*self._head(), state.identity.domain, demands)
            self._transmit(told, [vm.host for vm in self._other_coordinators(now)])

    def _other_coordinators(self, now: timedelta) -> list[VMIdentity]:
        """Return the VMs of the other domains that coordinate quotas there, or soon may."""
        found = []
        for domain in self._state.peers.remote_domains:
            members = {vm.name: vm for vm in domain.live_members(now)}
            names = coordinators(domain.name, members)[:_RECEIVERS]
            found += [members[name] for name in names]
        return found

    def _head(self) -> tuple[str, int, int]:
        """Return sender, incarnation and sequence number of the next message."""
        self._sequence += 1
        identity = self._state.identity
        return identity.name, identity.incarnation, self._sequence

    def _transmit(self, message: QuotaMessage, hosts: list[str]) -> None:
        if hosts and self._sock is not None:
            self._sock.send(encode_quota_message(message), hosts)

    def handle_datagram(self, data: bytes, host: str) -> None:
        """Apply a message; one that cannot be read is logged and ignored."""
        try:
            message = decode_quota_message(data)
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=host, reason=error)
            return
        now = self._state.clock.now()
        match message:
            case QuotaGrants():
                self._apply(message, now)
            case QuotaReport() if self._coordinator is not None:
                self._coordinator.receive(message, now)
            case QuotaDemands() if self._coordinator is not None:
                if message.domain in self._state.settings.regions:
                    self._coordinator.receive_demands(message, now)

    def _apply(self, grants: QuotaGrants, now: timedelta) -> None:
        """Apply the grants of the coordinator, unless newer ones of it were applied before."""
        if self._coordinator is not None or grants.sender != self._chosen:
            return
        known = self._known
        if known is None or (known.name, known.incarnation) != (grants.sender, grants.incarnation):
            self._known = _KnownCoordinator(grants.sender, grants.incarnation, now)
        self._state.quotas.apply(grants, now)

    def _log_limits(self, now: timedelta) -> None:
        """Log the organisations whose requests begin or cease to be refused in the domain."""
        quotas = self._state.quotas
        for organisation in self._state.limited_organisations:
            name, grant = organisation.name, quotas.grant(organisation.name)
            if grant is not None and grant.fraction < 1.0 and self._coordinator.wanted(name, now):
                if name not in self._limited_at:
                    fields = {"fraction": round(grant.fraction, 3), "share": round(grant.share, 3)}
                    _log.info(Event.ORGANISATION_LIMITED, organisation=name, **fields)
                self._limited_at[name] = now
            elif name in self._limited_at and now - self._limited_at[name] > _LIMIT_ENDED_AFTER:
                del self._limited_at[name]
                _log.info(Event.ORGANISATION_LIMIT_ENDED, organisation=name)
