"""Tracks which targets are warm for which objects, having handled them recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["WarmObjects"]

#: Maximum number of objects for which a target is considered warm; the oldest are evicted.
_MAX_OBJECTS = 128


class WarmObjects:
    """The warm objects of each target, with a reverse index; objects are keyed by short hash."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[int, None]] = {}
        self._by_object: dict[int, set[str]] = {}

    def targets(self, key: int) -> Collection[str]:
        """Return the names of the targets that are warm for an object."""
        return self._by_object.get(key, ())

    def warm(self, target: str, key: int) -> bool:
        """Return whether a target handled an object recently."""
        return target in self._by_object.get(key, ())

    def record(self, target: str, key: int) -> bool:
        """Record that a target handled an object; return whether it was not warm for it before."""
        objects = self._by_target.setdefault(target, {})
        if key in objects:
            # Move the object to the end, as objects are ordered by last use.
            del objects[key]
            objects[key] = None
            return False
        objects[key] = None
        self._by_object.setdefault(key, set()).add(target)
        if len(objects) > _MAX_OBJECTS:
            oldest = next(iter(objects))
            del objects[oldest]
            self._drop(target, oldest)
        return True

    def forget(self, target: str) -> None:
        """Drop the objects of a target that was removed or restarted."""
        for key in self._by_target.pop(target, ()):
            self._drop(target, key)

    def _drop(self, target: str, key: int) -> None:
        targets = self._by_object[key]
        targets.discard(target)
        if not targets:
            del self._by_object[key]
