"""Outlier ejection of targets by the outcomes of requests, which take precedence over probes."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["FAILURES_TO_EJECT", "HealthState", "HealthTable"]

#: Consecutive failures on fresh connections after which a target is ejected.
FAILURES_TO_EJECT = 2

#: First and maximum duration of an ejection.
_FIRST_EJECTION = timedelta(milliseconds=500)
_MAX_EJECTION = timedelta(seconds=30)
_MAX_DOUBLINGS = 10

#: Time after an answered request during which failed probes are ignored.
_SUCCESS_FRESHNESS = timedelta(seconds=5)

#: Consecutive answered requests after which a half-open target gets its full limit again.
_SUCCESSES_TO_RECOVER = 3


class HealthState(enum.Enum):
    """Health of a target: full limit, half-open with one request at a time, or no traffic."""

    SERVING = "serving"
    HALF_OPEN = "on-trial"
    EJECTED = "ejected"


#: Consecutive error answers after which a target is compared with the others of its service.
_ERROR_ANSWERS_TO_EJECT = 5


@attrs.define
class _Health:
    failures: int = 0
    errors: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_until: timedelta | None = None
    answered_at: timedelta | None = None
    probe_failed: bool = False


class HealthTable:
    """The health of each target.

    Failed requests eject a target for a duration that doubles with each ejection. The target is
    then half-open, with one request at a time, until enough requests were answered; a successful
    probe does not end this state. A failed or unhealthy probe makes a target half-open, unless it
    answered a request recently, but never ejects it.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _Health] = {}

    def state(self, target: str, now: timedelta) -> HealthState:
        """Return the health of a target, which is serving if nothing was recorded."""
        health = self._targets.get(target)
        if health is None:
            return HealthState.SERVING
        if health.ejected_until is not None:
            return HealthState.EJECTED if now < health.ejected_until else HealthState.HALF_OPEN
        recently_answered = (
            health.answered_at is not None and now - health.answered_at < _SUCCESS_FRESHNESS
        )
        if health.probe_failed and not recently_answered:
            return HealthState.HALF_OPEN
        return HealthState.SERVING

    def limit(self, target: str, slots: int, now: timedelta) -> int:
        """Return the concurrency limit of a target.

        :param slots: the limit while it is healthy, in requests
        """
        match self.state(target, now):
            case HealthState.SERVING:
                return slots
            case HealthState.HALF_OPEN:
                return min(1, slots)
            case HealthState.EJECTED:
                return 0

    def record_success(self, target: str, now: timedelta) -> None:
        """Record an answer with a status below 500."""
        health = self._targets.setdefault(target, _Health())
        health.answered_at = now
        health.failures = 0
        health.errors = 0
        health.successes += 1
        if health.successes >= _SUCCESSES_TO_RECOVER:
            health.ejected_until = None
            health.ejections = 0

    def record_failure(self, target: str, now: timedelta, *, refused: bool = False) -> bool:
        """Record a request that failed on a fresh connection.

        :param refused: whether the target refused the connection, which ejects it at once
        :returns: whether the failure ejected the target
        """
        health = self._targets.setdefault(target, _Health())
        health.successes = 0
        health.failures += 1
        health.answered_at = None
        if self.state(target, now) is HealthState.EJECTED:
            return False
        unconfirmed = health.failures < FAILURES_TO_EJECT and not refused
        if unconfirmed and health.ejected_until is None:
            return False
        self._eject(health, now)
        return True

    def record_error_answer(self, target: str, others: Iterable[str], now: timedelta) -> bool:
        """Record a complete answer with an error status (500 and above).

        The request itself may be the cause, so the target counts as an outlier only if another
        target of the service answers without errors.

        :param others: the other targets of the service
        :returns: whether the answer ejected the target
        """
        health = self._targets.setdefault(target, _Health())
        health.errors += 1
        if (
            health.errors < _ERROR_ANSWERS_TO_EJECT
            or self.state(target, now) is HealthState.EJECTED
        ):
            return False
        if not any(self._answers_well(other, now) for other in others):
            return False
        health.successes = 0
        health.answered_at = None
        self._eject(health, now)
        return True

    def probe(self, target: str, *, healthy: bool) -> None:
        """Record the result of a probe."""
        self._targets.setdefault(target, _Health()).probe_failed = not healthy

    def _eject(self, health: _Health, now: timedelta) -> None:
        health.ejected_until = now + min(_MAX_EJECTION, _FIRST_EJECTION * 2**health.ejections)
        health.ejections = min(health.ejections + 1, _MAX_DOUBLINGS)

    def _answers_well(self, target: str, now: timedelta) -> bool:
        health = self._targets.get(target)
        if health is None or health.answered_at is None or health.errors:
            return False
        return now - health.answered_at < _SUCCESS_FRESHNESS
