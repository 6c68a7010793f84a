"""Which targets handled which objects lately, and so handle them faster."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["WarmObjects"]

#: Objects for which one target is taken for warm, those that it handled last.
_MAX_OBJECTS = 128


class WarmObjects:
    """Objects by target and targets by object; objects stand as short hashes."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[int, None]] = {}
        self._by_object: dict[int, set[str]] = {}

    def targets(self, key: int) -> Collection[str]:
        """Return the names of the targets that are warm for an object."""
        return self._by_object.get(key, ())

    def warm(self, target: str, key: int) -> bool:
        """Return whether a target handled an object lately."""
        return target in self._by_object.get(key, ())

    def record(self, target: str, key: int) -> bool:
        """Take that a target handled an object; return whether that is news."""
        objects = self._by_target.setdefault(target, {})
        if key in objects:
            # The objects stand in the order in which they were handled last.
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
        """Take that a target is gone or has started anew."""
        for key in self._by_target.pop(target, ()):
            self._drop(target, key)

    def _drop(self, target: str, key: int) -> None:
        targets = self._by_object[key]
        targets.discard(target)
        if not targets:
            del self._by_object[key]
