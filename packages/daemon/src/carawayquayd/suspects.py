"""Shares with the other VMs which requests are suspected of crashing targets."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.errors import LinkError, RequestError
from carawayquay.quarantine import QuarantineTable, SuspectCleared, SuspectReport
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay_wire.links import LinkPool
    from carawayquayd.state import NodeState

__all__ = ["SuspectBroadcaster"]

_log = EventLog("suspects")

#: Longest wait for the reachable VMs to acknowledge a report. The caller gets its answer only then,
#: and may send the same request again.
_BROADCAST_TIMEOUT = timedelta(seconds=0.8)


class SuspectBroadcaster:
    """Broadcasts and receives reports on suspect and quarantined requests."""

    def __init__(self, state: NodeState, links: LinkPool) -> None:
        self._state = state
        self._links = links
        self._table = QuarantineTable()

    @property
    def table(self) -> QuarantineTable:
        """The table of suspect and quarantined requests."""
        return self._table

    def dump(self) -> dict[str, Any]:
        """Return the suspect and quarantined requests by fingerprint, ready for JSON."""
        return {
            report.fingerprint.hex(): {
                "targets": report.targets,
                "quarantined": report.quarantined,
                "life_ms": report.life_ms,
            }
            for report in self._table.reports(self._state.clock.now())
        }

    async def receive_report(self, report: SuspectReport) -> SuspectReport:
        """Record another VM's report of a crash, and return it as the acknowledgement."""
        self._table.merge_report(report, self._state.clock.now())
        return report

    async def receive_cleared(self, cleared: SuspectCleared) -> SuspectCleared:
        """Clear a request that completed at another VM; return the message as acknowledgement."""
        self._table.merge_cleared(cleared)
        return cleared

    async def report_crash(self, target: str, suspects: list[bytes], others: list[bytes]) -> None:
        """Record a crash of a target with requests in flight, and broadcast the reports.

        :param suspects: fingerprints of the in-flight requests that were suspect when they started
        :param others: fingerprints of the other in-flight requests
        """
        now = self._state.clock.now()
        reports = self._table.record_crash(target, suspects, others, now)
        for report in reports:
            if report.quarantined:
                _log.warning(
                    Event.REQUEST_QUARANTINED,
                    fingerprint=report.fingerprint.hex(),
                    targets=",".join(report.targets),
                )
        await self._broadcast(reports)

    async def report_completion(self, request: bytes) -> None:
        """Record that a request completed, and broadcast it if the request was suspect."""
        cleared = self._table.record_completion(request)
        if cleared is not None:
            await self._broadcast([cleared])

    async def _broadcast(self, messages: list[Any]) -> None:
        if not messages:
            return
        tasks = [
            await curio.spawn(self._send_to_peer, vm, messages, daemon=True)
            for listed in self._state.directory
            for vm in listed.members
            if vm.name != self._state.settings.name
        ]
        async with curio.ignore_after(_BROADCAST_TIMEOUT.total_seconds()):
            for task in tasks:
                await task.wait()

    async def _send_to_peer(self, vm: Any, messages: list[Any]) -> None:
        try:
            for message in messages:
                await self._links.call(vm.peers, message, _BROADCAST_TIMEOUT)
        except (LinkError, RequestError) as error:
            _log.warning(Event.LINK_BROKEN, peer=vm.name, reason=error)
