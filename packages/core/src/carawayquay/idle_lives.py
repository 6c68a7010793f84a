"""How long idle connections to targets may rest before they are not used again."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["IdleLives"]

#: An idle connection is not used longer than this part of the time that its target states.
_STATED_PART = 0.6

#: The same for a target that states nothing.
_UNSTATED = timedelta(seconds=4)

#: Rest that is allowed after a target of the service dropped a resting connection unannounced.
_WARY = timedelta(milliseconds=200)
_WARY_FOR = timedelta(seconds=10)


class IdleLives:
    """The longest rest of connections, by target and service.

    A connection that a target forgot while it rested is reset by the next request, which may not be
    sent again unless it is idempotent. Many VMs share the requests to a target, so that one VM
    seldom meets the same target twice: what happened at one target holds for its whole service.
    """

    def __init__(self) -> None:
        self._stated: dict[str, timedelta] = {}
        self._wary_until: dict[str, timedelta] = {}

    def state(self, target: str, life: timedelta) -> None:
        """Take how long a target says that it keeps idle connections."""
        self._stated[target] = life * _STATED_PART

    def broke(self, service: str, now: timedelta) -> None:
        """Take that a connection to a target of a service broke when it was used again."""
        self._wary_until[service] = now + _WARY_FOR

    def longest(self, target: str, service: str, now: timedelta) -> timedelta:
        """Return how long a connection may have rested to be used again."""
        stated = self._stated.get(target, _UNSTATED)
        wary = now < self._wary_until.get(service, now)
        return min(stated, _WARY) if wary else stated

    def forget(self, target: str) -> None:
        """Drop what a target that is gone stated."""
        self._stated.pop(target, None)
