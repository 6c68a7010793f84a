"""Chooses the target of a request: warm for its object, near, and with room."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import attrs

from carawayquay.rendezvous import ranked, score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.target_stats import ServiceTimes, TargetStats

__all__ = ["Candidate", "Placed", "Placement", "Refused", "key_position"]

#: Seconds that a failure costs its caller, beside a failure rate of one.
_FAILURE_SECONDS = 2.0

_HASH_SPAN = float(2**64)


@lru_cache(maxsize=4096)
def key_position(service: str, key: str) -> float:
    """Return the place between 0 and 1 of an object of a service, the same in every process."""
    return score(service, key) / _HASH_SPAN


@lru_cache(maxsize=8192)
def preference(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return target names in the order in which an object prefers them."""
    return ranked(key, names)


@attrs.frozen
class Candidate:
    """One target with what is known of its load.

    :param running: requests in flight there from all VMs, as far as known
    """

    target: RegisteredTarget
    stats: TargetStats
    running: int


@attrs.frozen
class Placed:
    """The target that a request goes to.

    :param wait: seconds for which it is expected to queue there
    :param work: seconds that it is expected to take there
    :param warm: whether the target is thought to be warm for the object
    """

    target: RegisteredTarget
    wait: float
    work: float
    warm: bool
    round_trip: float

    @property
    def total(self) -> float:
        """Seconds until the answer is expected."""
        return self.wait + self.work + self.round_trip


@attrs.frozen
class Refused:
    """No target has room.

    :param wait: seconds until one is expected to have room, or None if no target can be used
    """

    wait: float | None


class Placement:
    """Places requests on targets of one region.

    An object prefers the targets of the VM's own domain, in an order that every VM computes
    alike, so that few targets become warm for it. It goes elsewhere when the wait there and the
    work at a target that is not warm are expected to take less time than the queue.

    :param domain: the VM's failure domain
    :param round_trip: the seconds to a failure domain and back
    """

    def __init__(self, domain: str, round_trip: Callable[[str], float]) -> None:
        self._domain = domain
        self._round_trip = round_trip

    def place(
        self,
        key: str,
        candidates: Iterable[Candidate],
        times: ServiceTimes,
        most_wait: Callable[[float], float],
    ) -> Placed | Refused:
        """Choose a target.

        :param candidates: the usable targets of the region that is to serve the request
        :param most_wait: from seconds of work and of the way, the longest acceptable wait
        """
        best: Placed | None = None
        best_cost = 0.0
        least_wait: float | None = None
        order = self._order(key, candidates)
        for rank, candidate in enumerate(order):
            placed = self._estimate(key, rank, candidate, times)
            over = placed.wait - most_wait(placed.work + placed.round_trip)
            if over > 0:
                least_wait = over if least_wait is None else min(least_wait, over)
                continue
            cost = placed.total + candidate.stats.failure_rate * _FAILURE_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = placed, cost
        return best if best is not None else Refused(least_wait)

    def _order(self, key: str, candidates: Iterable[Candidate]) -> list[Candidate]:
        by_name = {candidate.target.name: candidate for candidate in candidates}
        near = sorted(name for name, c in by_name.items() if c.target.domain == self._domain)
        far = sorted(name for name, c in by_name.items() if c.target.domain != self._domain)
        names = preference(key, tuple(near)) + preference(key, tuple(far))
        return [by_name[name] for name in names]

    def _estimate(self, key: str, rank: int, candidate: Candidate, times: ServiceTimes) -> Placed:
        target, stats = candidate.target, candidate.stats
        warm = rank == 0 or stats.warm(key)
        work = (times.warm if warm else times.cold) * stats.slowness
        queued = max(0, candidate.running + 1 - target.slots)
        wait = queued * times.warm * stats.slowness / max(1, target.slots)
        return Placed(target, wait, work, warm, self._round_trip(target.domain))
