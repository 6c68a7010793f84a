"""Pools of ready targets, and the order in which each object prefers those of a pool."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nlargest
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayquay.discovery import RegisteredTarget

__all__ = ["TargetPool"]

#: Targets that are kept of an object's order; where none of them is usable, all are ranked anew.
_RANKED_TARGETS = 6

#: Objects whose order is kept by a pool.
_MAX_ORDERS = 1024


class TargetPool:
    """The ready targets of one service in a part of the fleet, until one of them changes."""

    def __init__(self, targets: tuple[RegisteredTarget, ...]) -> None:
        self._targets = targets
        self._names = frozenset(target.name for target in targets)
        self._orders: OrderedDict[str, tuple[RegisteredTarget, ...]] = OrderedDict()

    def __iter__(self) -> Iterator[RegisteredTarget]:
        return iter(self._targets)

    def __len__(self) -> int:
        return len(self._targets)

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def first(
        self, key: str, usable: Callable[[RegisteredTarget], bool], count: int
    ) -> list[RegisteredTarget]:
        """Return the usable targets that an object prefers, the same in every process.

        Leaving targets out does not change the order of the others, so that a target that is lost
        moves only its own objects.

        :param count: the number of targets at the most
        """
        found = [target for target in self._order(key) if usable(target)]
        if len(found) < count and len(self._targets) > _RANKED_TARGETS:
            found = _ranked(key, [target for target in self._targets if usable(target)], count)
        return found[:count]

    def _order(self, key: str) -> tuple[RegisteredTarget, ...]:
        found = self._orders.get(key)
        if found is None:
            found = self._orders[key] = tuple(_ranked(key, self._targets, _RANKED_TARGETS))
            if len(self._orders) > _MAX_ORDERS:
                self._orders.popitem(last=False)
        return found


def _ranked(
    key: str, targets: tuple[RegisteredTarget, ...] | list[RegisteredTarget], count: int
) -> list[RegisteredTarget]:
    return nlargest(count, targets, key=lambda target: (score(key, target.name), target.name))
