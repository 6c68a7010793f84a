"""Chooses the target of a request: warm for its object, near, and with room."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import attrs

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.target_stats import TargetStats

__all__ = [
    "Candidate",
    "NoCapacity",
    "Placement",
    "WorkTimes",
    "choose_cheapest",
    "key_position",
]

#: Seconds that a failure costs its caller, beside a failure rate of one.
_FAILURE_SECONDS = 2.0

_HASH_SPAN = float(2**64)


@lru_cache(maxsize=4096)
def key_position(service: str, key: str) -> float:
    """Return the place between 0 and 1 of an object of a service, the same in every process."""
    return score(service, key) / _HASH_SPAN


@attrs.frozen
class WorkTimes:
    """Seconds that a request takes at a target that is warm or cold for its object.

    :param mean: seconds that those take which are in a target's queue
    """

    warm: float
    cold: float
    mean: float


@attrs.frozen
class Candidate:
    """One target with what is known of it.

    :param running: requests in flight there from all VMs, as far as known
    :param warm: whether it handled the object lately
    :param round_trip: seconds to the target and back
    :param distance_cost: seconds of delay that are accepted to avoid sending so far
    """

    target: RegisteredTarget
    stats: TargetStats
    running: int
    warm: bool
    round_trip: float
    distance_cost: float = 0.0


@attrs.frozen
class Placement:
    """The target that a request goes to.

    :param wait: seconds for which it is expected to queue there
    :param work: seconds that it is expected to take there
    :param warm: whether the target is known to be warm for the object
    :param cost: seconds until the answer is expected, with what else speaks against the target
    """

    target: RegisteredTarget
    wait: float
    work: float
    warm: bool
    round_trip: float
    cost: float


@attrs.frozen
class NoCapacity:
    """No target has room.

    :param wait: seconds until one is expected to have room, or None if no target can be used
    """

    wait: float | None


def choose_cheapest(
    candidates: Iterable[Candidate], times: WorkTimes, max_wait: Callable[[float], float]
) -> Placement | NoCapacity:
    """Choose the target with the least expected delay among those whose queue is acceptable.

    A target with a free slot is acceptable in any case: work that is expected to take too long is
    only an estimate, which would never be corrected if nothing were sent.

    :param max_wait: from seconds of work and of the way, the longest acceptable wait
    """
    best: Placement | None = None
    least_over: float | None = None
    for candidate in candidates:
        placed = _estimate(candidate, times)
        over = placed.wait - max_wait(placed.work + placed.round_trip)
        if over > 0 and placed.wait > 0:
            least_over = over if least_over is None else min(least_over, over)
        elif best is None or placed.cost < best.cost:
            best = placed
    return best if best is not None else NoCapacity(least_over)


def _estimate(candidate: Candidate, times: WorkTimes) -> Placement:
    target, stats = candidate.target, candidate.stats
    work = (times.warm if candidate.warm else times.cold) * stats.slowness
    queued = max(0, candidate.running + 1 - target.slots)
    wait = queued * times.mean * stats.slowness / target.slots
    failures = stats.failure_rate * _FAILURE_SECONDS
    cost = wait + work + candidate.round_trip + candidate.distance_cost + failures
    return Placement(target, wait, work, candidate.warm, candidate.round_trip, cost)
