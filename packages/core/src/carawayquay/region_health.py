"""Whether a home region still runs requests, judged by the requests that were sent there."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["HomeRegionHealth"]

#: A region in which every request failed for this long is lost.
_FAILURE_TIMEOUT = timedelta(seconds=1)

#: A lost region gets one request in this time, to see whether it is back.
_PROBE_INTERVAL = timedelta(milliseconds=500)


class HomeRegionHealth:
    """What the requests of one service found in their home region.

    A region that is full is not lost: only requests for which no target could be reached count.
    """

    def __init__(self) -> None:
        self._failing_since: timedelta | None = None
        self._failed_at = timedelta()
        self._last_attempt_at = timedelta.min

    @property
    def lost(self) -> bool:
        """Whether requests have failed long enough, with none that ran between them."""
        since = self._failing_since
        return since is not None and self._failed_at - since >= _FAILURE_TIMEOUT

    def probe_due(self, now: timedelta) -> bool:
        """Return whether a request should be sent home although the region is lost."""
        return self.lost and now - self._last_attempt_at >= _PROBE_INTERVAL

    def record_success(self) -> None:
        """Note a request that found a target."""
        self._failing_since = None

    def record_failure(self, now: timedelta) -> None:
        """Note a request that found no target."""
        if self._failing_since is None:
            self._failing_since = now
        self._failed_at = now
        self._last_attempt_at = now
