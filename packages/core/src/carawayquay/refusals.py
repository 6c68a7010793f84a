"""When a request is refused for lack of room, and when its caller is asked to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from carawayquay.routes import Route

__all__ = ["max_queue_wait", "retry_after"]

#: Part of a request's target latency for which it may queue where the answer is late anyway.
_LATE_WAIT_FRACTION = 0.6

#: Seconds after which a target is expected to be usable again.
_NO_TARGET_DELAY = 0.5

_MIN_RETRY_AFTER = 0.05
_MAX_RETRY_AFTER = 2.0

#: Part of the caller's remaining time after which it is asked to come back at the latest.
_REMAINING_FRACTION = 0.3


def max_queue_wait(route: Route, elapsed: float, left: float, work: float) -> float:
    """Return for how many seconds a request may queue at a target.

    A queue that is longer than the target latency allows makes every answer late, so a request
    waits only as long as its own answer can still be in time. Where the work alone takes longer
    than the target latency, a short queue is allowed, since refusing would not help.

    :param elapsed: seconds since the caller began to wait
    :param left: seconds until the caller or the route gives up
    :param work: seconds that the request takes at the target, with the way there
    """
    in_time = route.target_latency.total_seconds() - elapsed - work
    short = _LATE_WAIT_FRACTION * route.target_latency.total_seconds()
    return min(max(in_time, short), left - work)


def retry_after(wait: float | None, left: float, random: Random) -> float:
    """Return the seconds after which a refused caller should come back.

    A queue that is a little too long is short again soon, and the answer may still be in time. That
    holds under a lasting load too: who comes back late is as likely to be refused again, and late.

    :param wait: seconds until room is expected, or None if no target can be used
    :param left: seconds until the caller gives up
    """
    latest = min(_REMAINING_FRACTION * left, _MAX_RETRY_AFTER)
    expected = _NO_TARGET_DELAY if wait is None else wait
    soon = _MIN_RETRY_AFTER + expected * (1.0 + random.random())
    return max(0.0, min(latest, soon))
