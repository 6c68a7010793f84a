"""How long idle connections to targets may rest before they are not used again."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["IdleTimeouts"]

#: An idle connection is not used longer than this part of the time that its target states.
_STATED_FRACTION = 0.6

#: The same for a target that states nothing.
_DEFAULT_IDLE = timedelta(seconds=4)

#: Rest that is allowed after a target of the service dropped a resting connection unannounced.
_REDUCED_IDLE = timedelta(milliseconds=200)
_REDUCED_FOR = timedelta(seconds=10)


class IdleTimeouts:
    """The longest rest of connections, by target and service.

    A connection that a target forgot while it rested is reset by the next request, which may not be
    sent again unless it is idempotent. Many VMs share the requests to a target, so that one VM
    seldom meets the same target twice: what happened at one target holds for its whole service.
    """

    def __init__(self) -> None:
        self._stated: dict[str, timedelta] = {}
        self._reduced_until: dict[str, timedelta] = {}

    def state(self, target: str, keep_alive: timedelta) -> None:
        """Take how long a target says that it keeps idle connections."""
        self._stated[target] = keep_alive * _STATED_FRACTION

    def record_reset(self, service: str, now: timedelta) -> None:
        """Take that a connection to a target of a service broke when it was used again."""
        self._reduced_until[service] = now + _REDUCED_FOR

    def max_idle(self, target: str, service: str, now: timedelta) -> timedelta:
        """Return how long a connection may have rested to be used again."""
        stated = self._stated.get(target, _DEFAULT_IDLE)
        reduced = now < self._reduced_until.get(service, now)
        return min(stated, _REDUCED_IDLE) if reduced else stated

    def forget(self, target: str) -> None:
        """Drop what a target that is gone stated."""
        self._stated.pop(target, None)
