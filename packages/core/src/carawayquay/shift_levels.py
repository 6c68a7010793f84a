"""Messages by which a newly started VM gets the levels of ongoing traffic shifts from its peers."""

from __future__ import annotations

import attrs

__all__ = ["Level", "LevelQuery", "Levels", "lowest_levels"]


@attrs.frozen
class Level:
    """Progress of the shift of a service's traffic away from the sender's region.

    :param level: share of the traffic that should be away, 0 to 1
    """

    service: str
    level: float


@attrs.frozen
class LevelQuery:
    """Requests the levels of another VM of the region; sent by a newly started VM.

    :param vm: name of the requesting VM
    """

    vm: str


@attrs.frozen
class Levels:
    """The reply to a ``LevelQuery``; empty if the replying VM is newly started itself."""

    levels: list[Level] = attrs.field(factory=list)


def lowest_levels(replies: list[Levels]) -> dict[str, float]:
    """Return the lowest received level of each service.

    >>> lowest_levels([Levels([Level("sledway", 0.5)]), Levels([Level("sledway", 0.25)])])
    {'sledway': 0.25}
    """
    lowest: dict[str, float] = {}
    for reply in replies:
        for level in reply.levels:
            lowest[level.service] = min(level.level, lowest.get(level.service, 1.0))
    return lowest
