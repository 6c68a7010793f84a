"""Attempts of requests at targets: selection, the call, and what it tells about the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.placement import NoCapacity
from carawayquay.running_requests import RunningRequests
from carawayquay_gateway.exchanges import Answered, Attempt, AttemptEnd
from carawayquay_gateway.observations import Observations
from carawayquay_platform import headers

if TYPE_CHECKING:
    from carawayquay.crash_counts import CrashCounts
    from carawayquay.placement import Placement
    from carawayquay.warm_gossip import WarmGossip
    from carawayquay_gateway.exchanges import Exchange
    from carawayquay_gateway.selection import Selection
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.target_calls import TargetCaller

__all__ = ["TargetAttempts"]


class TargetAttempts:
    """Sends requests to targets, one at a time, and records what each answer tells."""

    def __init__(
        self,
        state: GatewayState,
        selection: Selection,
        caller: TargetCaller,
        crashes: CrashCounts,
        warm: WarmGossip,
    ) -> None:
        self._state = state
        self._selection = selection
        self._caller = caller
        self._crashes = crashes
        self._running = RunningRequests()
        self._observations = Observations(state, warm)

    def count_request(self) -> None:
        """Count a caller's request in the budgets of the selection."""
        self._selection.count_request()

    async def run(self, exchange: Exchange) -> AttemptEnd | NoCapacity:
        """Select a target for a request and send it there, unless none has capacity."""
        placed = self._select(exchange)
        if isinstance(placed, NoCapacity):
            return placed
        target = placed.target
        remaining = exchange.deadline - self._state.clock.now()
        request = headers.target_request(exchange.call, target.name, remaining)
        exchange.tried_targets.add(target.name)
        with self._running.running(target.name, exchange.fingerprint):
            result = await self._caller.call(
                target,
                request,
                remaining,
                exchange,
            )
        if isinstance(result, Answered):
            self._record(exchange, placed, result)
        elif not result.sent:
            exchange.unreachable_targets.add(target.name)
        return AttemptEnd(Attempt.at(placed), result, placed.limit_reached)

    def _select(self, exchange: Exchange) -> Placement | NoCapacity:
        """Select a target, for a suspect one that runs no other suspect if there is any."""
        avoided = self._targets_of_other_suspects(exchange)
        if avoided:
            placed = self._select_except(exchange, exchange.tried_targets | avoided)
            if not isinstance(placed, NoCapacity):
                return placed
        return self._select_except(exchange, exchange.tried_targets)

    def _select_except(self, exchange: Exchange, excluded: set[str]) -> Placement | NoCapacity:
        now = self._state.clock.now()
        return self._selection.select(
            exchange.route,
            exchange.service,
            exchange.call.object_key,
            exchange.elapsed(now),
            exchange.remaining(now),
            excluded,
        )

    def _targets_of_other_suspects(self, exchange: Exchange) -> set[str]:
        """Return the targets whose next crash could not be attributed to a suspect alone."""
        if not self._crashes.is_suspect(exchange.fingerprint, self._state.clock.now()):
            return set()
        return self._running.targets_of_other_suspects(exchange.fingerprint, self._is_suspect)

    def _is_suspect(self, fingerprint: int) -> bool:
        return self._crashes.is_suspect(fingerprint, self._state.clock.now())

    def _record(self, exchange: Exchange, placed: Placement, answered: Answered) -> None:
        """Record what a target's answer tells about it and about the request."""
        stats = self._state.stats(placed.target.name)
        if not answered.completed:
            stats.shed(self._state.clock.now())
            return
        self._crashes.record_completion(exchange.fingerprint, self._state.clock.now())
        if answered.answer.failed:
            stats.shed(self._state.clock.now())
        else:
            self._observations.record(exchange, placed, answered)
