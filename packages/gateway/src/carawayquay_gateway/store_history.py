"""Outages and restores of the store, as one entry VM knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.clock import Clock
    from carawayquay_wire.metrics import Metrics

__all__ = ["StoreHistory"]

_log = EventLog("state")


class StoreHistory:
    """Records when the store was away for this VM, and when it came back from an older copy.

    :ivar failed_at: when the last call began that failed because the store was away, None if none
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._era = 0
        self._restored_at: timedelta | None = None
        self.failed_at: timedelta | None = None

    @property
    def era(self) -> int:
        """The highest era of the store that this VM has heard of, 0 if none."""
        return self._era

    @property
    def restored_at(self) -> timedelta | None:
        """When this VM heard of the last restore of the store."""
        return self._restored_at

    def note_failure(self, called_at: timedelta) -> None:
        """Record a call that failed because the store was away.

        :param called_at: when the call began
        """
        self.failed_at = called_at if self.failed_at is None else max(called_at, self.failed_at)

    def note_era(self, era: int) -> None:
        """Record the era that the store named; a higher one than before tells of a restore."""
        if era <= self._era:
            return
        if self._era:
            self._restored_at = self._clock.now()
            self._metrics.count("store_restores_total")
            _log.warning(Event.STORE_RESTORED, era=era, previous=self._era)
        self._era = era
