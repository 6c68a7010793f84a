"""State of a caller's request in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.forwarding import CallerRequest, TargetAnswer
    from carawayquay.placement import Placement
    from carawayquay.routes import Route
    from carawayquay.target_limits import LimitReached

__all__ = ["Exchange", "FailureAnswer"]


@attrs.frozen
class FailureAnswer:
    """A target's answer with a failure status, returned if no other target succeeds."""

    placed: Placement
    answer: TargetAnswer


@attrs.define
class Exchange:
    """State of a caller's request in flight.

    :param version: the configuration version by which its route and service were decided
    :param started: when the request was read
    :param deadline: when the final answer is due
    :param fingerprint: hash by which equal requests are recognised
    :param tried_targets: names of the targets that were attempted, reached or not
    :param sent: number of targets that may have received the request
    :param may_have_run: whether a target may have started to run it
    :param target_failure: the last answer with a failure status that was withheld for a retry
    :param limit_reached: the limit that kept the request from a target at the last selection
    """

    call: CallerRequest
    route: Route
    service: str
    version: int
    started: timedelta
    deadline: timedelta
    fingerprint: int
    tried_targets: set[str] = attrs.field(factory=set)
    sent: int = 0
    may_have_run: bool = False
    target_failure: FailureAnswer | None = None
    limit_reached: LimitReached | None = None

    def elapsed(self, now: timedelta) -> float:
        """Return the seconds since the request was read."""
        return (now - self.started).total_seconds()

    def remaining(self, now: timedelta) -> float:
        """Return the seconds until the deadline."""
        return (self.deadline - now).total_seconds()
