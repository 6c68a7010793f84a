"""Finds out whether this VM is cut off from all targets, by opening connections to some of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from carawayquay.discovery import TargetState
from carawayquay.target_reach import ProbeCause, probe_candidates
from carawayquay_wire.dialing import dial
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.membership import Address
    from carawayquay.target_reach import ReachChange
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.dialing import Dialer

__all__ = ["ReachProber"]

_log = EventLog("reach")

#: Connect timeout of a probe, several round trips between regions.
_CONNECT_SECONDS = 0.3

#: Number of targets in a probe: those of the first step, and all. The second step is needed only
#: if nothing was reached in the first.
_FIRST_TARGETS = 1
_ALL_TARGETS = 4

#: Number of targets without which nothing can be concluded from a probe that reaches none.
_MIN_TARGETS = 2


class ReachProber:
    """Probes targets when calls fail or nothing answers, and while this VM is cut off."""

    def __init__(self, state: GatewayState, random: Random, dialer: Dialer = dial) -> None:
        self._state = state
        self._random = random
        self._dial = dialer
        self._probing = curio.Lock()
        self._probed_at = state.clock.now()
        self._calls_abandoned = False
        self._peers_in_use = False

    async def run(
        self,
        abandon_calls: Callable[[], Awaitable[None]],
        leave_peers: Callable[[], Awaitable[None]],
    ) -> None:
        """Probe whenever it is due, until cancelled.

        :param abandon_calls: called when targets don't answer on open connections either
        :param leave_peers: called when targets are reached again
        """
        reach = self._state.reach
        while True:
            now = self._state.clock.now()
            reach.note_waiting(len(self._state.own_in_flight()), now)
            cause = reach.probe_due(now)
            if cause is not None:
                await self._probe(cause)
            answering = reach.answering(self._state.clock.now())
            if reach.cut_off and not answering and not self._calls_abandoned:
                self._calls_abandoned = True
                await abandon_calls()
            if self._peers_in_use and not reach.cut_off:
                self._peers_in_use = False
                await leave_peers()
            await self._state.ticker.next()

    async def reaches_targets(self, since: timedelta) -> bool:
        """Return whether this VM reaches targets; probe them unless one was reached lately.

        :param since: the moment from which an answer or a connection shows that it does
        """
        if self._state.reach.cut_off:
            return False
        if self._state.reach.reached_since(since):
            return True
        await self._probe(ProbeCause.FAILURES)
        return not self._state.reach.cut_off

    async def _probe(self, cause: ProbeCause) -> None:
        """Probe targets, unless a probe that ends meanwhile tells the same."""
        asked_at = self._state.clock.now()
        async with self._probing:
            if self._probed_at <= asked_at:
                await self._probe_now(cause)

    async def _probe_now(self, cause: ProbeCause) -> None:
        targets = self._candidates()
        if len(targets) < _MIN_TARGETS and not self._state.reach.cut_off:
            return
        reached = await self._any_accepts(targets[:_FIRST_TARGETS])
        if not reached:
            reached = await self._any_accepts(targets[_FIRST_TARGETS:])
        now = self._probed_at = self._state.clock.now()
        self._state.metrics.count("reach_probes_total", cause=cause.value)
        change = self._state.reach.record_probe(reached=reached, now=now)
        if change is not None:
            self._calls_abandoned = False
            self._peers_in_use = True
            self._state.end_ejections()
            self._log(change, targets)

    def _candidates(self) -> list[RegisteredTarget]:
        ready = [it for it in self._state.targets if it.state is TargetState.READY]
        return probe_candidates(ready, self._state.settings.domain, _ALL_TARGETS, self._random)

    async def _any_accepts(self, targets: list[RegisteredTarget]) -> bool:
        """Return whether any target accepts a connection."""
        if not targets:
            return False
        async with curio.TaskGroup(wait=object) as group:
            for target in targets:
                await group.spawn(self._accepts, target.address)
        return group.completed is not None

    async def _accepts(self, address: Address) -> bool | None:
        """Return True if a target accepts a connection, else None."""
        try:
            sock = await curio.timeout_after(_CONNECT_SECONDS, self._dial, address)
        except (OSError, curio.TaskTimeout):
            return None
        await sock.close()
        return True

    def _log(self, change: ReachChange, probed: list[RegisteredTarget]) -> None:
        after_ms = int(change.after.total_seconds() * 1000)
        if change.cut_off:
            _log.warning(
                Event.TARGETS_UNREACHABLE,
                silent_ms=after_ms,
                answering=change.answering,
                probed=",".join(target.name for target in probed),
            )
        else:
            _log.info(Event.TARGETS_REACHED, cut_off_ms=after_ms)
