"""Counts the targets that equal requests have crashed, over all entry VMs."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.load_reports import CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.forwarding import CallerRequest

__all__ = ["CrashCounts", "request_fingerprint"]

#: Crashes in a row after which equal requests are refused.
_MAX_CRASHES = 3

#: How long a crash counts against a request.
_LIFETIME = timedelta(seconds=120)

_MAX_ENTRIES = 1024
_MAX_REPORTED = 16
_FINGERPRINT_BYTES = 8


@attrs.define
class _Entry:
    crashes: int
    expires_at: timedelta


def request_fingerprint(call: CallerRequest) -> int:
    """Return what equal requests share: host, method, path, object and body, in 64 bits."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (call.host, call.method, call.path, call.object_key):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(call.body)
    return int.from_bytes(digest.digest(), "big")


class CrashCounts:
    """Requests whose connection broke while a target ran them, by fingerprint.

    A request that completes is cleared, as equal requests complete as a rule unless they are the
    cause.
    """

    def __init__(self) -> None:
        self._entries: dict[int, _Entry] = {}

    def refused(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether requests of a fingerprint have crashed too many targets."""
        entry = self._entries.get(fingerprint)
        return entry is not None and now < entry.expires_at and entry.crashes >= _MAX_CRASHES

    def is_suspect(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether a request of a fingerprint has crashed a target lately."""
        entry = self._entries.get(fingerprint)
        return entry is not None and now < entry.expires_at

    def record_crash(self, fingerprint: int, now: timedelta) -> int:
        """Count a crash and return how many there were."""
        entry = self._entry(fingerprint, now)
        if entry is None:
            return 0
        entry.crashes += 1
        entry.expires_at = now + _LIFETIME
        return entry.crashes

    def record_completion(self, fingerprint: int) -> None:
        """Clear a request that completed."""
        self._entries.pop(fingerprint, None)

    def merge(self, reports: Iterable[CrashReport], now: timedelta) -> None:
        """Take what another VM counted."""
        for report in reports:
            entry = self._entry(report.fingerprint, now)
            if entry is not None and report.crashes > entry.crashes:
                entry.crashes = report.crashes
                entry.expires_at = now + _LIFETIME

    def reports(self, now: timedelta) -> tuple[CrashReport, ...]:
        """Return the latest counts, for other VMs."""
        self._expire(now)
        latest = sorted(self._entries.items(), key=lambda item: item[1].expires_at, reverse=True)
        return tuple(
            CrashReport(fingerprint, entry.crashes)
            for fingerprint, entry in latest[:_MAX_REPORTED]
            if entry.crashes > 0
        )

    def _entry(self, fingerprint: int, now: timedelta) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is None:
            self._expire(now)
            if len(self._entries) >= _MAX_ENTRIES:
                return None
            entry = self._entries[fingerprint] = _Entry(0, now + _LIFETIME)
        return entry

    def _expire(self, now: timedelta) -> None:
        expired = [key for key, entry in self._entries.items() if now >= entry.expires_at]
        for key in expired:
            del self._entries[key]
