"""Pools of ready targets, with the preference order of the targets for each object."""

from __future__ import annotations

from collections import OrderedDict
from heapq import nlargest
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayquay.discovery import RegisteredTarget

__all__ = ["TargetPool"]

#: Cached targets per object; if too few of them are usable, all targets of the pool are ranked.
_RANKED_TARGETS = 12

#: Maximum number of objects whose order a pool caches.
_MAX_ORDERS = 1024


class TargetPool:
    """The ready targets of one service in one scope, valid until one of them changes."""

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
        """Return the most preferred usable targets of an object, equal in every process.

        Rendezvous hashing keeps the order of the remaining targets when one is lost, so that only
        the objects of that target move.

        :param count: maximum number of targets
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
