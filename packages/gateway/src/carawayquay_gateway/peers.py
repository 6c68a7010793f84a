"""Exchanges load reports with the other entry VMs of the failure domain over UDP."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    LoadReport,
    ServiceRate,
    TargetCount,
    short_hash,
    with_usable_hosts,
)
from carawayquay.report_timing import Distance, report_timing
from carawayquay_gateway.datagrams import DatagramSocket
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.reports import decode_report, encode_report

if TYPE_CHECKING:
    from random import Random

    from carawayquay.crash_counts import CrashCounts
    from carawayquay.load_reports import VMIdentity
    from carawayquay.warm_gossip import WarmGossip
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.summaries import SummaryExchange

__all__ = ["PeerExchange"]

_log = EventLog("peers")

#: How much earlier than due a report may be sent, so that it goes out with the nearest tick.
_SEND_SLACK = timedelta(milliseconds=50)

#: Interval in ticks between reports that carry members, and the number of members. The interval is
#: coprime to the ticks in a report interval, so that every receiver gets reports with members.
_MEMBERS_EVERY_TICKS = 11
_MEMBERS_IN_REPORT = 3

#: The first report to a VM, and every report of a VM that has just started, carries more members,
#: since a whole fleet may start at once and know only the seeds.
_MEMBERS_AT_START = 8
_START_PHASE = timedelta(seconds=1)

#: Longest time between two reports of changes. It does not grow with the domain, since the time in
#: which a change has to be in force does not either.
_MAX_ANNOUNCEMENT_INTERVAL = timedelta(seconds=0.4)

#: Ticks between queries to the seeds while a domain is missing: in the start phase, and later.
_SEED_TICKS_AT_START = 3
_SEED_TICKS = 15
_SEED_START_PHASE = timedelta(seconds=10)

#: Maximum number of members of each other domain in the answer to a query.
_MEMBERS_PER_OTHER_DOMAIN = 2


class PeerExchange:
    """Sends load reports to the peers of the own domain and applies theirs."""

    def __init__(
        self,
        state: GatewayState,
        crashes: CrashCounts,
        warm: WarmGossip,
        summaries: SummaryExchange,
        random: Random,
    ) -> None:
        self._state = state
        self._random = random
        self._next_report_at: dict[str, timedelta] = {}
        self._crashes = crashes
        self._warm = warm
        self._summaries = summaries
        self._sequence = 0
        self._ticks = 0
        self._live: set[str] = set()
        self._reported_to: set[VMIdentity] = set()
        self._started_at = state.clock.now()
        self._sock: DatagramSocket | None = None

    @property
    def ticks(self) -> int:
        """The number of ticks since the start."""
        return self._ticks

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._sock = DatagramSocket(self._state.settings.reports, "report", self._state.metrics)
        async with curio.TaskGroup() as group:
            await group.spawn(self._sock.receive, self._handle_datagram, self._state.wake_followers)
            await group.spawn(self._send)
            await group.spawn(self._announce_changes)

    def announce(self) -> None:
        """Send a report to every VM of the domain at once, as it may not wait until it is due."""
        if self._sock is not None:
            self._send_to([peer.identity.host for peer in self._state.peers.domain_peers])

    async def _announce_changes(self) -> None:
        """Report at once that there are changes; those that follow soon are reported together."""
        state = self._state
        while True:
            await state.changes_known.wait()
            state.changes_known.clear()
            self.announce()
            vms = len(state.peers.domain_peers)
            interval = report_timing(Distance.DOMAIN, vms).interval
            await curio.sleep(min(interval, _MAX_ANNOUNCEMENT_INTERVAL).total_seconds())

    def _handle_datagram(self, data: bytes, host: str) -> None:
        try:
            report = with_usable_hosts(decode_report(data))
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=host, reason=error)
            return
        self._handle_report(report)

    def _handle_report(self, report: LoadReport) -> None:
        known = self._state.peers.get(report.sender.name)
        now = self._state.clock.now()
        was_live = known is not None and known.live(now)
        if not self._state.peers.receive(report, now):
            return
        self._state.knowledge.confirm_by_report(report, now)
        self._crashes.merge(report.crashes, report.suspects, now, report.suspect_organisations)
        self._state.merge_warm_objects(report.warmed)
        self._state.limit_recorder.merge_report(report)
        if report.sender.domain == self._state.identity.domain:
            self._summaries.queue_warm_objects(report.warmed)
            if not was_live:
                _log.info(Event.PEER_FOUND, peer=report.sender.name, host=report.sender.host)
        if report.asking:
            self._sock.send(
                encode_report(self._report(self._members_for(report.sender))), [report.sender.host]
            )

    def _members_for(self, requester: VMIdentity) -> tuple[VMIdentity, ...]:
        """Return the members for a querying VM: all of its own domain, a few of each other one."""
        sent_per_domain: Counter[str] = Counter()
        named = []
        now = self._state.clock.now()
        live = self._state.peers.live_vms(now)
        names = {vm.name for vm in live}
        gossiped = [vm for vm in self._state.peers.remote_domains.members() if vm.name not in names]
        for vm in (*live, *gossiped):
            if vm.name == requester.name:
                continue
            if vm.domain != requester.domain:
                sent_per_domain[vm.domain] += 1
                if sent_per_domain[vm.domain] > _MEMBERS_PER_OTHER_DOMAIN:
                    continue
            named.append(vm)
        return tuple(named)

    def _log_lost_peers(self) -> None:
        """Log the peers that were live at the last tick and are not any more."""
        now = self._state.clock.now()
        live = {peer.identity.name for peer in self._state.peers.domain_peers if peer.live(now)}
        for name in self._live - live:
            _log.info(Event.PEER_LOST, peer=name)
        self._live = live

    async def _send(self) -> None:
        while True:
            self._log_lost_peers()
            now = self._state.clock.now()
            self._query_seeds(now)
            self._send_to(self._pop_new_hosts(), _MEMBERS_AT_START)
            self._send_to(self._pop_due_hosts(), self._members_now())
            await self._state.ticker.next()
            self._ticks += 1

    def _query_seeds(self, now: timedelta) -> None:
        """Query the seeds while a domain is missing, or in the start phase without domain peers."""
        state = self._state
        others = set(state.settings.regions) - {state.identity.domain}
        live_domains = {domain.name for domain in state.peers.remote_domains if domain.live(now)}
        starting = now - self._started_at < _SEED_START_PHASE
        if not others - live_domains and (state.peers.domain_peers or not starting):
            return
        if self._ticks % (_SEED_TICKS_AT_START if starting else _SEED_TICKS) == 0:
            hosts = sorted({seed.host for seed in state.settings.seeds} - {state.identity.host})
            members = state.peers.sample_members(_MEMBERS_AT_START, now)
            self._sock.send(encode_report(self._report(members, asking=True)), hosts)

    def _members_now(self) -> int:
        """Return the number of members in the reports of this tick."""
        if self._state.clock.now() - self._started_at < _START_PHASE:
            return _MEMBERS_AT_START
        return 0 if self._ticks % _MEMBERS_EVERY_TICKS else _MEMBERS_IN_REPORT

    def _pop_new_hosts(self) -> list[str]:
        """Return the hosts of newly known VMs, which get their first report at once."""
        known = {peer.identity for peer in self._state.peers.domain_peers}
        new = known - self._reported_to
        self._reported_to = known
        return [vm.host for vm in new]

    def _pop_due_hosts(self) -> list[str]:
        """Return the hosts whose report is due at this tick, and schedule their next one."""
        hosts = []
        now = self._state.clock.now()
        due: dict[str, timedelta] = {}
        for peer in self._state.peers.domain_peers:
            name, interval = peer.identity.name, peer.timing.interval
            at = self._next_report_at.get(name)
            if at is None:
                # Spread the reports to VMs that became known together over the interval.
                due[name] = now + interval * self._random.random()
            elif at - _SEND_SLACK <= now:
                hosts.append(peer.identity.host)
                due[name] = max(at + interval, now)
            else:
                due[name] = at
        self._next_report_at = due
        return hosts

    def _send_to(self, hosts: list[str], members: int = 0) -> None:
        """Send one report to several hosts.

        :param members: the number of members that the report carries
        """
        if hosts:
            now = self._state.clock.now()
            named = self._state.peers.sample_members(members, now) if members else ()
            self._sock.send(encode_report(self._report(named)), hosts)

    def _report(self, members: tuple[VMIdentity, ...] = (), *, asking: bool = False) -> LoadReport:
        state = self._state
        now = state.clock.now()
        self._sequence += 1
        return LoadReport(
            sender=state.identity,
            sequence=self._sequence,
            leaving=state.stopping,
            revisions=state.reported_revisions(),
            watching=state.watching,
            targets=tuple(
                TargetCount(short_hash(name), running) for name, running in state.own_in_flight()
            ),
            rates=tuple(
                ServiceRate(short_hash(name), service.rate(now))
                for name, service in state.services.items()
            ),
            crashes=self._crashes.reports(now),
            warmed=self._warm.current(now),
            members=members,
            asking=asking,
            limits=state.target_limits.reports(now),
            era=state.replica_era,
            version=state.configuration_version,
            cut_off=state.reach.cut_off,
            confirmed_ms=state.knowledge.reported_ages(),
            capacity=state.settings.capacity,
            suspects=self._crashes.suspect_reports(now),
            suspect_organisations=self._crashes.suspect_organisations(now),
        )
