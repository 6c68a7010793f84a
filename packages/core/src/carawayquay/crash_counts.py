"""Counts the target crashes that equal requests may have caused, over all entry VMs."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from heapq import nsmallest
from itertools import zip_longest
from typing import TYPE_CHECKING

from carawayquay.crash_history import (
    CRASH_LIFETIME,
    MAX_CRASHES_IN_A_ROW,
    NO_ORGANISATION,
    CrashHistory,
    TargetCrash,
)
from carawayquay.load_reports import CrashReport, ReportedCrash, SuspectReport

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["CrashCounts"]

#: Age up to which a crash is taken over from a report. Without the margin, VMs could tell each
#: other of a crash again and again, as each learns of it a little later.
_MAX_REPORTED_AGE = CRASH_LIFETIME - timedelta(seconds=10)

#: Stands for the target in a crash that was reported without one.
_UNKNOWN_TARGET = 0

_MAX_ENTRIES = 1024
_MAX_REPORTED = 16
_MILLISECOND = timedelta(milliseconds=1)


class CrashCounts:
    """Counts of crashes, by the fingerprint of the request that the target was running.

    A request may be running on a target for no fault of its own when the target crashes. Three
    things tell it from one that causes crashes. A crash counts once, however many equal requests
    ran there and however many VMs saw it. Crashes of targets that end together count as one, since
    none of these requests was sent after another had failed: only one that was sent later counts
    anew. And a request that completes, at any VM, clears the crashes before it.

    Organisations share the table and the reports, so that none takes the place of another one's
    requests: a full table gives up requests of the organisation that has most of it, and reports
    name the requests of all organisations by turns.
    """

    def __init__(self) -> None:
        self._entries: dict[int, CrashHistory] = {}

    def refused(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether requests with a fingerprint are refused for crashing too many targets."""
        return self.count(fingerprint, now) >= MAX_CRASHES_IN_A_ROW

    def is_suspect(self, fingerprint: int, now: timedelta) -> bool:
        """Return whether a request with a fingerprint may have crashed a target."""
        return self.count(fingerprint, now) > 0

    def count(self, fingerprint: int, now: timedelta) -> int:
        """Return the number of crashes in a row that requests with a fingerprint may have caused.

        It does not grow beyond the number for which they are refused.
        """
        entry = self._entries.get(fingerprint)
        return len(entry.row) if entry is not None and now < entry.expires_at else 0

    def record_crash(
        self,
        fingerprint: int,
        crash: TargetCrash,
        now: timedelta,
        organisation: int = NO_ORGANISATION,
    ) -> int:
        """Record a crash, and return the count; return 0 if the table has no place for it.

        :param organisation: short hash of the name of the organisation that sent the request
        """
        entry = self._entry(fingerprint, now, organisation)
        if entry is None:
            return 0
        entry.add_observed(crash)
        return len(entry.row)

    def record_completion(self, fingerprint: int, now: timedelta) -> None:
        """Clear the crashes before a request that completed."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.add_completion(now)

    def merge(
        self,
        crashes: Sequence[CrashReport],
        suspects: Sequence[SuspectReport],
        now: timedelta,
        organisations: Sequence[int] = (),
    ) -> None:
        """Merge what another VM reports.

        :param crashes: its counts, which are used for what ``suspects`` lacks
        :param suspects: the crashes and completions, empty if its version does not report them
        :param organisations: short hash of the organisation of each of ``suspects``, empty if its
            version does not report them
        """
        if not crashes and not suspects:
            return
        timed = set()
        named = organisations[: len(suspects)]
        for report, organisation in zip_longest(suspects, named, fillvalue=NO_ORGANISATION):
            timed.add(report.fingerprint)
            self._merge_suspect(report, organisation, now)
        for count in crashes:
            if count.fingerprint not in timed:
                self._merge_count(count, now)

    def _merge_suspect(self, report: SuspectReport, organisation: int, now: timedelta) -> None:
        """Merge a report; one without recent crashes says something of known ones only."""
        crashes = [
            _read_crash(crash, now)
            for crash in report.crashes
            if crash.ended_ms * _MILLISECOND < _MAX_REPORTED_AGE
        ]
        if crashes:
            entry = self._entry(report.fingerprint, now, organisation)
        else:
            entry = self._entries.get(report.fingerprint)
        if entry is None:
            return
        if report.completed_ms is not None:
            entry.add_completion(now - report.completed_ms * _MILLISECOND)
        for crash in crashes:
            entry.add_reported(crash)

    def _merge_count(self, report: CrashReport, now: timedelta) -> None:
        """Add a crash if another VM's count, without times, is higher than what is known."""
        entry = self._entry(report.fingerprint, now, NO_ORGANISATION)
        if entry is not None and report.crashes > entry.known_count:
            entry.known_count = report.crashes
            entry.add_reported(_untimed_crash(now))

    def reports(self, now: timedelta) -> tuple[CrashReport, ...]:
        """Return the most recent counts, for VMs of versions that know no suspects.

        What those VMs have told is left out, so that it does not come back to them.
        """
        counted = [
            (fingerprint, sum(it.target != _UNKNOWN_TARGET for it in entry.row))
            for fingerprint, entry in self._latest(now)
        ]
        return tuple(CrashReport(*item) for item in counted if item[1])

    def suspect_reports(self, now: timedelta) -> tuple[SuspectReport, ...]:
        """Return what other VMs are told: the latest crashes first, then the cleared ones."""
        return tuple(
            _suspect_report(fingerprint, entry, now) for fingerprint, entry in self._suspects(now)
        )

    def suspect_organisations(self, now: timedelta) -> tuple[int, ...]:
        """Return the short hash of the organisation of each of ``suspect_reports``.

        It is empty if none of them has an organisation.
        """
        organisations = tuple(entry.organisation for _, entry in self._suspects(now))
        return organisations if any(organisations) else ()

    def _suspects(self, now: timedelta) -> list[tuple[int, CrashHistory]]:
        return [
            (fingerprint, entry)
            for fingerprint, entry in self._latest(now)
            if entry.row or entry.completed_at is not None
        ]

    def _latest(self, now: timedelta) -> list[tuple[int, CrashHistory]]:
        """Return the entries to report: those with crashes before cleared ones.

        Of both, the latest of each organisation come first, then the second of each, and so on.
        """
        if not self._entries:
            return []
        self._expire(now)
        ordered = sorted(self._entries.items(), key=lambda it: it[1].expires_at, reverse=True)
        named: Counter[tuple[bool, int]] = Counter()
        turns = []
        for fingerprint, entry in ordered:
            group = (not entry.row, entry.organisation)
            # The third item is unique, so that no two entries are compared.
            turns.append((not entry.row, named[group], len(turns), fingerprint, entry))
            named[group] += 1
        latest = nsmallest(_MAX_REPORTED, turns)
        return [(fingerprint, entry) for *_, fingerprint, entry in latest]

    def _entry(self, fingerprint: int, now: timedelta, organisation: int) -> CrashHistory | None:
        """Return the entry of a fingerprint, added if missing, or None if there is no place."""
        entry = self._entries.get(fingerprint)
        if entry is None or now >= entry.expires_at:
            self._expire(now)
            if len(self._entries) >= _MAX_ENTRIES and not self._make_room(organisation):
                return None
            entry = self._entries[fingerprint] = CrashHistory(now + CRASH_LIFETIME)
        if entry.organisation == NO_ORGANISATION:
            entry.organisation = organisation
        return entry

    def _make_room(self, organisation: int) -> bool:
        """Give up an entry of the organisation that has most, if it has more than another one."""
        held = Counter(entry.organisation for entry in self._entries.values())
        largest, most = held.most_common(1)[0]
        if most <= held[organisation] + 1:
            return False
        given_up = min(
            (item for item in self._entries.items() if item[1].organisation == largest),
            key=lambda item: (len(item[1].row), item[1].expires_at),
        )
        del self._entries[given_up[0]]
        return True

    def _expire(self, now: timedelta) -> None:
        expired = [key for key, entry in self._entries.items() if now >= entry.expires_at]
        for key in expired:
            del self._entries[key]


def _untimed_crash(now: timedelta) -> TargetCrash:
    """Return the crash that is known from a count without times.

    Counts of the versions that send them grow with each request that a crashed target was running,
    so that a higher count proves no more than one crash, at a time that is not known.
    """
    return TargetCrash(_UNKNOWN_TARGET, now - CRASH_LIFETIME, now)


def _read_crash(crash: ReportedCrash, now: timedelta) -> TargetCrash:
    ended_at = now - crash.ended_ms * _MILLISECOND
    began_at = now - crash.began_ms * _MILLISECOND
    return TargetCrash(crash.target, min(began_at, ended_at), ended_at)


def _suspect_report(fingerprint: int, entry: CrashHistory, now: timedelta) -> SuspectReport:
    crashes = tuple(
        ReportedCrash(it.target, _age_ms(it.began_at, now), _age_ms(it.ended_at, now))
        for it in entry.row
        if it.target != _UNKNOWN_TARGET
    )
    completed_ms = None if entry.completed_at is None else _age_ms(entry.completed_at, now)
    return SuspectReport(fingerprint, crashes, completed_ms)


def _age_ms(at: timedelta, now: timedelta) -> int:
    return max(0, (now - at) // _MILLISECOND)
