"""Counts target crashes by request fingerprint, over all entry VMs."""

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

#: Consecutive crashes after which requests with the same fingerprint are refused.
_MAX_CRASHES = 3

#: Time since the last crash after which a count expires.
_LIFETIME = timedelta(seconds=120)

_MAX_ENTRIES = 1024
_MAX_REPORTED = 16
_FINGERPRINT_BYTES = 8


@attrs.define
class _Entry:
    crashes: int
    expires_at: timedelta


def request_fingerprint(call: CallerRequest) -> int:
    """Return a 64-bit hash of host, method, path, object key and body."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (call.host, call.method, call.path, call.object_key):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(call.body)
    return int.from_bytes(digest.digest(), "big")


class CrashCounts:
    """Counts of crashes, by the fingerprint of the request that the target was running.

    A request that completes resets its count: requests with the same fingerprint usually complete
    unless they cause the crashes.
    """

    def __init__(self) -> None:
        self._entries: dict[int, _Entry] = {}

    def refused(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether requests with a fingerprint are refused for crashing too many targets."""
        entry = self._entries.get(fingerprint)
        return entry is not None and now < entry.expires_at and entry.crashes >= _MAX_CRASHES

    def is_suspect(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether a fingerprint has a count that has not expired."""
        entry = self._entries.get(fingerprint)
        return entry is not None and now < entry.expires_at

    def record_crash(self, fingerprint: int, now: timedelta) -> int:
        """Count a crash; return the new count, or 0 if the table is full."""
        entry = self._entry(fingerprint, now)
        if entry is None:
            return 0
        entry.crashes += 1
        entry.expires_at = now + _LIFETIME
        return entry.crashes

    def record_completion(self, fingerprint: int) -> None:
        """Reset the count of a request that completed."""
        self._entries.pop(fingerprint, None)

    def merge(self, reports: Iterable[CrashReport], now: timedelta) -> None:
        """Merge the counts of another VM, keeping the higher ones."""
        for report in reports:
            entry = self._entry(report.fingerprint, now)
            if entry is not None and report.crashes > entry.crashes:
                entry.crashes = report.crashes
                entry.expires_at = now + _LIFETIME

    def reports(self, now: timedelta) -> tuple[CrashReport, ...]:
        """Return the most recent counts, to be sent to other VMs."""
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
