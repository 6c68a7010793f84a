"""Forwards callers' requests to targets, with retries, and returns the final answers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.crash_counts import request_fingerprint
from carawayquay.errors import ANSWERS, ErrorKind
from carawayquay.placement import NoCapacity
from carawayquay.retry_times import limited_retry_after, retry_after
from carawayquay.routes import Route, UnreadRoutes
from carawayquay.shedding import waited_too_long
from carawayquay_gateway.answers import CallerAnswers
from carawayquay_gateway.authentication import (
    Authenticated,
    AuthenticationFailed,
    authenticate,
)
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
    from carawayquay.routes import Configuration
    from carawayquay_gateway.peer_calls import PeerCaller
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.target_attempts import TargetAttempts
    from carawayquay_wire.connection_ends import ConnectionEnd
    from carawayquay_wire.http import HttpRequest, HttpResponse

__all__ = ["Forwarder"]

_log = EventLog("forwarder")

#: Part of the caller's deadline that is reserved for returning the final answer.
_ANSWER_MARGIN = timedelta(milliseconds=15)

#: Retry-after seconds of a VM without a configuration.
_UNCONFIGURED_RETRY = 1.0

#: Retry-after seconds for a route or an organisation that could not be read, which an operator
#: has to correct.
_UNREAD_PART_RETRY = 2.0

#: Retry-after seconds of a VM that stops, after which callers use another one.
_STOPPING_RETRY = 0.05

#: Assumed wait in seconds until a target has room, if no further retry is allowed.
_RETRY_WAIT = 0.1

#: Number of targets to which one request could not be sent, after which another VM is asked.
_MAX_UNREACHABLE = 2

_SERVER_ERROR = 500

#: Statuses of requests whose body or headers exceed the limit.
_SIZE_STATUSES = frozenset({413, 431})


@attrs.frozen
class _Admitted:
    """A request that may be forwarded.

    :param organisation: the organisation whose quota has to admit it, or None
    """

    exchange: Exchange
    organisation: Organisation | None


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
        """Return the answer to a request that violates the protocol or a limit.

        Without a configuration, no limit of sizes is known to be exceeded.
        """
        if self._state.configuration is None and status in _SIZE_STATUSES:
            kind = ErrorKind.UNCONFIGURED
            return self._answers.reject(ANSWERS[kind].status, reason, kind, _UNCONFIGURED_RETRY)
        return self._answers.reject(status, reason)

    def record_connection_end(self, cause: ConnectionEnd, response: HttpResponse | None) -> None:
        """Count and log a caller's connection that this VM ended.

        :param response: the answer that could not be sent, if any
        """
        self._answers.record_connection_end(cause, response)

    async def _handle(self, call: CallerRequest) -> HttpResponse:
        admitted = self._admit(call)
        match admitted:
            case _Admitted(exchange, None):
                return await self._forward(exchange)
            case _Admitted(exchange, organisation):
                return await self._forward_within_quota(exchange, organisation)
        return admitted

    def _admit(self, call: CallerRequest) -> _Admitted | HttpResponse:
        """Return a request that may be forwarded, or the answer to another one.

        What is admitted holds its route but not the configuration, of which many versions may come
        while targets run requests.
        """
        state = self._state
        now = state.clock.now()
        configuration = state.configuration
        if configuration is None:
            state.refused_unconfigured = True
            reason = "no configuration received yet"
            return self._answers.request_error(
                call, ErrorKind.UNCONFIGURED, reason, _UNCONFIGURED_RETRY
            )
        route = configuration.find(call.host, call.path)
        if not isinstance(route, Route):
            return self._route_error(call, route, configuration)
        caller = authenticate(call, route, configuration)
        if isinstance(caller, AuthenticationFailed):
            return self._authentication_error(call, route, configuration, caller)
        exchange = self._new_exchange(caller, configuration, now)
        if waited_too_long(call.waited, route.target_latency):
            retry_delay = retry_after(
                call.waited.total_seconds(), exchange.remaining(now), self._random
            )
            return self._answers.exchange_error(
                exchange, ErrorKind.OVERLOADED, "this VM has too many requests", retry_delay
            )
        stop = state.planned_stop
        if stop is not None and not stop.admits(exchange.deadline, now):
            return self._answers.exchange_error(
                exchange, ErrorKind.STOPPING, "this VM stops before the deadline", _STOPPING_RETRY
            )
        if self._crashes.refused(exchange.fingerprint, now):
            return self._crash_error(exchange)
        return _Admitted(exchange, caller.organisation)

    def _new_exchange(
        self, caller: Authenticated, configuration: Configuration, now: timedelta
    ) -> Exchange:
        """Choose the service of a request, count it, and return its state."""
        call, route = caller.call, caller.route
        service = self._service_choices.next(route, configuration)
        self._state.service(service).count_request(now, route.priority)
        self._attempts.count_request()
        allowed = route.timeout if call.time_left is None else min(route.timeout, call.time_left)
        arrived = now - call.waited
        deadline = arrived + allowed - _ANSWER_MARGIN
        fingerprint = request_fingerprint(call)
        return Exchange(call, route, service, configuration.version, arrived, deadline, fingerprint)

    def _route_error(
        self, call: CallerRequest, route: UnreadRoutes | None, configuration: Configuration
    ) -> HttpResponse:
        """Return the answer to a request that no route, or one that can't be read, matches."""
        version = configuration.version
        if route is None:
            reason = f"no route matches in configuration version {version}"
            newest = self._state.peers.newest_configuration(self._state.clock.now())
            return self._answers.request_error(
                call,
                ErrorKind.UNKNOWN_ROUTE,
                reason,
                version=version,
                newest_version=max(version, newest.version if newest is not None else 0),
            )
        reason = f"the route in configuration version {version} is invalid"
        return self._answers.request_error(
            call, ErrorKind.UNREAD_ROUTE, reason, _UNREAD_PART_RETRY, version=version
        )

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

    def _authentication_error(
        self,
        call: CallerRequest,
        route: Route,
        configuration: Configuration,
        failed: AuthenticationFailed,
    ) -> HttpResponse:
        """Return the answer to a request that no organisation's API key admits."""
        retryable = failed.kind is ErrorKind.UNREAD_ORGANISATION
        return self._answers.request_error(
            call,
            failed.kind,
            failed.reason,
            _UNREAD_PART_RETRY if retryable else None,
            route.name,
            version=configuration.version,
        )

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
        if not answered.ran:
            self._answers.log_failed_attempt(exchange, attempt, f"not-run-{answer.status}")
            return None
        exchange.may_have_run = True
        if answer.unsigned_denial:
            self._answers.log_failed_attempt(exchange, attempt, f"unsigned-{answer.status}")
            return None
        remaining = exchange.remaining(self._state.clock.now())
        failed = answer.status >= _SERVER_ERROR
        if failed and exchange.route.idempotent and remaining > attempt.work:
            exchange.target_failure = FailureAnswer(attempt, answer)
            self._answers.log_failed_attempt(exchange, attempt, f"status-{answer.status}")
            return None
        return self._answers.from_target(exchange, attempt, answer)

    def _crash_error(self, exchange: Exchange) -> HttpResponse:
        """Return the final answer to a request that crashes targets."""
        if exchange.may_have_run:
            return self._final_error(exchange, None)
        return self._answers.exchange_error(
            exchange, ErrorKind.CRASHES_TARGETS, "equal requests crashed targets"
        )

    def _deadline_error(self, exchange: Exchange) -> HttpResponse:
        """Return the final answer after the deadline."""
        kind = ErrorKind.TARGET_TIMEOUT if exchange.may_have_run else ErrorKind.TIMED_OUT_UNSENT
        return self._answers.exchange_error(exchange, kind, "deadline exceeded")

    def _final_error(self, exchange: Exchange, wait: float | None) -> HttpResponse:
        """Return the final answer to a request without a successful answer.

        :param wait: seconds until a target is expected to have room, or None if none is usable
        """
        now = self._state.clock.now()
        if exchange.target_failure is not None:
            failure = exchange.target_failure
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
