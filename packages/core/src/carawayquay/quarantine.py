"""Quarantine of requests that crash targets.

A request that was in flight when its target crashed becomes a suspect. Suspects run one at a time,
so that the next crash can be attributed to one request: a request that started as a suspect and
crashes a second target is quarantined. A request that completes is cleared, so requests that merely
were in flight together with the cause do not remain suspects.
"""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "QUARANTINE_LIFETIME",
    "SUSPECT_LIFETIME",
    "CrashStatus",
    "QuarantineTable",
    "SuspectCleared",
    "SuspectReport",
]

#: Time for which a quarantined request is refused.
QUARANTINE_LIFETIME = timedelta(seconds=120)

#: Time for which a request stays a suspect after its last crash.
SUSPECT_LIFETIME = timedelta(seconds=300)

#: Number of distinct crashed targets after which a request is quarantined.
_MAX_TARGETS = 2

#: Number of crashes, also of the same target, after which a request is quarantined.
_MAX_CRASHES = 3

#: Maximum number of entries; a full table ignores further suspects.
_MAX_ENTRIES = 1024


class CrashStatus(enum.Enum):
    """Status of the requests with the same fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class SuspectReport:
    """Reports to other VMs a request that crashed targets.

    :param targets: names of the distinct targets that it crashed
    :param crashes: number of crashes, including repeated ones of the same target
    :param life_ms: remaining lifetime of the entry in milliseconds
    """

    fingerprint: bytes
    targets: list[str]
    crashes: int
    quarantined: bool
    life_ms: int


@attrs.frozen
class SuspectCleared:
    """Informs other VMs that a suspect request completed on a target."""

    fingerprint: bytes


@attrs.define
class _Entry:
    targets: set[str]
    crashes: int
    quarantined: bool
    expires_at: timedelta


class QuarantineTable:
    """Bounded table of the suspect and quarantined requests by fingerprint."""

    def __init__(self) -> None:
        self._entries: dict[bytes, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def status_of(self, request: bytes, now: timedelta) -> CrashStatus:
        """Return the status of the requests with a fingerprint."""
        entry = self._entries.get(request)
        if entry is None or now >= entry.expires_at:
            return CrashStatus.CLEAR
        return CrashStatus.QUARANTINED if entry.quarantined else CrashStatus.SUSPECT

    def may_start(self, request: bytes, now: timedelta, *, suspect: bool) -> bool:
        """Return whether a request still has the status with which it was admitted.

        :param suspect: whether it was admitted as a suspect, with no other suspect running
        """
        expected = CrashStatus.SUSPECT if suspect else CrashStatus.CLEAR
        return self.status_of(request, now) is expected

    def crashed_targets(self, request: bytes) -> frozenset[str]:
        """Return the targets that crashed while requests with a fingerprint ran on them."""
        entry = self._entries.get(request)
        return frozenset(entry.targets) if entry else frozenset()

    def record_crash(
        self,
        target: str,
        suspects: Iterable[bytes],
        others: Iterable[bytes],
        now: timedelta,
    ) -> list[SuspectReport]:
        """Record the crash of a target.

        :param suspects: fingerprints of its in-flight requests that started as suspects
        :param others: fingerprints of its in-flight requests that started clear
        :returns: the reports to send to other VMs
        """
        self._remove_expired(now)
        started_suspect = set(suspects)
        for request in started_suspect:
            self._count_crash(request, target, now, started_suspect=True)
        for request in set(others) - started_suspect:
            self._count_crash(request, target, now, started_suspect=False)
        marked = started_suspect | set(others)
        return [self._build_report(request, now) for request in marked if request in self._entries]

    def record_completion(self, request: bytes) -> SuspectCleared | None:
        """Clear a request that completed on a target.

        :returns: the message to send to other VMs, or None if the request was clear
        """
        if self._entries.pop(request, None) is None:
            return None
        return SuspectCleared(request)

    def merge_report(self, report: SuspectReport, now: timedelta) -> None:
        """Merge a report from another VM."""
        self._remove_expired(now)
        lifetime = min(timedelta(milliseconds=report.life_ms), SUSPECT_LIFETIME)
        entry = self._find_or_create_entry(report.fingerprint, now)
        if entry is None:
            return
        entry.targets |= set(report.targets)
        entry.crashes = max(entry.crashes, report.crashes)
        if report.quarantined and not entry.quarantined:
            entry.quarantined = True
            entry.expires_at = now + lifetime
        else:
            entry.expires_at = max(entry.expires_at, now + lifetime)

    def merge_cleared(self, cleared: SuspectCleared) -> None:
        """Clear a request that completed at another VM."""
        self._entries.pop(cleared.fingerprint, None)

    def reports(self, now: timedelta) -> list[SuspectReport]:
        """Return reports of all entries, for a newly started VM."""
        self._remove_expired(now)
        return [self._build_report(request, now) for request in self._entries]

    def _count_crash(
        self, request: bytes, target: str, now: timedelta, *, started_suspect: bool
    ) -> None:
        entry = self._find_or_create_entry(request, now)
        if entry is None or entry.quarantined:
            return
        entry.expires_at = now + SUSPECT_LIFETIME
        if not started_suspect and entry.targets:
            return
        entry.targets.add(target)
        entry.crashes += 1
        if len(entry.targets) >= _MAX_TARGETS or entry.crashes >= _MAX_CRASHES:
            entry.quarantined = True
            entry.expires_at = now + QUARANTINE_LIFETIME

    def _find_or_create_entry(self, request: bytes, now: timedelta) -> _Entry | None:
        """Return the entry of a fingerprint, created if missing, or None if the table is full."""
        entry = self._entries.get(request)
        if entry is None and len(self._entries) < _MAX_ENTRIES:
            entry = self._entries[request] = _Entry(set(), 0, quarantined=False, expires_at=now)
        return entry

    def _remove_expired(self, now: timedelta) -> None:
        expired = [request for request, entry in self._entries.items() if now >= entry.expires_at]
        for request in expired:
            del self._entries[request]

    def _build_report(self, request: bytes, now: timedelta) -> SuspectReport:
        entry = self._entries[request]
        life_ms = max(0, int((entry.expires_at - now) / timedelta(milliseconds=1)))
        return SuspectReport(
            request, sorted(entry.targets), entry.crashes, entry.quarantined, life_ms
        )
