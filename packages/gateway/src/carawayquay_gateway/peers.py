"""Exchanges load reports with the other entry VMs by datagram."""

from __future__ import annotations

import socket
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING

import curio
from curio.io import Socket

from carawayquay.errors import FrameError
from carawayquay.load_reports import LoadReport, ServiceRate, TargetCount, short_hash
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.reports import MAX_DATAGRAM_BYTES, decode_report, encode_report

if TYPE_CHECKING:
    from random import Random
    from typing import Any

    from carawayquay.crash_counts import CrashCounts
    from carawayquay.load_reports import VMIdentity
    from carawayquay.warm_news import WarmNews
    from carawayquay_gateway.state import GatewayState

__all__ = ["PeerExchange"]

_log = EventLog("peers")

#: Time between two looks at who is due a report, and the earliness that is allowed.
_TURN_SECONDS = 0.2
_EARLY = timedelta(milliseconds=50)

#: Reports name other VMs once in so many turns, a number without a divisor in common with the turns
#: between two reports to one VM, so that every VM gets to hear names.
_MEMBERS_TURNS = 11
_MEMBERS_IN_REPORT = 3

#: The first report to a VM names more of them, and so does every one of a VM that just started,
#: since a whole fleet may start at once and know no more than seeds.
_MEMBERS_AT_START = 8
_START = timedelta(seconds=1)

#: Time in which datagrams gather before they are taken together, and their number at the most.
_GATHER_SECONDS = 0.04
_MAX_TOGETHER = 100

#: Turns in which seeds are told of this VM though they have not been heard of.
_SEED_TURNS = 3


class PeerExchange:
    """Sends this VM's load to others and takes theirs."""

    def __init__(
        self, state: GatewayState, crashes: CrashCounts, warm: WarmNews, random: Random
    ) -> None:
        self._state = state
        self._random = random
        self._due: dict[str, timedelta] = {}
        self._crashes = crashes
        self._warm = warm
        self._sequence = 0
        self._turn = 0
        self._live: set[str] = set()
        self._told: set[VMIdentity] = set()
        self._started_at = state.clock.now()
        self._raw_sock: Any = None
        self._sock: Any = None

    @property
    def turn(self) -> int:
        """The number of turns in which reports were sent."""
        return self._turn

    async def run(self) -> None:
        """Send and receive until cancelled."""
        address = self._state.settings.reports
        self._raw_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._raw_sock.bind((address.host, address.port))
        self._sock = Socket(self._raw_sock)
        async with curio.TaskGroup() as group:
            await group.spawn(self._receive)
            await group.spawn(self._send)

    async def announce(self) -> None:
        """Tell every VM at once, as before a planned stop."""
        if self._sock is not None:
            await self._send_to([peer.identity.host for peer in self._state.peers])

    async def _receive(self) -> None:
        while True:
            with suppress(OSError):
                self._take_datagram(*await self._sock.recvfrom(MAX_DATAGRAM_BYTES))
                self._take_waiting()
            await curio.sleep(_GATHER_SECONDS)

    def _take_waiting(self) -> None:
        """Take what else has come, without a turn of the event loop for each datagram."""
        with suppress(BlockingIOError):
            for _ in range(_MAX_TOGETHER):
                self._take_datagram(*self._raw_sock.recvfrom(MAX_DATAGRAM_BYTES))

    def _take_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            report = decode_report(data)
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=address[0], reason=error)
            return
        self._take(report)

    def _take(self, report: LoadReport) -> None:
        known = self._state.peers.get(report.sender.name)
        now = self._state.clock.now()
        was_live = known is not None and known.live(now)
        if self._state.peers.receive(report, now):
            self._crashes.learn(report.crashes, now)
            self._state.learn_warm(report.warmed)
            if not was_live:
                _log.info(Event.PEER_FOUND, peer=report.sender.name, host=report.sender.host)

    def _note_lost(self) -> None:
        """Log the VMs that reported before and have fallen silent since."""
        now = self._state.clock.now()
        live = {peer.identity.name for peer in self._state.peers if peer.live(now)}
        for name in self._live - live:
            _log.info(Event.PEER_LOST, peer=name)
        self._live = live

    async def _send(self) -> None:
        while True:
            self._note_lost()
            await self._send_to(self._take_new_hosts(), _MEMBERS_AT_START)
            await self._send_to(self._take_due_hosts(), self._members_now())
            await curio.sleep(_TURN_SECONDS)
            self._turn += 1

    def _members_now(self) -> int:
        """Return the number of VMs that the reports of this turn name."""
        if self._state.clock.now() - self._started_at < _START:
            return _MEMBERS_AT_START
        return 0 if self._turn % _MEMBERS_TURNS else _MEMBERS_IN_REPORT

    def _take_new_hosts(self) -> list[str]:
        """Return the VMs that have not been told anything yet, which is done at once."""
        known = {peer.identity for peer in self._state.peers}
        new = known - self._told
        self._told = known
        return [vm.host for vm in new]

    def _take_due_hosts(self) -> list[str]:
        """Return the VMs that are told in this turn, the farther ones less often."""
        hosts = []
        known = {self._state.identity.host}
        now = self._state.clock.now()
        due: dict[str, timedelta] = {}
        for peer in self._state.peers:
            name, interval = peer.identity.name, peer.pace.interval
            known.add(peer.identity.host)
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
        if self._turn % _SEED_TURNS == 0:
            seeds = {seed.host for seed in self._state.settings.seeds}
            hosts += sorted(seeds - known)
        return hosts

    async def _send_to(self, hosts: list[str], members: int = 0) -> None:
        """Send one report to several VMs.

        :param members: the number of other VMs that it names
        """
        if not hosts:
            return
        data = encode_report(self._report(members))
        port = self._state.settings.reports.port
        for host in hosts:
            with suppress(OSError):
                await self._sock.sendto(data, (host, port))

    def _report(self, members: int) -> LoadReport:
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
                TargetCount(short_hash(name), running) for name, running in state.running_here()
            ),
            rates=tuple(
                ServiceRate(short_hash(name), service.rate(now))
                for name, service in state.services.items()
            ),
            crashes=self._crashes.reports(now),
            warmed=self._warm.current(now),
            members=self._state.peers.some_members(members, now) if members else (),
        )
