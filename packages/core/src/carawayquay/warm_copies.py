"""Decides on how many targets a popular object should be warm."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

__all__ = ["ObjectDemand", "two_choices", "wanted_copies", "warming_share"]

#: Maximum number of targets that are kept warm for one object, as many as a pool ranks for it.
_MAX_COPIES = 12

#: Share of a target's slots that requests for one object may keep busy before it gets another
#: target. The rest serves the other objects whose home the target is.
_MAX_SLOT_SHARE = 0.4

#: Cold requests/s from all VMs together to each target that should become warm for an object. VMs
#: hear within 0.2 to 1 s that it is warm; until then each further cold request is a loss.
_WARMING_PER_S = 2.0


@attrs.frozen
class ObjectDemand:
    """The demand for an object.

    :param rate: estimated requests/s from all VMs
    :param warm: service time in seconds at a target that is warm for it
    """

    rate: float
    warm: float


def wanted_copies(demand: ObjectDemand, slots: int) -> int:
    """Return the number of targets that should be warm for an object.

    :param slots: number of requests that each of the targets runs at once

    >>> [wanted_copies(ObjectDemand(rate, 0.2), 4) for rate in (1, 10, 40, 1000)]
    [1, 2, 5, 12]
    """
    busy = demand.rate * demand.warm
    return min(_MAX_COPIES, max(1, math.ceil(busy / (_MAX_SLOT_SHARE * max(1, slots)))))


def warming_share(demand: ObjectDemand, missing: int) -> float:
    """Return the share of an object's requests that go to targets that should become warm.

    :param missing: number of those targets
    """
    return min(1.0, _WARMING_PER_S * missing / demand.rate) if demand.rate > 0 else 0.0


def two_choices(names: list[str], random: Random) -> list[str]:
    """Return two of the names at random, or all if there are no more.

    VMs that act on the same counts, which are up to a second old, would all choose the one target
    that was the least loaded then.
    """
    return names if len(names) <= 2 else random.sample(names, 2)
