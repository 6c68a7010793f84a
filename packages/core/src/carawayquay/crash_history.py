"""The crashes of targets that equal requests may have caused, and what clears them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CRASH_LIFETIME",
    "MAX_CRASHES_IN_A_ROW",
    "NO_ORGANISATION",
    "CrashHistory",
    "TargetCrash",
]

#: Crashes in a row after which requests with the same fingerprint are refused.
MAX_CRASHES_IN_A_ROW = 3

#: Time since a crash after which it is not counted any more.
CRASH_LIFETIME = timedelta(seconds=120)

#: Stands for the organisation of requests that have none, or none that is known.
NO_ORGANISATION = 0

#: Time after a crash of a target in which another observation of this VM is the same crash. It
#: takes longer until the target is back, also where its registration is not renewed yet.
_SAME_CRASH = timedelta(seconds=1)

#: Crashes that are kept of requests with one fingerprint, also those that count as one.
_MAX_CRASHES_KEPT = 16


@attrs.frozen
class TargetCrash:
    """A crash of a target while it held a request.

    :param target: hash of the target's name and incarnation
    :param began_at: when the request was sent to the target
    :param ended_at: when its connection broke
    """

    target: int
    began_at: timedelta
    ended_at: timedelta


@attrs.define
class CrashHistory:
    """What is known of the requests with one fingerprint.

    :param crashes: the latest crashes after the last completion, by their end
    :param row: those of them that count, each of which began after the end of the one before
    :param completed_at: when such a request completed last, if that was noticed
    :param cleared: hashes of the targets of earlier crashes
    :param known_count: the highest count that any VM may have from these crashes
    :param organisation: short hash of the name of the organisation that sends them
    """

    expires_at: timedelta
    organisation: int = NO_ORGANISATION
    crashes: tuple[TargetCrash, ...] = ()
    row: tuple[TargetCrash, ...] = ()
    completed_at: timedelta | None = None
    cleared: tuple[int, ...] = ()
    known_count: int = 0

    def add_observed(self, crash: TargetCrash) -> None:
        """Add a crash that this VM saw, unless it is known or such a request completed since."""
        for known in self.crashes:
            if known.target == crash.target and crash.began_at < known.ended_at + _SAME_CRASH:
                return
        self._add(crash)

    def add_reported(self, crash: TargetCrash) -> None:
        """Add a crash that another VM reports, unless any crash of the target is known.

        A report that was held up dates a crash too late, so that the earliest date is right.
        """
        if crash.target in self.cleared:
            return
        known = next((it for it in self.crashes if it.target == crash.target), None)
        if known is not None and crash.ended_at >= known.ended_at:
            return
        self._set_crashes([it for it in self.crashes if it is not known])
        self._add(crash)

    def add_completion(self, completed_at: timedelta) -> None:
        """Drop the crashes before a completed request."""
        if self.completed_at is not None and completed_at <= self.completed_at:
            return
        self.completed_at = completed_at
        ended = tuple(it.target for it in self.crashes if it.ended_at <= completed_at)
        self.cleared = (*self.cleared, *ended)[-_MAX_CRASHES_KEPT:]
        self._set_crashes([it for it in self.crashes if it.ended_at > completed_at])

    def _add(self, crash: TargetCrash) -> None:
        if self.completed_at is not None and crash.ended_at <= self.completed_at:
            return
        self._set_crashes([*self.crashes, crash])
        self.known_count = max(self.known_count, len(self.row))
        self.expires_at = max(self.expires_at, crash.ended_at + CRASH_LIFETIME)

    def _set_crashes(self, crashes: list[TargetCrash]) -> None:
        latest = sorted(crashes, key=lambda it: it.ended_at)[-_MAX_CRASHES_KEPT:]
        self.crashes = tuple(latest)
        self.row = _in_a_row(latest)


def _in_a_row(crashes: Iterable[TargetCrash]) -> tuple[TargetCrash, ...]:
    """Return the longest row of crashes that each began after the end of the one before.

    Of a longer row than is needed for a refusal, the latest crashes remain.

    :param crashes: ordered by their end
    """
    row: list[TargetCrash] = []
    for crash in crashes:
        if not row or crash.began_at >= row[-1].ended_at:
            row.append(crash)
    return tuple(row[-MAX_CRASHES_IN_A_ROW:])
