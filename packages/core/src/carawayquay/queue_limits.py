"""How long a request may queue at a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayquay.routes import Route

__all__ = ["max_queue_wait"]

#: Maximum queueing time of a request that is late in any case, as a fraction of target latency.
_LATE_WAIT_FRACTION = 0.6


def max_queue_wait(route: Route, elapsed: float, remaining: float, work: float) -> float:
    """Return the maximum queueing time of a request at a target, in seconds.

    A queue longer than the target latency makes every answer late, so a request may queue only
    while its own answer can still be in time. If the work alone exceeds the target latency, a
    short queue is allowed, since a refusal would not help.

    :param elapsed: seconds since the request arrived
    :param remaining: seconds until the deadline of the caller or the route
    :param work: expected service time plus round-trip time in seconds
    """
    in_time = route.target_latency.total_seconds() - elapsed - work
    short = _LATE_WAIT_FRACTION * route.target_latency.total_seconds()
    return min(max(in_time, short), remaining - work)
