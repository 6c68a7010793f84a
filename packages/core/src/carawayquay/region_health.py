"""Passive health check of a home region by the results of the requests sent there."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["HomeRegionHealth"]

#: Time between the first and last of consecutive failures from which a region counts as lost.
_FAILURE_TIMEOUT = timedelta(seconds=1)

#: Interval at which one request probes a lost region.
_PROBE_INTERVAL = timedelta(milliseconds=500)


class HomeRegionHealth:
    """Circuit breaker for the requests of one service to their home region.

    Only requests for which no target could be reached count as failures; a region without free
    slots is not lost.
    """

    def __init__(self) -> None:
        self._failing_since: timedelta | None = None
        self._failed_at = timedelta()
        self._last_attempt_at = timedelta.min

    @property
    def lost(self) -> bool:
        """Whether all requests have failed for at least the failure timeout."""
        since = self._failing_since
        return since is not None and self._failed_at - since >= _FAILURE_TIMEOUT

    def probe_due(self, now: timedelta) -> bool:
        """Return whether a request should probe the lost region."""
        return self.lost and now - self._last_attempt_at >= _PROBE_INTERVAL

    def record_success(self) -> None:
        """Record a request that reached a target."""
        self._failing_since = None

    def record_failure(self, now: timedelta) -> None:
        """Record a request that reached no target."""
        if self._failing_since is None:
            self._failing_since = now
        self._failed_at = now
        self._last_attempt_at = now
