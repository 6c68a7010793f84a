"""The retry-after times of refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["limited_retry_after", "retry_after"]

#: Seconds until a target is expected to be usable again, if none is.
_NO_TARGET_DELAY = 0.5

#: Bounds of the retry-after time in seconds; the lower one yields to a short remaining time.
_MIN_RETRY_AFTER = 0.05
_MAX_RETRY_AFTER = 2.0

#: Maximum retry-after time in seconds where targets limit their requests; limits change by then.
_MAX_LIMITED_RETRY_AFTER = 30.0

#: Maximum retry-after time, as a fraction of the caller's remaining time.
_REMAINING_FRACTION = 0.3


def retry_after(wait: float | None, remaining: float, random: Random) -> float:
    """Return the time in seconds after which a refused caller should retry, with jitter.

    A queue that is slightly too long drains soon, so that a quick retry may still be answered in
    time. This also holds under lasting load: a later retry is as likely to be refused, and late.

    :param wait: seconds until a queue is expected to be acceptable, or None without a usable target
    :param remaining: seconds until the caller's deadline
    """
    latest = min(_REMAINING_FRACTION * remaining, _MAX_RETRY_AFTER)
    expected = _NO_TARGET_DELAY if wait is None else wait
    soon = _MIN_RETRY_AFTER + expected * (1.0 + random.random())
    return max(0.0, min(latest, soon))


def limited_retry_after(wait: float, random: Random) -> float:
    """Return the time in seconds after which a request refused for a limit may be admitted.

    It is stated even if the caller's deadline is earlier: an earlier retry would be refused too.

    :param wait: seconds in which the limit admits one of the requests that compete for it
    """
    return min(_MAX_LIMITED_RETRY_AFTER, _MIN_RETRY_AFTER + wait * (1.0 + random.random()))
