"""Admission limits of queueing, and the retry-after time of refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from carawayquay.routes import Route

__all__ = ["limited_retry_after", "max_queue_wait", "retry_after"]

#: Maximum queueing time of a request that is late in any case, as a fraction of target latency.
_LATE_WAIT_FRACTION = 0.6

#: Seconds until a target is expected to be usable again, if none is.
_NO_TARGET_DELAY = 0.5

#: Bounds of the retry-after time in seconds; the lower one yields to a short remaining time.
_MIN_RETRY_AFTER = 0.05
_MAX_RETRY_AFTER = 2.0

#: Maximum retry-after time in seconds where targets limit their requests; limits change by then.
_MAX_LIMITED_RETRY_AFTER = 30.0

#: Maximum retry-after time, as a fraction of the caller's remaining time.
_REMAINING_FRACTION = 0.3


def max_queue_wait(route: Route, elapsed: float, left: float, work: float) -> float:
    """Return the maximum queueing time of a request at a target, in seconds.

    A queue longer than the target latency makes every answer late, so a request may queue only
    while its own answer can still be in time. If the work alone exceeds the target latency, a
    short queue is allowed, since a refusal would not help.

    :param elapsed: seconds since the request arrived
    :param left: seconds until the deadline of the caller or the route
    :param work: expected service time plus round-trip time in seconds
    """
    in_time = route.target_latency.total_seconds() - elapsed - work
    short = _LATE_WAIT_FRACTION * route.target_latency.total_seconds()
    return min(max(in_time, short), left - work)


def retry_after(wait: float | None, left: float, random: Random) -> float:
    """Return the time in seconds after which a refused caller should retry, with jitter.

    A queue that is slightly too long drains soon, so that a quick retry may still be answered in
    time. This also holds under lasting load: a later retry is as likely to be refused, and late.

    :param wait: seconds until a queue is expected to be acceptable, or None without a usable target
    :param left: seconds until the caller's deadline
    """
    latest = min(_REMAINING_FRACTION * left, _MAX_RETRY_AFTER)
    expected = _NO_TARGET_DELAY if wait is None else wait
    soon = _MIN_RETRY_AFTER + expected * (1.0 + random.random())
    return max(0.0, min(latest, soon))


def limited_retry_after(wait: float, random: Random) -> float:
    """Return the time in seconds after which a request refused for a limit may be admitted.

    It is stated even if the caller's deadline is earlier: an earlier retry would be refused too.

    :param wait: seconds in which the limit admits one of the requests that compete for it
    """
    return min(_MAX_LIMITED_RETRY_AFTER, _MIN_RETRY_AFTER + wait * (1.0 + random.random()))
