"""Recognises registrations of removed targets that a restored store brings back."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget

__all__ = ["RemovedTargets"]

#: Time for which a removal is remembered, well above the age of the copies that a store restores.
_REMEMBERED_FOR = timedelta(seconds=120)

#: Maximum number of removals that are remembered; the oldest are forgotten first.
_MAX_REMEMBERED = 5000


@attrs.frozen
class _Removal:
    incarnation: int
    sequence: int
    at: timedelta


class RemovedTargets:
    """The last registration of each target that was removed recently."""

    def __init__(self) -> None:
        self._removals: dict[str, _Removal] = {}

    def __len__(self) -> int:
        return len(self._removals)

    def record(self, target: RegisteredTarget, now: timedelta) -> None:
        """Remember the last registration of a target that was removed."""
        self._removals.pop(target.name, None)
        self._removals[target.name] = _Removal(target.incarnation, target.sequence, now)
        while len(self._removals) > _MAX_REMEMBERED:
            del self._removals[next(iter(self._removals))]

    def covers(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Return whether a registration is not newer than the one that was removed."""
        removal = self._removals.get(target.name)
        if removal is None or now - removal.at > _REMEMBERED_FOR:
            return False
        removed = (removal.incarnation, removal.sequence)
        return (target.incarnation, target.sequence) <= removed

    def forget(self, name: str) -> None:
        """Forget the removal of a target that is registered again."""
        self._removals.pop(name, None)
