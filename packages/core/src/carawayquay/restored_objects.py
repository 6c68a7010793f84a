"""Holds back objects that a restored store may have from an older copy."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.store_versions import restores, stored_number

if TYPE_CHECKING:
    from carawayquay.objects import StoredObject

__all__ = ["RestoredObjects"]

#: Time in which an object that was lost by a restore of the store is written again.
_REWRITE_GRACE = timedelta(seconds=5)

#: Number of former versions of each object that are remembered; copies are some seconds old.
_MAX_FORMER = 16


class RestoredObjects:
    """Objects that may be older than those in force, until the latter are written again.

    After a restore, an object with a number up to that of the one in force may come from the older
    copy. If this process had that version in force before, it is not taken. Another one is taken
    when it is still the newest after a grace period.
    """

    def __init__(self) -> None:
        self._held: dict[tuple[str, str], tuple[StoredObject, timedelta]] = {}
        self._former: dict[tuple[str, str], deque[tuple[int, int]]] = {}

    @property
    def names(self) -> list[str]:
        """The kinds and names of the objects that are held back."""
        return sorted(f"{kind}/{name}" for kind, name in self._held)

    def hold_back(self, item: StoredObject, in_force: StoredObject | None, now: timedelta) -> bool:
        """Return whether to hold an object back for now.

        :param in_force: the object of that name in force, or None
        """
        key = (item.kind, item.name)
        if in_force is not None:
            self._remember(key, in_force)
        if in_force is None or not _may_be_older(item, in_force):
            self._held.pop(key, None)
            return False
        held = self._held.get(key)
        since = now if held is None else held[1]
        if now - since >= _REWRITE_GRACE and not self._is_former(item):
            self._held.pop(key, None)
            return False
        self._held[key] = (item, since)
        return True

    def due(self, now: timedelta) -> list[StoredObject]:
        """Return the objects whose grace period is over."""
        return [
            item
            for item, since in self._held.values()
            if now - since >= _REWRITE_GRACE and not self._is_former(item)
        ]

    def _remember(self, key: tuple[str, str], in_force: StoredObject) -> None:
        former = self._former.setdefault(key, deque(maxlen=_MAX_FORMER))
        identity = _identity(in_force)
        if identity not in former:
            former.append(identity)

    def _is_former(self, item: StoredObject) -> bool:
        """Return whether an object is one that was in force before, with its number."""
        return _identity(item) in self._former.get((item.kind, item.name), ())


def _identity(item: StoredObject) -> tuple[int, int]:
    return stored_number(item.version), hash(item.value)


def _may_be_older(item: StoredObject, in_force: StoredObject) -> bool:
    return (
        restores(item.version) > restores(in_force.version)
        and stored_number(item.version) <= stored_number(in_force.version)
        and item.value != in_force.value
    )
