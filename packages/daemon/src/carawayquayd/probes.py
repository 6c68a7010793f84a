"""Health probes of the targets, which also read their clocks and drain state."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.fence import ClockReading, TargetReport
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from carawayquay.documents import Target
    from carawayquayd.state import NodeState
    from carawayquayd.target_state import TargetState

__all__ = ["TargetProber"]

_log = EventLog("probes")

#: Probe intervals of a target that this VM owns and of one that another VM owns.
_OWNER_INTERVAL = timedelta(milliseconds=500)
_NON_OWNER_INTERVAL = timedelta(seconds=2)

_POLL_SECONDS = 0.1
_TIMEOUT_SECONDS = 1.0
_REQUEST = HttpRequest("GET", "/health", (), b"")


class TargetProber:
    """Probes each target of the failure domain periodically."""

    def __init__(self, state: NodeState, targets: TargetState) -> None:
        self._state = state
        self._targets = targets
        self._http = HttpClient()
        self._next_probe_at: dict[str, timedelta] = {}
        self._probing: set[str] = set()
        self._unreachable: set[str] = set()

    async def run(self) -> None:
        """Probe targets until cancelled, at once those reachable whose clock is not known."""
        while True:
            now = self._state.clock.now()
            for _, target in self._targets.all_targets():
                clock_unknown = (
                    target.name not in self._targets.clocks and target.name not in self._unreachable
                )
                if target.name in self._probing:
                    continue
                if clock_unknown or now >= self._next_probe_at.get(target.name, now):
                    self._probing.add(target.name)
                    await curio.spawn(self._probe_in_background, target, daemon=True)
            await curio.sleep(_POLL_SECONDS)

    async def probe(self, target: Target, *, fresh: bool = False) -> TargetReport:
        """Probe a target, and record and return its report.

        :param fresh: whether to open a new connection in any case
        :raises HttpError: if there is no valid report in time
        """
        try:
            response = await self._http.exchange(
                target.address, _REQUEST, _TIMEOUT_SECONDS, fresh=fresh
            )
            report = _parse_report(response.json())
        except (HttpError, ValueError, KeyError, TypeError) as error:
            self._record_failure(target, error)
            if isinstance(error, HttpError):
                raise
            raise HttpError(f"{target.address}: invalid health report", sent=True) from error
        self._record_report(target, report)
        return report

    async def _probe_in_background(self, target: Target) -> None:
        try:
            await self.probe(target)
        except HttpError:
            await self._http.drop_idle(target.address)
        finally:
            is_owner = self._targets.is_owner(target.name)
            interval = _OWNER_INTERVAL if is_owner else _NON_OWNER_INTERVAL
            self._next_probe_at[target.name] = self._state.clock.now() + interval
            self._probing.discard(target.name)

    def _record_report(self, target: Target, report: TargetReport) -> None:
        now = self._state.clock.now()
        self._targets.clocks[target.name] = ClockReading(report.boot, report.clock_ms, now)
        self._targets.warmth.record_boot(target.name, report.boot, now)
        self._targets.health.probe(target.name, healthy=report.healthy)
        self._targets.record_drain_report(target.name, draining=report.draining)
        if target.name in self._unreachable:
            self._unreachable.discard(target.name)
            _log.info(Event.TARGET_FOUND, target=target.name)

    def _record_failure(self, target: Target, error: Exception) -> None:
        self._targets.health.probe(target.name, healthy=False)
        if target.name not in self._unreachable:
            self._unreachable.add(target.name)
            _log.warning(Event.TARGET_LOST, target=target.name, reason=error)


def _parse_report(value: Any) -> TargetReport:
    """Parse a health report.

    :raises KeyError: if a key is missing
    :raises TypeError: if the report or a number has the wrong type
    :raises ValueError: if a string is not a number where one is expected
    """
    return TargetReport(
        healthy=bool(value["healthy"]),
        draining=bool(value["draining"]),
        load=int(value["load"]),
        boot=str(value["boot"]),
        clock_ms=float(value["clock_ms"]),
    )
