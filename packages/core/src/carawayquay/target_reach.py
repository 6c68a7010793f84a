"""Decides from calls and probes whether this VM is cut off from all targets."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from carawayquay.discovery import RegisteredTarget

__all__ = ["ProbeCause", "ReachChange", "TargetReach", "probe_candidates"]

#: Number of targets that must refuse connections, or break off calls, without any success in
#: between, before targets are probed.
_MIN_FAILED_TARGETS = 2

#: Number of targets that must have requests in flight before their silence is a reason to probe.
_MIN_SILENT_TARGETS = 2

#: Time without any answer, while several targets have requests, after which targets are probed.
_SILENCE = timedelta(seconds=0.5)

#: Shortest time between two probes for silence that found the targets reachable.
_SILENCE_PROBE_INTERVAL = timedelta(seconds=3)

#: Interval between probes while this VM is cut off.
_CUT_OFF_PROBE_INTERVAL = timedelta(seconds=0.4)


class ProbeCause(enum.Enum):
    """Why targets have to be probed."""

    FAILURES = "failures"
    SILENCE = "silence"
    CUT_OFF = "cut-off"


@attrs.frozen
class ReachChange:
    """This VM was cut off from all targets, or reaches them again.

    :param answering: whether open connections still delivered answers when it was cut off
    :param after: time since the last answer or connection, or since this VM was cut off
    """

    cut_off: bool
    answering: bool
    after: timedelta


class TargetReach:
    """Tracks whether this VM reaches any target.

    A VM counts as cut off only after probes of targets in several failure domains have all failed,
    since many targets may fail at once while the VM itself is sound.
    """

    def __init__(self, now: timedelta) -> None:
        self._unopened: set[str] = set()
        self._broken: set[str] = set()
        self._last_connect = now
        self._last_answer = now
        self._waiting_since: timedelta | None = None
        self._silence_probed_at = now - _SILENCE_PROBE_INTERVAL
        self._cut_off_since: timedelta | None = None
        self._probed_at = now

    @property
    def cut_off(self) -> bool:
        """Whether this VM is cut off from all targets."""
        return self._cut_off_since is not None

    def record_answer(self, now: timedelta) -> None:
        """Record a complete answer of any target."""
        self._last_answer = now
        self._broken.clear()
        if self._waiting_since is not None:
            self._waiting_since = now

    def record_connect(self, now: timedelta) -> None:
        """Record a new connection to any target."""
        self._last_connect = now
        self._unopened.clear()
        self._broken.clear()

    def record_unopened(self, target: str) -> None:
        """Record a connection to a target that could not be opened."""
        self._unopened.add(target)

    def record_broken(self, target: str) -> None:
        """Record a call that timed out or whose connection failed."""
        self._broken.add(target)

    def note_waiting(self, targets: int, now: timedelta) -> None:
        """Record the number of targets that have requests of this VM in flight."""
        if targets < _MIN_SILENT_TARGETS:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def answering(self, now: timedelta) -> bool:
        """Return whether targets still answer on open connections."""
        return now - self._last_answer < _SILENCE

    def reached_since(self, moment: timedelta) -> bool:
        """Return whether a target has answered or accepted a connection after a moment."""
        return max(self._last_answer, self._last_connect) > moment

    def probe_due(self, now: timedelta) -> ProbeCause | None:
        """Return why targets have to be probed now, or None if they need not be."""
        if self._cut_off_since is not None:
            due = now - self._probed_at >= _CUT_OFF_PROBE_INTERVAL
            return ProbeCause.CUT_OFF if due else None
        if max(len(self._unopened), len(self._broken)) >= _MIN_FAILED_TARGETS:
            return ProbeCause.FAILURES
        silent_since = self._waiting_since
        if silent_since is None or now - silent_since < _SILENCE:
            return None
        if now - self._silence_probed_at < _SILENCE_PROBE_INTERVAL:
            return None
        return ProbeCause.SILENCE

    def record_probe(self, *, reached: bool, now: timedelta) -> ReachChange | None:
        """Record the outcome of a probe of several targets.

        :param reached: whether any of them accepted a connection
        :returns: what it changed, or None
        """
        self._probed_at = now
        was_cut_off_since = self._cut_off_since
        if reached:
            self.record_connect(now)
            self._silence_probed_at = now
            self._cut_off_since = None
            if was_cut_off_since is None:
                return None
            return ReachChange(False, True, now - was_cut_off_since)
        if was_cut_off_since is not None:
            return None
        self._cut_off_since = now
        last_reached = max(self._last_answer, self._last_connect)
        return ReachChange(True, self.answering(now), now - last_reached)


def probe_candidates(
    targets: Iterable[RegisteredTarget], domain: str, count: int, random: Random
) -> list[RegisteredTarget]:
    """Return targets to probe, of as many failure domains as possible, the own domain first.

    :param domain: this VM's failure domain
    :param count: the number of targets to return, if there are as many
    """
    by_domain: dict[str, list[RegisteredTarget]] = {}
    for target in targets:
        by_domain.setdefault(target.domain, []).append(target)
    groups = list(by_domain.values())
    random.shuffle(groups)
    groups.sort(key=lambda group: group[0].domain != domain)
    for group in groups:
        random.shuffle(group)
    rounds = max(map(len, groups), default=0)
    spread = [group[index] for index in range(rounds) for group in groups if index < len(group)]
    return spread[:count]
