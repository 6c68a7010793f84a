"""State of a caller's request in flight, and of its attempts at targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.request_fingerprints import request_fingerprint

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.forwarding import CallerRequest, TargetAnswer
    from carawayquay.load_reports import VMIdentity
    from carawayquay.placement import Placement
    from carawayquay.routes import Route
    from carawayquay.target_limits import LimitReached

__all__ = [
    "Answered",
    "Attempt",
    "AttemptEnd",
    "Exchange",
    "FailureAnswer",
    "RequestCrashesTargets",
    "Unanswered",
]


@attrs.frozen
class Answered:
    """A target's complete answer, and the seconds until it had arrived."""

    answer: TargetAnswer
    seconds: float

    @property
    def completed(self) -> bool:
        """Whether the answer tells that the target ran the request to its end."""
        return self.answer.ran and not self.answer.unsigned_denial


@attrs.frozen
class Unanswered:
    """A call without a complete answer.

    :param sent: whether the target may have received the request
    :param timed_out: whether the call timed out
    """

    sent: bool
    timed_out: bool

    @property
    def outcome(self) -> str:
        """The value of `outcome` in logs and metrics."""
        if not self.sent:
            return "unreachable"
        return "timeout" if self.timed_out else "broken"


@attrs.frozen
class Attempt:
    """One attempt of a request at a target.

    :param target: the target's name, empty if the VM that chose it did not say
    :param domain: the target's failure domain
    :param wait: expected queueing time in seconds
    :param work: expected service time in seconds
    :param warm: whether the target is known to be warm for the object
    :param peer: the VM through which the request was sent, empty if it was sent directly
    """

    target: str
    domain: str
    wait: float
    work: float
    warm: bool
    peer: str = ""

    @classmethod
    def at(cls, placed: Placement) -> Attempt:
        """Return an attempt at the target that was chosen."""
        target = placed.target
        return cls(target.name, target.domain, placed.wait, placed.work, placed.warm)


@attrs.frozen
class AttemptEnd:
    """An attempt with its result.

    :param limit_reached: the limit that kept the request from a better target, or None
    """

    attempt: Attempt
    result: Answered | Unanswered
    limit_reached: LimitReached | None = None


@attrs.frozen
class RequestCrashesTargets:
    """Another VM knows that equal requests crash targets, so that none may get this one."""


@attrs.frozen
class FailureAnswer:
    """A target's answer with a failure status, returned if no other target succeeds."""

    attempt: Attempt
    answer: TargetAnswer


@attrs.define
class Exchange:
    """State of a caller's request in flight.

    :param version: the configuration version by which its route and service were decided last
    :param started: when the request was read
    :param deadline: when the final answer is due
    :param fingerprint: hash by which equal requests are recognised
    :param tried_targets: names of the targets that were attempted, reached or not
    :param unreachable_targets: names of those to which no connection could be opened
    :param refusing_peers: the other VMs that did not send it to any target
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
    unreachable_targets: set[str] = attrs.field(factory=set)
    refusing_peers: set[VMIdentity] = attrs.field(factory=set)
    sent: int = 0
    may_have_run: bool = False
    target_failure: FailureAnswer | None = None
    limit_reached: LimitReached | None = None

    def apply_version(self, call: CallerRequest, route: Route, version: int) -> None:
        """Apply the route of another configuration version to further attempts.

        A request that may have run is repeated only if both versions allow it.
        """
        kind = route.kind if self.route.idempotent else self.route.kind
        self.call = call
        self.fingerprint = request_fingerprint(call)
        self.route = attrs.evolve(route, kind=kind)
        self.version = version

    def elapsed(self, now: timedelta) -> float:
        """Return the seconds since the request was read."""
        return (now - self.started).total_seconds()

    def remaining(self, now: timedelta) -> float:
        """Return the seconds until the deadline."""
        return (self.deadline - now).total_seconds()
