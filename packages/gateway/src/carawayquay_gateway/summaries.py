"""Exchanges summaries of failure domains through relays, which forward them in their domain."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.domain_relays import relays
from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    DomainSummary,
    ServiceRate,
    TargetCount,
    short_hash,
    with_usable_hosts,
)
from carawayquay.warm_gossip import WarmGossip
from carawayquay_gateway.datagrams import DatagramSocket
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.reports import decode_summary, encode_summary

if TYPE_CHECKING:
    from carawayquay.crash_counts import CrashCounts
    from carawayquay.load_reports import VMIdentity, WarmObject
    from carawayquay_gateway.state import GatewayState

__all__ = ["SummaryExchange"]

_log = EventLog("summaries")

#: How much earlier than due a summary may be sent, so that it goes out with the nearest tick.
_SEND_SLACK = timedelta(milliseconds=50)

#: Time for which a newly warm object is sent to other domains, so that most are sent twice.
_WARM_OBJECT_TTL = timedelta(seconds=2.6)

#: Time after a change of members in which every summary carries them, and the interval, counted in
#: summaries, at which summaries carry them otherwise.
_MEMBERS_SENT_FOR = timedelta(seconds=4)
_MEMBERS_EVERY_SUMMARIES = 4

#: Report intervals without a summary from the first relay after which the second one takes over.
_FAILOVER_INTERVALS = 2.5


class SummaryExchange:
    """Sends this domain's summary where this VM is a relay, and applies those of other domains.

    A domain has two relays towards each other domain. The first relays of two domains send to each
    other, and so do the second ones. The first relay forwards what it receives to all VMs of its
    own domain; the second one does so once the first has forwarded nothing for some intervals.
    """

    def __init__(self, state: GatewayState, crashes: CrashCounts, warm: WarmGossip) -> None:
        self._state = state
        self._crashes = crashes
        self._warm = warm
        self._warm_objects = WarmGossip(_WARM_OBJECT_TTL)
        self._sequence = 0
        self._ticks = 0
        self._next_summary_at: dict[timedelta, timedelta] = {}
        self._relayed_at: dict[str, timedelta] = {}
        self._relays: dict[str, tuple[str, ...]] = {}
        self._members: frozenset[VMIdentity] = frozenset()
        self._members_changed_at = timedelta()
        self._live: set[str] = set()
        self._sock: DatagramSocket | None = None

    def relays(self, domain: str) -> tuple[str, ...]:
        """Return the own domain's relays towards another domain, in this VM's view."""
        return self._relays.get(domain, ())

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._sock = DatagramSocket(self._state.settings.summaries, "summary", self._state.metrics)
        async with curio.TaskGroup() as group:
            await group.spawn(self._sock.receive, self._handle_datagram)
            await group.spawn(self._send)

    def queue_warm_objects(self, warm_objects: tuple[WarmObject, ...]) -> None:
        """Queue newly warm objects from a VM of the own domain for the summaries."""
        self._warm_objects.merge(warm_objects, self._state.clock.now())

    async def _send(self) -> None:
        while True:
            now = self._state.clock.now()
            self._update_relays(members_changed=self._update_members(now))
            self._log_domain_changes(now)
            self._send_due(now)
            await self._state.ticker.next()
            self._ticks += 1

    def _rank(self, domain: str) -> int | None:
        """Return this VM's rank among the relays towards a domain, or None if it is not a relay."""
        name, found = self._state.identity.name, self.relays(domain)
        return found.index(name) if name in found else None

    def _update_members(self, now: timedelta) -> bool:
        """Update the live members of the own domain; return whether they changed."""
        state = self._state
        members = {
            peer.identity
            for peer in state.peers.domain_peers
            if peer.live(now) and peer.report is not None and not peer.report.leaving
        }
        if not state.stopping:
            members.add(state.identity)
        if members == self._members:
            return False
        self._members, self._members_changed_at = frozenset(members), now
        return True

    def _update_relays(self, *, members_changed: bool) -> None:
        """Choose the relays towards all domains, or only towards newly known ones.

        :param members_changed: whether the members of the own domain changed
        """
        own = self._state.identity
        names = [member.name for member in self._members]
        for domain in self._state.peers.remote_domains:
            before = self.relays(domain.name)
            if domain.name in self._relays and not members_changed:
                continue
            found = self._relays[domain.name] = relays(own.domain, domain.name, names)
            if found[:1] != before[:1] and own.name in found:
                _log.info(Event.RELAYS_CHANGED, towards=domain.name, relays=",".join(found))

    def _log_domain_changes(self, now: timedelta) -> None:
        """Log the domains that became live or were lost."""
        live = {domain.name for domain in self._state.peers.remote_domains if domain.live(now)}
        for name in live - self._live:
            _log.info(Event.DOMAIN_FOUND, domain=name)
        for name in self._live - live:
            _log.warning(Event.DOMAIN_LOST, domain=name)
        self._live = live

    def _send_due(self, now: timedelta) -> None:
        """Send this domain's summary to the domains towards which this VM is a relay."""
        due_intervals = {domain.timing.interval for domain in self._state.peers.remote_domains}
        due_intervals = {interval for interval in due_intervals if self._take_due(interval, now)}
        due = [
            (domain, rank)
            for domain in self._state.peers.remote_domains
            if domain.timing.interval in due_intervals
            and (rank := self._rank(domain.name)) is not None
        ]
        if not due:
            return
        self._sequence += 1
        recently_changed = now - self._members_changed_at < _MEMBERS_SENT_FOR
        members_due = recently_changed or self._sequence % _MEMBERS_EVERY_SUMMARIES == 0
        encoded: dict[bool, bytes] = {}
        for domain, rank in due:
            with_members = members_due or not domain.live(now)
            if with_members not in encoded:
                encoded[with_members] = encode_summary(self._summary(now, with_members))
            hosts = self._state.peers.remote_domains.receivers(domain, rank, self._ticks, now)
            self._sock.send(encoded[with_members], hosts)

    def _take_due(self, interval: timedelta, now: timedelta) -> bool:
        """Return whether domains with a report interval are due, and schedule the next time."""
        at = self._next_summary_at.get(interval, now)
        if at - _SEND_SLACK > now:
            return False
        self._next_summary_at[interval] = max(at + interval, now)
        return True

    def _summary(self, now: timedelta, with_members: bool) -> DomainSummary:
        state = self._state
        self._warm_objects.merge(self._warm.current(now), now)
        counts = state.peers.domain_in_flight()
        for name, running in state.own_in_flight():
            code = short_hash(name)
            counts[code] = counts.get(code, 0) + running
        rates = state.peers.domain_rates(now)
        for name, service in state.services.items():
            code = short_hash(name)
            rates[code] = rates.get(code, 0.0) + service.rate(now)
        members = sorted(self._members, key=lambda member: member.name) if with_members else ()
        return DomainSummary(
            sender=state.identity,
            sequence=self._sequence,
            revisions=state.reported_revisions(),
            vms=len(state.peers.domain_peers) + 1,
            members=tuple(members),
            targets=tuple(TargetCount(code, running) for code, running in counts.items()),
            rates=tuple(ServiceRate(code, rate) for code, rate in rates.items()),
            crashes=self._crashes.reports(now),
            warmed=self._warm_objects.current(now),
            limits=state.target_limits.domain_reports(now),
            era=state.replica_era,
            version=state.configuration_version,
            suspects=self._crashes.suspect_reports(now),
            suspect_organisations=self._crashes.suspect_organisations(now),
        )

    def _handle_datagram(self, data: bytes, host: str) -> None:
        try:
            summary = with_usable_hosts(decode_summary(data))
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=host, reason=error)
            return
        state = self._state
        now = state.clock.now()
        domain_peers = {peer.identity.host: peer.identity.name for peer in state.peers.domain_peers}
        is_new = state.peers.receive_summary(summary, now)
        if domain_peers.get(host) in self.relays(summary.sender.domain)[:1]:
            self._relayed_at[summary.sender.domain] = now
        if not is_new:
            return
        self._crashes.merge(summary.crashes, summary.suspects, now, summary.suspect_organisations)
        state.merge_warm_objects(summary.warmed)
        state.limit_recorder.merge_summary(summary)
        self._relay(data, summary.sender.domain, host, domain_peers, now)

    def _relay(
        self, data: bytes, domain: str, host: str, domain_peers: dict[str, str], now: timedelta
    ) -> None:
        """Forward a new summary to the VMs of the own domain that may not have it.

        A VM that is not a relay forwards it to the relays only, and only if it came directly from
        another domain.
        """
        rank = self._rank(domain)
        if rank == 0 or (
            rank is not None and host not in domain_peers and self._first_relay_failed(domain, now)
        ):
            receivers = domain_peers.keys() - {host}
        elif rank is None and host not in domain_peers:
            receivers = {at for at, name in domain_peers.items() if name in self.relays(domain)}
        else:
            return
        self._sock.send(data, receivers)

    def _first_relay_failed(self, domain: str, now: timedelta) -> bool:
        """Return whether the first relay forwarded no summary of a domain for some intervals."""
        known = self._state.peers.remote_domains.get(domain)
        at = self._relayed_at.get(domain)
        return at is None or now - at > _FAILOVER_INTERVALS * known.timing.interval
