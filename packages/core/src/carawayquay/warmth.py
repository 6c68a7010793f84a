"""Slow start of cold targets, by time and completed requests."""

from __future__ import annotations

import math
from datetime import timedelta

import attrs

__all__ = ["COLD_AFTER", "START_FRACTION", "WarmthTable"]

#: Time without requests after which a target is cold again.
COLD_AFTER = timedelta(minutes=5)

#: Fraction of its slots that a cold target gets initially.
START_FRACTION = 0.25

#: Completed requests per slot that a target needs to become warm.
_REQUESTS_PER_SLOT = 5


@attrs.define
class _Ramp:
    boot: str
    started_at: timedelta | None = None
    completed: int = 0
    warmed: float = 0.0
    used_at: timedelta = timedelta()


class WarmthTable:
    """The warmth of each target, which raises its concurrency limit.

    A cold target starts at ``START_FRACTION`` of its slots. The ramp begins with its first
    completed request; warmth is the lesser of the elapsed fraction of the warm-up time and the
    completed fraction of the required requests.
    """

    def __init__(self) -> None:
        self._ramps: dict[str, _Ramp] = {}

    def warmth(self, target: str, slots: int, warm_up: timedelta, now: timedelta) -> float:
        """Return the warmth of a target, a fraction 0 to 1.

        :param warm_up: minimum time in which a cold target becomes warm
        """
        ramp = self._ramps.get(target)
        if not warm_up:
            return 1.0
        if ramp is None or now - ramp.used_at > COLD_AFTER or ramp.started_at is None:
            return ramp.warmed if ramp and now - ramp.used_at <= COLD_AFTER else 0.0
        by_time = (now - ramp.started_at) / warm_up
        by_requests = ramp.completed / (_REQUESTS_PER_SLOT * slots)
        return min(1.0, max(ramp.warmed, min(by_time, by_requests)))

    def limit(self, target: str, slots: int, warm_up: timedelta, now: timedelta) -> int:
        """Return the concurrency limit of a target in requests, at least 1."""
        warmth = self.warmth(target, slots, warm_up, now)
        return max(1, math.ceil(slots * (START_FRACTION + (1 - START_FRACTION) * warmth)))

    def boot(self, target: str) -> str:
        """Return the boot id of the target that its ramp belongs to, empty if unknown."""
        ramp = self._ramps.get(target)
        return ramp.boot if ramp else ""

    def record_boot(self, target: str, boot: str, now: timedelta) -> None:
        """Record the boot id that a probe got; a target with a new one is cold."""
        ramp = self._ramps.get(target)
        if ramp is None or ramp.boot != boot:
            self._ramps[target] = _Ramp(boot, used_at=now)

    def record_completion(self, target: str, now: timedelta) -> None:
        """Count a completed request; the first one after an idle time starts a new ramp."""
        ramp = self._ramps.setdefault(target, _Ramp("", used_at=now))
        if ramp.started_at is None or now - ramp.used_at > COLD_AFTER:
            ramp.started_at, ramp.completed = now, 0
            ramp.warmed = ramp.warmed if now - ramp.used_at <= COLD_AFTER else 0.0
        ramp.completed += 1
        ramp.used_at = now

    def learn(self, target: str, boot: str, warmth: float, now: timedelta) -> None:
        """Raise the warmth to what another VM measured, if it is of the same boot of the target.

        :param warmth: fraction 0 to 1
        """
        ramp = self._ramps.get(target)
        if ramp is not None and boot and ramp.boot == boot and warmth > ramp.warmed:
            ramp.warmed = min(1.0, warmth)
            ramp.used_at = now

    def forget(self, targets: set[str]) -> None:
        """Drop the ramps of targets that no document lists any more."""
        for target in targets & self._ramps.keys():
            del self._ramps[target]
