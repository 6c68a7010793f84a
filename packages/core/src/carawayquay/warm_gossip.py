"""The objects that targets have lately handled for the first time, to be told to other VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.load_reports import WarmObject

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["WarmGossip"]

#: How long a piece of news is repeated, since reports may be lost and are not sent to all at once.
_LIFETIME = timedelta(seconds=1.3)

_MAX_ITEMS = 400


class WarmGossip:
    """News that every report of a short time carries.

    :param life: how long a piece of news is told
    """

    def __init__(self, lifetime: timedelta = _LIFETIME) -> None:
        self._lifetime = lifetime
        self._items: dict[WarmObject, timedelta] = {}

    def add(self, target: int, key: int, now: timedelta) -> None:
        """Take that a target has handled an object; what is being told already stays as it is."""
        self.merge((WarmObject(target, key),), now)

    def merge(self, updates: Iterable[WarmObject], now: timedelta) -> None:
        """Take news of another VM, to be told on."""
        for item in updates:
            self._items.setdefault(item, now)
        while len(self._items) > _MAX_ITEMS:
            del self._items[next(iter(self._items))]

    def current(self, now: timedelta) -> tuple[WarmObject, ...]:
        """Return the news that are still to be told."""
        expired = []
        for item, since in self._items.items():
            if now - since <= self._lifetime:
                break
            expired.append(item)
        for item in expired:
            del self._items[item]
        return tuple(self._items)
