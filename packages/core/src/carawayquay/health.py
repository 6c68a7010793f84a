"""Whether each target serves, by this VM's own traffic first and by probes second."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["FAILURES_TO_EJECT", "HealthState", "HealthTable"]

#: Failures on fresh connections in a row after which a target gets no traffic for a while.
FAILURES_TO_EJECT = 2

#: First and longest time for which a failed target gets no traffic.
_FIRST_EJECTION = timedelta(milliseconds=500)
_MAX_EJECTION = timedelta(seconds=30)
_MAX_DOUBLINGS = 10

#: An answer to a request speaks for a target, against its probes, for so long.
_SUCCESS_FRESHNESS = timedelta(seconds=5)

#: Answered requests in a row after which a target that was ejected has its whole limit again.
_SUCCESSES_TO_RECOVER = 3


class HealthState(enum.Enum):
    """How far a target is trusted."""

    SERVING = "serving"
    HALF_OPEN = "on-trial"
    EJECTED = "ejected"


#: Answers in a row that say the target failed, after which it is compared with the others.
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

    Failed requests eject a target for a time that doubles. After it one request at a time is
    tried until enough were answered; a probe alone never ends this. A failed probe, or one that
    says unhealthy, lowers a target to one request at a time, and only while no request of late
    was answered: it never takes a target out.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _Health] = {}

    def state(self, target: str, now: timedelta) -> HealthState:
        """Return how far a target is trusted."""
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
        """Return how many requests a target may run at once."""
        match self.state(target, now):
            case HealthState.SERVING:
                return slots
            case HealthState.HALF_OPEN:
                return min(1, slots)
            case HealthState.EJECTED:
                return 0

    def record_success(self, target: str, now: timedelta) -> None:
        """Note a request that a target answered."""
        health = self._targets.setdefault(target, _Health())
        health.answered_at = now
        health.failures = 0
        health.errors = 0
        health.successes += 1
        if health.successes >= _SUCCESSES_TO_RECOVER:
            health.ejected_until = None
            health.ejections = 0

    def record_failure(self, target: str, now: timedelta, *, refused: bool = False) -> bool:
        """Note a request that failed on a fresh connection.

        :param refused: whether nothing listens at the target's address, which needs no second proof
        :returns: whether the target is ejected because of it
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
        """Note a whole answer by which a target says that it failed (status 500 and above).

        A request may be at fault itself, so the target is an outlier only if another target of
        the service answers well.

        :param others: the other targets of the service
        :returns: whether the target is ejected because of it
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
        """Note what a probe found."""
        self._targets.setdefault(target, _Health()).probe_failed = not healthy

    def _eject(self, health: _Health, now: timedelta) -> None:
        health.ejected_until = now + min(_MAX_EJECTION, _FIRST_EJECTION * 2**health.ejections)
        health.ejections = min(health.ejections + 1, _MAX_DOUBLINGS)

    def _answers_well(self, target: str, now: timedelta) -> bool:
        health = self._targets.get(target)
        if health is None or health.answered_at is None or health.errors:
            return False
        return now - health.answered_at < _SUCCESS_FRESHNESS
