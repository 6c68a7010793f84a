"""Forwards callers' requests to targets, with retries, and returns the final answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from carawayquay.errors import ErrorKind
from carawayquay.placement import NoCapacity
from carawayquay.retry_times import limited_retry_after, retry_after
from carawayquay.routes import Route
from carawayquay_gateway.admission import Admission, Admitted
from carawayquay_gateway.answers import CallerAnswers
from carawayquay_gateway.authentication import AuthenticationFailed, authenticate
from carawayquay_gateway.exchanges import (
    Answered,
    Attempt,
    AttemptEnd,
    Exchange,
    FailureAnswer,
    RequestCrashesTargets,
    Unanswered,
)
from carawayquay_gateway.service_choices import ServiceChoices
from carawayquay_platform import headers
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.crash_counts import CrashCounts
    from carawayquay.forwarding import CallerRequest
    from carawayquay.organisations import Organisation
    from carawayquay_gateway.peer_calls import PeerCaller
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.target_attempts import TargetAttempts
    from carawayquay_wire.connection_ends import ConnectionEnd
    from carawayquay_wire.http import HttpRequest, HttpResponse

__all__ = ["Forwarder"]

_log = EventLog("forwarder")

#: Assumed wait in seconds until a target has room, if no further retry is allowed.
_RETRY_WAIT = 0.1

#: Number of targets to which one request could not be sent, after which another VM is asked.
_MAX_UNREACHABLE = 2


class Forwarder:
    """Forwards callers' requests along their routes, and retries within the retry budget."""

    def __init__(
        self,
        state: GatewayState,
        attempts: TargetAttempts,
        peers: PeerCaller,
        crashes: CrashCounts,
        random: Random,
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._peers = peers
        self._crashes = crashes
        self._random = random
        self._answers = CallerAnswers(state)
        self._service_choices = ServiceChoices(random)
        self._admission = Admission(
            state, self._answers, self._service_choices, attempts, crashes, random
        )
        self._active = 0

    @property
    def active(self) -> int:
        """The number of callers' requests in flight."""
        return self._active

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a caller's request."""
        call = headers.parse_request(request)
        self._active += 1
        try:
            return await self._handle(call)
        except curio.TaskCancelled:
            stopping = self._state.stopping
            _log.info(Event.REQUEST_LEFT, id=call.request_id, stopping=stopping)
            raise
        except Exception:
            _log.error(Event.HANDLER_FAILED, id=call.request_id)
            return self._answers.request_error(
                call, ErrorKind.INTERNAL, "internal error of this VM"
            )
        finally:
            self._active -= 1

    def reject(self, status: int, reason: str) -> HttpResponse:
        """Return the answer to a request that violates the protocol or a limit."""
        return self._admission.reject(status, reason)

    def record_connection_end(self, cause: ConnectionEnd, response: HttpResponse | None) -> None:
        """Count and log a caller's connection that this VM ended.

        :param response: the answer that could not be sent, if any
        """
        self._answers.record_connection_end(cause, response)

    async def _handle(self, call: CallerRequest) -> HttpResponse:
        admitted = self._admission.admit(call)
        match admitted:
            case Admitted(exchange, organisation):
                if organisation is None:
                    return await self._forward(exchange)
                return await self._forward_within_quota(exchange, organisation)
        return admitted

    async def _forward_within_quota(
        self, exchange: Exchange, organisation: Organisation
    ) -> HttpResponse:
        """Forward a request that its organisation's quota admits; return the credit if none ran."""
        quotas = self._state.quotas
        over = quotas.admit(organisation, self._state.clock.now())
        if over is not None:
            reason = f'organisation "{organisation.name}" exceeds its quota'
            retry_delay = limited_retry_after(over.wait, self._random)
            return self._answers.exchange_error(
                exchange, ErrorKind.QUOTA_EXCEEDED, reason, retry_delay
            )
        answer = await self._forward(exchange)
        if not exchange.may_have_run:
            quotas.refund(organisation, self._state.clock.now())
        return answer

    async def _forward(self, exchange: Exchange) -> HttpResponse:
        """Send a request to one target after the other until there is a final answer."""
        while True:
            now = self._state.clock.now()
            if exchange.remaining(now) <= 0:
                return self._deadline_error(exchange)
            match await self._attempt(exchange):
                case NoCapacity() as refused:
                    exchange.limit_reached = refused.limit_reached
                    return self._final_error(exchange, refused.wait)
                case RequestCrashesTargets():
                    return self._crash_error(exchange)
                case AttemptEnd() as end:
                    answer = self._handle_end(exchange, end)
            if answer is not None:
                return answer
            if not self._apply_current_version(exchange) or not self._take_retry(exchange):
                return self._final_error(exchange, _RETRY_WAIT)

    async def _attempt(self, exchange: Exchange) -> AttemptEnd | NoCapacity | RequestCrashesTargets:
        """Send a request to one target, through another VM if this one reaches no target."""
        unreachable = len(exchange.unreachable_targets)
        if self._state.reach.cut_off or unreachable >= _MAX_UNREACHABLE:
            end = await self._peers.run(exchange)
            if end is not None:
                self._record_completion_at_peer(exchange, end)
                return end
        return await self._attempts.run(exchange)

    def _record_completion_at_peer(
        self, exchange: Exchange, end: AttemptEnd | NoCapacity | RequestCrashesTargets
    ) -> None:
        """Record that a request that was sent through another VM completed."""
        if (
            isinstance(end, AttemptEnd)
            and isinstance(end.result, Answered)
            and end.result.completed
        ):
            self._crashes.record_completion(exchange.fingerprint, self._state.clock.now())

    def _handle_end(self, exchange: Exchange, end: AttemptEnd) -> HttpResponse | None:
        """Return the caller's answer after an attempt, or None to try another target."""
        exchange.limit_reached = end.limit_reached
        match end.result:
            case Unanswered() as unanswered:
                if unanswered.sent:
                    exchange.sent += 1
                    exchange.may_have_run = True
                self._answers.log_failed_attempt(exchange, end.attempt, unanswered.outcome)
                return None
            case Answered() as answered:
                exchange.sent += 1
                return self._handle_answer(exchange, end.attempt, answered)

    def _apply_current_version(self, exchange: Exchange) -> bool:
        """Apply the configuration in force before a request is sent again.

        It may have changed the route's service or regions while a target held the request.

        :returns: whether that version still allows the request
        """
        configuration = self._state.configuration
        if configuration is None or configuration.version == exchange.version:
            return True
        route = configuration.find(exchange.call.host, exchange.call.path)
        if not isinstance(route, Route):
            return False
        caller = authenticate(exchange.call, route, configuration, exchange.call.organisation)
        if isinstance(caller, AuthenticationFailed):
            return False
        exchange.apply_version(caller.call, caller.route, configuration.version)
        if exchange.service not in {weighted.service for weighted in caller.route.services}:
            exchange.service = self._service_choices.next(caller.route, configuration)
        return True

    def _take_retry(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent to another target, and charge the retry budget.

        The budget is not charged while no target can have received the request.
        """
        if exchange.sent == 0:
            return len(exchange.tried_targets) <= exchange.route.max_attempts + 1
        if exchange.sent >= exchange.route.max_attempts:
            return False
        if exchange.may_have_run and not exchange.route.idempotent:
            return False
        now = self._state.clock.now()
        retries = self._state.service(exchange.service).retries
        if not retries.take(now, self._state.budget_sharers()):
            self._state.metrics.count("retries_refused_total", service=exchange.service)
            return False
        self._state.metrics.count("retries_total", service=exchange.service)
        return True

    def _handle_answer(
        self, exchange: Exchange, attempt: Attempt, answered: Answered
    ) -> HttpResponse | None:
        """Return the caller's answer after a target's, or None to try another target."""
        answer = answered.answer
        if not answer.ran:
            self._answers.log_failed_attempt(exchange, attempt, f"not-run-{answer.status}")
            return None
        exchange.may_have_run = True
        if answer.unsigned_denial:
            self._answers.log_failed_attempt(exchange, attempt, f"unsigned-{answer.status}")
            return None
        if not answer.failed:
            return self._answers.from_target(exchange, attempt, answer)
        return self._handle_failure(exchange, FailureAnswer(attempt, answer))

    def _handle_failure(self, exchange: Exchange, failure: FailureAnswer) -> HttpResponse | None:
        """Return the caller's answer after a target failed, or None to try another target.

        The answer is that of the target, unless the caller may not get it.
        """
        attempt, answer = failure.attempt, failure.answer
        if not answer.may_be_returned(idempotent=False):
            # The route's kind may have changed while the target ran the request.
            self._apply_current_version(exchange)
        exchange.target_failure = failure
        remaining = exchange.remaining(self._state.clock.now())
        retried = exchange.route.idempotent and remaining > attempt.work
        if not retried and answer.may_be_returned(idempotent=exchange.route.idempotent):
            return self._answers.from_target(exchange, attempt, answer)
        self._answers.log_failed_attempt(exchange, attempt, f"status-{answer.status}")
        return None if retried else self._final_error(exchange, None)

    def _crash_error(self, exchange: Exchange) -> HttpResponse:
        """Return the final answer to a request that crashes targets."""
        if exchange.may_have_run:
            return self._final_error(exchange, None)
        return self._answers.crash_error(exchange)

    def _deadline_error(self, exchange: Exchange) -> HttpResponse:
        """Return the final answer after the deadline."""
        kind = ErrorKind.TARGET_TIMEOUT if exchange.may_have_run else ErrorKind.TIMED_OUT_UNSENT
        return self._answers.exchange_error(exchange, kind, "deadline exceeded")

    def _final_error(self, exchange: Exchange, wait: float | None) -> HttpResponse:
        """Return the final answer to a request without a successful answer.

        :param wait: seconds until a target is expected to have room, or None if none is usable
        """
        now = self._state.clock.now()
        failure = exchange.target_failure
        idempotent = exchange.route.idempotent
        if failure is not None and failure.answer.may_be_returned(idempotent=idempotent):
            return self._answers.from_target(exchange, failure.attempt, failure.answer)
        if exchange.may_have_run:
            if exchange.remaining(now) <= 0:
                return self._deadline_error(exchange)
            return self._answers.exchange_error(
                exchange, ErrorKind.TARGET_FAILED, "no complete answer from a target"
            )
        if wait is None and exchange.limit_reached is not None:
            retry_delay = limited_retry_after(exchange.limit_reached.wait, self._random)
            return self._answers.exchange_error(
                exchange, ErrorKind.TARGET_LIMITED, "targets limit their requests", retry_delay
            )
        retry_delay = retry_after(wait, exchange.remaining(now), self._random)
        if wait is None:
            return self._answers.exchange_error(
                exchange, ErrorKind.NO_TARGET, "no usable target", retry_delay
            )
        return self._answers.exchange_error(
            exchange, ErrorKind.OVERLOADED, "no target has capacity in time", retry_delay
        )
