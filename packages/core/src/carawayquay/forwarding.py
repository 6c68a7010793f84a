"""Parsed requests of callers and answers of targets."""

from __future__ import annotations

from datetime import timedelta

import attrs

__all__ = [
    "NOT_RUN_STATUSES",
    "AnswerLimit",
    "CallerRequest",
    "LimitAbsent",
    "LimitNamed",
    "LimitUnreadable",
    "TargetAnswer",
    "TargetLoad",
]

Headers = tuple[tuple[bytes, bytes], ...]

#: Statuses by which callers take it that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_FIRST_REDIRECTION = 300
_FIRST_SERVER_ERROR = 500


@attrs.frozen
class CallerRequest:
    """One attempt of a caller's request.

    :param request_id: unique id of the attempt, empty if the caller sent none
    :param object_key: affinity key, shared by the requests for one object; empty if there is none
    :param time_left: time from its arrival until the caller's deadline, or None if it sent none
    :param headers: the headers to forward, with lower-case names
    :param api_key: the key in its ``Authorization`` header, or None; never logged
    :param organisation: name of the organisation that holds the key, empty if there is none or the
        key was not checked
    :param waited: time from its first bytes until its turn to be handled
    """

    request_id: str
    host: str
    method: str
    path: str
    object_key: str
    time_left: timedelta | None
    headers: Headers = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    api_key: str | None = attrs.field(default=None, repr=False)
    organisation: str = ""
    waited: timedelta = timedelta()


@attrs.frozen
class TargetLoad:
    """The load that a target reports with an answer.

    :param running: requests that it runs
    :param waiting: requests in its queue
    :param slots: number of requests that it runs at once
    :param time_factor: service time at this moment relative to the usual one, None if not reported
    """

    running: int
    waiting: int
    slots: int
    time_factor: float | None = None


@attrs.frozen
class LimitNamed:
    """An answer names a limit.

    :param rate: requests/s that the target takes from all VMs together
    """

    rate: float


@attrs.frozen
class LimitAbsent:
    """An answer names no limit."""


@attrs.frozen
class LimitUnreadable:
    """An answer names a limit that cannot be read."""

    text: str


AnswerLimit = LimitNamed | LimitAbsent | LimitUnreadable


@attrs.frozen
class TargetAnswer:
    """A target's complete answer.

    :param not_run: whether the target reports that it did not run the request
    :param address_reused: whether the answer came from another target at the same address
    :param load: the load that the target reported, or None
    :param keep_alive_timeout: the target's timeout of idle connections, or None if it sent none
    :param limit: what the answer says about the rate of requests that the target takes
    :param signed: whether it bears a signature, as each answer of a request that ran does
    """

    status: int
    headers: Headers
    body: bytes
    not_run: bool
    address_reused: bool
    load: TargetLoad | None
    keep_alive_timeout: timedelta | None
    limit: AnswerLimit = LimitAbsent()
    signed: bool = True

    @property
    def ran(self) -> bool:
        """Whether the target may have run the request."""
        return not (self.not_run or self.address_reused)

    @property
    def failed(self) -> bool:
        """Whether the target failed a request that it ran, also by a status of one not run."""
        return self.status >= _FIRST_SERVER_ERROR or self.status in NOT_RUN_STATUSES

    @property
    def unsigned_denial(self) -> bool:
        """Whether it redirects or denies the request and nothing shows that the target decided it.

        Callers do not send a request again after such a status.
        """
        return not self.signed and _FIRST_REDIRECTION <= self.status < _FIRST_SERVER_ERROR

    def may_be_returned(self, *, idempotent: bool) -> bool:
        """Return whether the caller of a request that the target ran may get the answer.

        A caller sends a request again after a status that promises that it was not run.

        :param idempotent: whether the request may run more than once
        """
        if self.unsigned_denial:
            return False
        return idempotent or self.status not in NOT_RUN_STATUSES
