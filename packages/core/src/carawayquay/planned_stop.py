"""Decides which requests an entry VM still takes during its planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["PlannedStop"]


@attrs.frozen
class PlannedStop:
    """The course of a planned stop.

    Until cached look-ups that name this VM have expired, it takes every request. Later ones are
    those of the last open connections; they are taken if they end before the stop does.

    :param lookups_expire_at: when no caller's look-up names this VM any more
    :param ends_at: when the process ends and cuts off what is in flight
    """

    lookups_expire_at: timedelta
    ends_at: timedelta

    def admits(self, deadline: timedelta, now: timedelta) -> bool:
        """Return whether a request that has just been read may be passed on.

        :param deadline: when its final answer is due
        """
        return now < self.lookups_expire_at or deadline <= self.ends_at
