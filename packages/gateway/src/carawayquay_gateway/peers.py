"""Exchanges load reports with the other entry VMs of the failure domain by datagram."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.errors import FrameError
from carawayquay.load_reports import LoadReport, ServiceRate, TargetCount, short_hash
from carawayquay_gateway.datagrams import DatagramSocket
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.reports import decode_report, encode_report

if TYPE_CHECKING:
    from random import Random

    from carawayquay.crash_counts import CrashCounts
    from carawayquay.load_reports import VMIdentity
    from carawayquay.warm_news import WarmNews
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.summaries import SummaryExchange

__all__ = ["PeerExchange"]

_log = EventLog("peers")

#: The earliness with which a report may be sent.
_EARLY = timedelta(milliseconds=50)

#: Reports name other VMs once in so many turns, a number without a divisor in common with the turns
#: between two reports to one VM, so that every VM gets to hear names.
_MEMBERS_TURNS = 11
_MEMBERS_IN_REPORT = 3

#: The first report to a VM names more of them, and so does every one of a VM that just started,
#: since a whole fleet may start at once and know no more than seeds.
_MEMBERS_AT_START = 8
_START = timedelta(seconds=1)

#: Turns in which seeds are asked for VMs, by a VM that has just started and later, while a domain
#: is missing.
_SEED_TURNS = 3
_SEED_TURNS_LATER = 15
_SEEDS_ASKED_OFTEN_FOR = timedelta(seconds=10)

#: VMs of each other domain that an answer to such a question names.
_NAMED_OF_OTHERS = 2


class PeerExchange:
    """Sends this VM's load to the others of its domain and takes theirs."""

    def __init__(
        self,
        state: GatewayState,
        crashes: CrashCounts,
        warm: WarmNews,
        summaries: SummaryExchange,
        random: Random,
    ) -> None:
        self._state = state
        self._random = random
        self._due: dict[str, timedelta] = {}
        self._crashes = crashes
        self._warm = warm
        self._summaries = summaries
        self._sequence = 0
        self._turn = 0
        self._live: set[str] = set()
        self._told: set[VMIdentity] = set()
        self._started_at = state.clock.now()
        self._sock: DatagramSocket | None = None

    @property
    def ticks(self) -> int:
        """The number of turns in which reports were sent."""
        return self._turn

    async def run(self) -> None:
        """Send and receive until cancelled."""
        self._sock = DatagramSocket(self._state.settings.reports, "report", self._state.metrics)
        async with curio.TaskGroup() as group:
            await group.spawn(self._sock.receive, self._take_datagram)
            await group.spawn(self._send)

    def announce(self) -> None:
        """Tell every VM of the domain at once, as before a planned stop."""
        if self._sock is not None:
            self._send_to([peer.identity.host for peer in self._state.peers.near])

    def _take_datagram(self, data: bytes, host: str) -> None:
        try:
            report = decode_report(data)
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=host, reason=error)
            return
        self._take(report)

    def _take(self, report: LoadReport) -> None:
        known = self._state.peers.get(report.sender.name)
        now = self._state.clock.now()
        was_live = known is not None and known.live(now)
        if not self._state.peers.receive(report, now):
            return
        self._crashes.learn(report.crashes, now)
        self._state.merge_warm_objects(report.warmed)
        if report.sender.domain == self._state.identity.domain:
            self._summaries.queue_warm_objects(report.warmed)
            if not was_live:
                _log.info(Event.PEER_FOUND, peer=report.sender.name, host=report.sender.host)
        if report.asking:
            self._sock.send(
                encode_report(self._report(self._named_to(report.sender))), [report.sender.host]
            )

    def _named_to(self, asking: VMIdentity) -> tuple[VMIdentity, ...]:
        """Return the VMs that one that asks is told: of its own domain all, of others a few."""
        of_others: Counter[str] = Counter()
        named = []
        now = self._state.clock.now()
        live = self._state.peers.live_vms(now)
        names = {vm.name for vm in live}
        hearsay = [vm for vm in self._state.peers.far.members() if vm.name not in names]
        for vm in (*live, *hearsay):
            if vm.name == asking.name:
                continue
            if vm.domain != asking.domain:
                of_others[vm.domain] += 1
                if of_others[vm.domain] > _NAMED_OF_OTHERS:
                    continue
            named.append(vm)
        return tuple(named)

    def _note_lost(self) -> None:
        """Log the VMs that reported before and have fallen silent since."""
        now = self._state.clock.now()
        live = {peer.identity.name for peer in self._state.peers.near if peer.live(now)}
        for name in self._live - live:
            _log.info(Event.PEER_LOST, peer=name)
        self._live = live

    async def _send(self) -> None:
        while True:
            self._note_lost()
            now = self._state.clock.now()
            self._ask_seeds(now)
            self._send_to(self._take_new_hosts(), _MEMBERS_AT_START)
            self._send_to(self._take_due_hosts(), self._members_now())
            await self._state.ticker.next()
            self._turn += 1

    def _ask_seeds(self, now: timedelta) -> None:
        """Ask seeds for VMs while some domain is not heard of."""
        state = self._state
        others = set(state.settings.regions) - {state.identity.domain}
        heard = {domain.name for domain in state.peers.far if domain.live(now)}
        starting = now - self._started_at < _SEEDS_ASKED_OFTEN_FOR
        if not others - heard and (state.peers.near or not starting):
            return
        if self._turn % (_SEED_TURNS if starting else _SEED_TURNS_LATER) == 0:
            hosts = sorted({seed.host for seed in state.settings.seeds} - {state.identity.host})
            members = state.peers.some_members(_MEMBERS_AT_START, now)
            self._sock.send(encode_report(self._report(members, asking=True)), hosts)

    def _members_now(self) -> int:
        """Return the number of VMs that the reports of this turn name."""
        if self._state.clock.now() - self._started_at < _START:
            return _MEMBERS_AT_START
        return 0 if self._turn % _MEMBERS_TURNS else _MEMBERS_IN_REPORT

    def _take_new_hosts(self) -> list[str]:
        """Return the VMs that have not been told anything yet, which is done at once."""
        known = {peer.identity for peer in self._state.peers.near}
        new = known - self._told
        self._told = known
        return [vm.host for vm in new]

    def _take_due_hosts(self) -> list[str]:
        """Return the VMs that are told in this turn."""
        hosts = []
        now = self._state.clock.now()
        due: dict[str, timedelta] = {}
        for peer in self._state.peers.near:
            name, interval = peer.identity.name, peer.pace.interval
            at = self._due.get(name)
            if at is None:
                # Those that became known together are told at different times from now on.
                due[name] = now + interval * self._random.random()
            elif at - _EARLY <= now:
                hosts.append(peer.identity.host)
                due[name] = max(at + interval, now)
            else:
                due[name] = at
        self._due = due
        return hosts

    def _send_to(self, hosts: list[str], members: int = 0) -> None:
        """Send one report to several VMs.

        :param members: the number of other VMs that it names
        """
        if hosts:
            now = self._state.clock.now()
            named = self._state.peers.some_members(members, now) if members else ()
            self._sock.send(encode_report(self._report(named)), hosts)

    def _report(self, members: tuple[VMIdentity, ...] = (), *, asking: bool = False) -> LoadReport:
        state = self._state
        now = state.clock.now()
        self._sequence += 1
        return LoadReport(
            sender=state.identity,
            sequence=self._sequence,
            leaving=state.stopping,
            revisions=tuple(replica.changed for replica in state.replicas.values()),
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
        )
