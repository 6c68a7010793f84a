"""Selects the target of a request by expected delay: queueing, work, distance and failures."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import attrs

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.target_limits import LimitReached
    from carawayquay.target_stats import TargetStats

__all__ = [
    "Candidate",
    "NoCapacity",
    "Placement",
    "WorkTimes",
    "choose_cheapest",
    "key_position",
]

#: Cost in seconds of a failed attempt, by which the failure rate is weighted.
_FAILURE_SECONDS = 2.0

_HASH_SPAN = float(2**64)


@lru_cache(maxsize=4096)
def key_position(service: str, key: str) -> float:
    """Return the hash of an object of a service as a fraction 0 to 1, equal in every process."""
    return score(service, key) / _HASH_SPAN


@attrs.frozen
class WorkTimes:
    """Expected service times in seconds, at a target that is warm or cold for the object.

    :param mean: mean service time of the requests queued at a target
    """

    warm: float
    cold: float
    mean: float


@attrs.frozen
class Candidate:
    """A target that may be chosen, with its state and its distance.

    :param running: estimated number of requests in flight at the target, from all VMs
    :param warm: whether it handled the object recently
    :param round_trip: network round-trip time in seconds
    :param distance_cost: penalty in seconds for the locality of the target
    :param time_factor: service time at this moment relative to the target's usual one
    """

    target: RegisteredTarget
    stats: TargetStats
    running: int
    warm: bool
    round_trip: float
    distance_cost: float = 0.0
    time_factor: float = 1.0


@attrs.frozen
class Placement:
    """The target chosen for a request.

    :param wait: expected queueing time in seconds
    :param work: expected service time in seconds
    :param warm: whether the target is known to be warm for the object
    :param round_trip: network round-trip time in seconds
    :param cost: expected delay in seconds, with the penalties for distance and failures
    :param limit_reached: the limit that kept the request from a better target, or None
    """

    target: RegisteredTarget
    wait: float
    work: float
    warm: bool
    round_trip: float
    cost: float
    limit_reached: LimitReached | None = None


@attrs.frozen
class NoCapacity:
    """No candidate has a free slot or an acceptable queue.

    :param wait: seconds until a queue is expected to be acceptable, or None without a candidate
    :param limit_reached: the limit that kept the request from a target, or None
    """

    wait: float | None
    limit_reached: LimitReached | None = None


def choose_cheapest(
    candidates: Iterable[Candidate], times: WorkTimes, max_wait: Callable[[float], float]
) -> Placement | NoCapacity:
    """Choose the target with the least expected delay among those whose queue is acceptable.

    A target with a free slot is always acceptable, even if the work is expected to take too long:
    an estimate that is too high would never be corrected if no request were sent.

    :param max_wait: maps service time plus round-trip time to the maximum queueing time, in seconds
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
    slowness = stats.slowness * candidate.time_factor
    work = (times.warm if candidate.warm else times.cold) * slowness
    queued = max(0, candidate.running + 1 - target.slots)
    wait = queued * times.mean * slowness / target.slots
    failures = stats.failure_rate * _FAILURE_SECONDS
    cost = wait + work + candidate.round_trip + candidate.distance_cost + failures
    return Placement(target, wait, work, candidate.warm, candidate.round_trip, cost)
