"""Messages by which a VM that has just started learns how far shifts have come."""

from __future__ import annotations

import attrs

__all__ = ["Level", "LevelQuery", "Levels", "lowest_levels"]


@attrs.frozen
class Level:
    """How far the shift of one service away from the sender's region has come.

    :param level: share of the traffic, 0 to 1
    """

    service: str
    level: float


@attrs.frozen
class LevelQuery:
    """A call by which a VM that has just started asks another of its region for its levels."""

    vm: str


@attrs.frozen
class Levels:
    """The reply to a ``LevelQuery``; a VM that has just started itself has none to give."""

    levels: list[Level] = attrs.field(factory=list)


def lowest_levels(replies: list[Levels]) -> dict[str, float]:
    """Return the lowest level that was heard for each service.

    >>> lowest_levels([Levels([Level("sledway", 0.5)]), Levels([Level("sledway", 0.25)])])
    {'sledway': 0.25}
    """
    lowest: dict[str, float] = {}
    for reply in replies:
        for level in reply.levels:
            lowest[level.service] = min(level.level, lowest.get(level.service, 1.0))
    return lowest
