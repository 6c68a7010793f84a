"""Builders of target crashes."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.crash_history import TargetCrash
from carawayquay.load_reports import short_hash


def crash(target="t0", began=0.0, ended=1.0):
    """Return the crash of a target that a request met, from and to given in seconds."""
    return TargetCrash(short_hash(target), timedelta(seconds=began), timedelta(seconds=ended))


def record_crashes(counts, fingerprint, number, now):
    """Record crashes of different targets, each request sent after the crash before, up to now."""
    for index in range(number):
        began_at = now + timedelta(seconds=index - number)
        it = TargetCrash(index + 1, began_at, began_at + timedelta(seconds=1))
        counts.record_crash(fingerprint, it, now)
