"""What one target said last about the limit of its requests."""

from __future__ import annotations

import enum
from datetime import timedelta

import attrs

__all__ = ["MAX_REPORTED_AGE", "LimitChange", "NamedLimit"]

#: Age at which what a target said is no longer taken from other VMs, so that an old limit cannot
#: come back.
MAX_REPORTED_AGE = timedelta(seconds=8)


class LimitChange(enum.Enum):
    """What an answer or a report changed about the limit of a target."""

    NAMED = "named"
    ENDED = "ended"


@attrs.define
class NamedLimit:
    """The limit that one incarnation of a target named.

    :param rate: requests/s of all VMs together, or None without a limit
    :param heard_at: when the last answer that counts arrived, or None before the first limit
    :param since: when the present limit was first heard
    """

    rate: float | None = None
    heard_at: timedelta | None = None
    since: timedelta = timedelta()

    def age(self, now: timedelta) -> float:
        """Return the seconds since the last answer that counts."""
        return (now - self.heard_at).total_seconds()

    def reportable(self, now: timedelta) -> bool:
        """Return whether other VMs have to know about it: it is in force, or ended lately."""
        if self.heard_at is None:
            return False
        return self.rate is not None or now - self.heard_at < MAX_REPORTED_AGE

    def hear_answer(
        self, rate: float | None, sent_at: timedelta, now: timedelta
    ) -> LimitChange | None:
        """Apply what an answer of the target says.

        Answers overtake each other: one to a request that was sent before the limit was last heard
        may make the limit stricter, but neither raise nor end it.

        :param rate: the limit in requests/s, or None if the answer names none
        :param sent_at: when the request was sent
        """
        if not self._relaxed_by(rate):
            return self._set(rate, now, now)
        if sent_at <= self.heard_at:
            return None
        return self._set(rate, sent_at, now)

    def hear_report(self, rate: float | None, age: float, now: timedelta) -> LimitChange | None:
        """Apply what another VM heard from the target, if it is newer than what is known here.

        :param age: seconds since the other VM heard it
        """
        heard_at = now - timedelta(seconds=age)
        if now - heard_at > MAX_REPORTED_AGE:
            return None
        if self.heard_at is not None and heard_at <= self.heard_at:
            return None
        return self._set(rate, heard_at, now)

    def _relaxed_by(self, rate: float | None) -> bool:
        """Return whether a limit is less strict than the known one."""
        if self.rate is None:
            return False
        return rate is None or rate > self.rate

    def _set(self, rate: float | None, heard_at: timedelta, now: timedelta) -> LimitChange | None:
        before = self.rate
        if before is None and rate is None:
            return None
        self.rate, self.heard_at = rate, heard_at
        if before is None:
            self.since = now
            return LimitChange.NAMED
        return LimitChange.ENDED if rate is None else None
