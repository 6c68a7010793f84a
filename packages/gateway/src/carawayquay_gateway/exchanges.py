"""One caller's request while it is carried."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.forwarding import CallerRequest, TargetAnswer
    from carawayquay.placement import Placed
    from carawayquay.routes import Route

__all__ = ["Exchange", "FailureAnswer"]


@attrs.frozen
class FailureAnswer:
    """A target's own failure status, which is the final answer if no other target does better."""

    placed: Placed
    answer: TargetAnswer


@attrs.define
class Exchange:
    """One caller's request while it is carried.

    :param started: when it was read
    :param ends: when its final answer is due
    :param fingerprint: what equal requests share
    :param tried: targets that got it or could not be reached
    :param sent: the number of targets that may have got it
    :param may_have_run: whether a target may have begun to run it
    """

    call: CallerRequest
    route: Route
    service: str
    started: timedelta
    deadline: timedelta
    fingerprint: int
    tried_targets: set[str] = attrs.field(factory=set)
    sent: int = 0
    may_have_run: bool = False
    target_failure: FailureAnswer | None = None

    def elapsed(self, now: timedelta) -> float:
        """Return the seconds since it was read."""
        return (now - self.started).total_seconds()

    def remaining(self, now: timedelta) -> float:
        """Return the seconds until its final answer is due."""
        return (self.deadline - now).total_seconds()
