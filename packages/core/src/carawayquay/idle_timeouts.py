"""Limits how long an idle connection to a target may be reused."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["IdleTimeouts"]

#: Fraction of a target's keep-alive timeout for which an idle connection is reused.
_KEEP_ALIVE_FRACTION = 0.6

#: Maximum idle time at a target that sends no keep-alive timeout.
_DEFAULT_IDLE = timedelta(seconds=4)

#: Reduced maximum idle time after a reused connection broke, and how long it applies.
_REDUCED_IDLE = timedelta(milliseconds=200)
_REDUCED_FOR = timedelta(seconds=10)


class IdleTimeouts:
    """Maximum idle times of connections, by target and service.

    A request on a connection that the target dropped while idle gets a reset, and can't be retried
    unless it is idempotent. Many VMs share the requests to a target, and one VM seldom uses the
    same target twice, so a reset at one target reduces the idle time for its whole service.
    """

    def __init__(self) -> None:
        self._idle_limits: dict[str, timedelta] = {}
        self._reduced_until: dict[str, timedelta] = {}

    def set_keep_alive_timeout(self, target: str, keep_alive: timedelta) -> None:
        """Derive the maximum idle time of a target from the keep-alive timeout that it sent."""
        self._idle_limits[target] = keep_alive * _KEEP_ALIVE_FRACTION

    def record_reset(self, service: str, now: timedelta) -> None:
        """Reduce the idle time for a service after a reused connection to a target broke."""
        self._reduced_until[service] = now + _REDUCED_FOR

    def max_idle(self, target: str, service: str, now: timedelta) -> timedelta:
        """Return the idle time up to which a connection may be reused."""
        idle_limit = self._idle_limits.get(target, _DEFAULT_IDLE)
        reduced = now < self._reduced_until.get(service, now)
        return min(idle_limit, _REDUCED_IDLE) if reduced else idle_limit

    def forget(self, target: str) -> None:
        """Drop the keep-alive timeout of a removed target."""
        self._idle_limits.pop(target, None)
