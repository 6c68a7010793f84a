"""Gossip about the objects for which targets became warm."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.load_reports import WarmObject

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["WarmGossip"]

#: Time for which an update is repeated, since reports may be lost and are not sent to all at once.
_LIFETIME = timedelta(seconds=1.3)

_MAX_ITEMS = 400


class WarmGossip:
    """Updates that each report includes until their lifetime ends.

    :param lifetime: time for which an update is included
    """

    def __init__(self, lifetime: timedelta = _LIFETIME) -> None:
        self._lifetime = lifetime
        self._items: dict[WarmObject, timedelta] = {}

    def add(self, target: int, key: int, now: timedelta) -> None:
        """Record that a target became warm for an object; a repeated update keeps its age."""
        self.merge((WarmObject(target, key),), now)

    def merge(self, updates: Iterable[WarmObject], now: timedelta) -> None:
        """Add updates from another VM, to be passed on."""
        for item in updates:
            self._items.setdefault(item, now)
        while len(self._items) > _MAX_ITEMS:
            del self._items[next(iter(self._items))]

    def current(self, now: timedelta) -> tuple[WarmObject, ...]:
        """Return the updates within their lifetime, and drop the others."""
        expired = []
        for item, since in self._items.items():
            if now - since <= self._lifetime:
                break
            expired.append(item)
        for item in expired:
            del self._items[item]
        return tuple(self._items)
