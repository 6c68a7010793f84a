"""Learns service times, speed of targets and warm objects from successful answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.load_reports import short_hash
from carawayquay.target_stats import mean_time_factor

if TYPE_CHECKING:
    from carawayquay.placement import Placement
    from carawayquay.warm_gossip import WarmGossip
    from carawayquay_gateway.exchanges import Answered, Exchange
    from carawayquay_gateway.state import GatewayState

__all__ = ["Observations"]

#: An answer faster than this fraction of the cold time comes from a target that was warm already.
_WARM_TIME_RATIO = 0.6


class Observations:
    """Updates statistics of services and targets from successful answers."""

    def __init__(self, state: GatewayState, warm: WarmGossip) -> None:
        self._state = state
        self._warm = warm

    def record(self, exchange: Exchange, placed: Placement, answered: Answered) -> None:
        """Record the warm object, bytes and work time of a successful answer.

        Warm and cold times and the target's speed are updated only if no queueing was expected.
        They are normalised by the reported time factor, which would otherwise pass for a slow
        target or a cold object.
        """
        now = self._state.clock.now()
        stats = self._state.stats(placed.target.name)
        stats.succeeded(now)
        key = short_hash(exchange.call.object_key)
        newly_warm = self._state.warm_objects.record(placed.target.name, key)
        was_warm = not newly_warm
        if newly_warm:
            self._warm.add(short_hash(placed.target.name), key, now)
        times = self._state.service(exchange.service).times
        times.record_bytes(len(exchange.call.body) + len(answered.answer.body))
        work = max(0.0, answered.seconds - placed.round_trip - placed.wait)
        work /= _time_factor(answered, work)
        times.record_any(work)
        if placed.wait > 0:
            return
        target_latency = exchange.route.target_latency.total_seconds()
        expected = times.warm(target_latency) if was_warm else times.cold(target_latency)
        if not was_warm and work < _WARM_TIME_RATIO * expected:
            return
        times.record(work / stats.slowness, warm=was_warm)
        stats.record_speed(work, expected)


def _time_factor(answered: Answered, seconds: float) -> float:
    load = answered.answer.load
    if load is None or load.time_factor is None:
        return 1.0
    return mean_time_factor(load.time_factor, seconds)
