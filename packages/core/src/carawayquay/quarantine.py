"""Requests that crash the targets that run them, and how they are kept from more targets.

A request that was in flight when its target crashed becomes a suspect. Suspects run one at a
time, so that the next crash has one cause: a request that started as a suspect and crashes a
second target is quarantined. Whatever completes is cleared, so that innocent requests that were
in flight with the cause do not stay suspect.
"""

from __future__ import annotations

import enum
import hashlib
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.requests import Forward

__all__ = [
    "QUARANTINE_LIFETIME",
    "SUSPECT_LIFETIME",
    "CrashStatus",
    "QuarantineTable",
    "SuspectCleared",
    "SuspectReport",
    "fingerprint",
]

#: How long a request is refused after its second crash.
QUARANTINE_LIFETIME = timedelta(seconds=120)

#: How long a crash counts against a request.
SUSPECT_LIFETIME = timedelta(seconds=300)

#: Distinct targets that a request may crash.
_MAX_TARGETS = 2

#: Crashes of any targets, one of them many times, after which a request is quarantined too.
_MAX_CRASHES = 3

_MAX_ENTRIES = 1024
_FINGERPRINT_BYTES = 16


class CrashStatus(enum.Enum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class SuspectReport:
    """A VM tells others of a request that crashed targets.

    :param targets: the distinct targets that it crashed
    :param crashes: how often it crashed one of them
    :param life_ms: how long this counts from now, in milliseconds
    """

    fingerprint: bytes
    targets: list[str]
    crashes: int
    quarantined: bool
    life_ms: int


@attrs.frozen
class SuspectCleared:
    """A VM tells others that a suspect request completed on a target."""

    fingerprint: bytes


@attrs.define
class _Entry:
    targets: set[str]
    crashes: int
    quarantined: bool
    until: timedelta


def fingerprint(forward: Forward) -> bytes:
    """Return what equal requests share: service, method, path and body."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (forward.service.encode(), forward.method.encode(), forward.path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(forward.body)
    return digest.digest()


class QuarantineTable:
    """The suspect and the quarantined requests, by fingerprint, bounded in number."""

    def __init__(self) -> None:
        self._entries: dict[bytes, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def status_of(self, request: bytes, now: timedelta) -> CrashStatus:
        """Return what is known of the requests of a fingerprint."""
        entry = self._entries.get(request)
        if entry is None or now >= entry.until:
            return CrashStatus.CLEAR
        return CrashStatus.QUARANTINED if entry.quarantined else CrashStatus.SUSPECT

    def may_start(self, request: bytes, now: timedelta, *, suspect: bool) -> bool:
        """Return whether a request's standing is still the one for which it was let through.

        :param suspect: whether it was let through as a suspect, while no other one runs
        """
        expected = CrashStatus.SUSPECT if suspect else CrashStatus.CLEAR
        return self.status_of(request, now) is expected

    def crashed_targets(self, request: bytes) -> frozenset[str]:
        """Return the targets that requests of a fingerprint were running on when they crashed."""
        entry = self._entries.get(request)
        return frozenset(entry.targets) if entry else frozenset()

    def crash(
        self,
        target: str,
        suspects: Iterable[bytes],
        others: Iterable[bytes],
        now: timedelta,
    ) -> list[SuspectReport]:
        """Note that a target crashed.

        :param suspects: requests in flight on it that started as suspects
        :param others: requests in flight on it that started clear
        :returns: what other VMs are to be told
        """
        self._expire(now)
        started_suspect = set(suspects)
        for request in started_suspect:
            self._mark(request, target, now, started_suspect=True)
        for request in set(others) - started_suspect:
            self._mark(request, target, now, started_suspect=False)
        marked = started_suspect | set(others)
        return [self._report(request, now) for request in marked if request in self._entries]

    def complete(self, request: bytes) -> SuspectCleared | None:
        """Note that a target ran a request to its end.

        :returns: what other VMs are to be told, or None
        """
        if self._entries.pop(request, None) is None:
            return None
        return SuspectCleared(request)

    def merge_report(self, report: SuspectReport, now: timedelta) -> None:
        """Take what another VM tells of a request."""
        self._expire(now)
        life = min(timedelta(milliseconds=report.life_ms), SUSPECT_LIFETIME)
        entry = self._find_or_create_entry(report.fingerprint, now)
        if entry is None:
            return
        entry.targets |= set(report.targets)
        entry.crashes = max(entry.crashes, report.crashes)
        if report.quarantined and not entry.quarantined:
            entry.quarantined = True
            entry.until = now + life
        else:
            entry.until = max(entry.until, now + life)

    def merge_cleared(self, cleared: SuspectCleared) -> None:
        """Take that a request completed at another VM."""
        self._entries.pop(cleared.fingerprint, None)

    def reports(self, now: timedelta) -> list[SuspectReport]:
        """Return all that is known, for a VM that has just started."""
        self._expire(now)
        return [self._report(request, now) for request in self._entries]

    def _mark(self, request: bytes, target: str, now: timedelta, *, started_suspect: bool) -> None:
        entry = self._find_or_create_entry(request, now)
        if entry is None or entry.quarantined:
            return
        entry.until = now + SUSPECT_LIFETIME
        if not started_suspect and entry.targets:
            return
        entry.targets.add(target)
        entry.crashes += 1
        if len(entry.targets) >= _MAX_TARGETS or entry.crashes >= _MAX_CRASHES:
            entry.quarantined = True
            entry.until = now + QUARANTINE_LIFETIME

    def _find_or_create_entry(self, request: bytes, now: timedelta) -> _Entry | None:
        """Return the entry of a fingerprint, a new one if there is room, or None."""
        entry = self._entries.get(request)
        if entry is None and len(self._entries) < _MAX_ENTRIES:
            entry = self._entries[request] = _Entry(set(), 0, quarantined=False, until=now)
        return entry

    def _expire(self, now: timedelta) -> None:
        over = [request for request, entry in self._entries.items() if now >= entry.until]
        for request in over:
            del self._entries[request]

    def _report(self, request: bytes, now: timedelta) -> SuspectReport:
        entry = self._entries[request]
        life_ms = max(0, int((entry.until - now) / timedelta(milliseconds=1)))
        return SuspectReport(
            request, sorted(entry.targets), entry.crashes, entry.quarantined, life_ms
        )
