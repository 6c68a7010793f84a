"""Forwards callers' requests to targets, with retries, and returns the final answers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.crash_counts import CrashCounts, request_fingerprint
from carawayquay.errors import ErrorKind
from carawayquay.placement import NoCapacity, Placement
from carawayquay.retry_times import limited_retry_after, retry_after
from carawayquay.routes import UnreadRoutes
from carawayquay.weighted_choice import WeightedChoice
from carawayquay_gateway.answers import CallerAnswers
from carawayquay_gateway.exchanges import Exchange, FailureAnswer
from carawayquay_gateway.observations import Observations
from carawayquay_gateway.target_calls import Answered, TargetCaller, Unanswered
from carawayquay_platform import headers
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.forwarding import CallerRequest
    from carawayquay.routes import Route
    from carawayquay.warm_gossip import WarmGossip
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.selection import Selection
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.connection_ends import ConnectionEnd
    from carawayquay_wire.http import HttpRequest, HttpResponse

__all__ = ["Forwarder"]

_log = EventLog("forwarder")

#: Part of the caller's deadline that is reserved for returning the final answer.
_ANSWER_MARGIN = timedelta(milliseconds=15)

#: Retry-after seconds of a VM without a configuration.
_UNCONFIGURED_RETRY = 1.0

#: Retry-after seconds for a route that could not be read, which an operator has to correct.
_UNREAD_ROUTE_RETRY = 2.0

#: Retry-after seconds of a VM that stops, after which callers use another one.
_STOPPING_RETRY = 0.05

#: Assumed wait in seconds until a target has room, if no further retry is allowed.
_RETRY_WAIT = 0.1

_SERVER_ERROR = 500


class Forwarder:
    """Forwards callers' requests along their routes, and retries within the retry budget."""

    def __init__(
        self,
        state: GatewayState,
        selection: Selection,
        crashes: CrashCounts,
        warm: WarmGossip,
        round_trips: RoundTrips,
        random: Random,
    ) -> None:
        self._state = state
        self._selection = selection
        self._crashes = crashes
        self._random = random
        self._targets = TargetCaller(state, crashes, round_trips)
        self._observations = Observations(state, warm)
        self._answers = CallerAnswers(state)
        self._service_choices: dict[str, tuple[Route, WeightedChoice]] = {}
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
            _log.info(Event.REQUEST_LEFT, id=call.request_id)
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
        return self._answers.reject(status, reason)

    def record_connection_end(self, cause: ConnectionEnd, response: HttpResponse | None) -> None:
        """Count and log a caller's connection that this VM ended.

        :param response: the answer that could not be sent, if any
        """
        self._answers.record_connection_end(cause, response)

    async def _handle(self, call: CallerRequest) -> HttpResponse:
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
        if route is None:
            reason = f"no route matches in configuration version {configuration.version}"
            return self._answers.request_error(
                call, ErrorKind.UNKNOWN_ROUTE, reason, version=configuration.version
            )
        if isinstance(route, UnreadRoutes):
            reason = f"the route in configuration version {configuration.version} is invalid"
            return self._answers.request_error(
                call,
                ErrorKind.UNREAD_ROUTE,
                reason,
                _UNREAD_ROUTE_RETRY,
                version=configuration.version,
            )
        service = self._service_choice(route).next()
        state.service(service).count_request(now, route.priority)
        self._selection.count_request()
        remaining = route.timeout if call.time_left is None else min(route.timeout, call.time_left)
        deadline = now + remaining - _ANSWER_MARGIN
        fingerprint = request_fingerprint(call)
        version = configuration.version
        exchange = Exchange(call, route, service, version, now, deadline, fingerprint)
        stop = state.planned_stop
        if stop is not None and not stop.admits(deadline, now):
            return self._answers.exchange_error(
                exchange, ErrorKind.STOPPING, "this VM stops before the deadline", _STOPPING_RETRY
            )
        if self._crashes.refused(exchange.fingerprint, now):
            return self._answers.exchange_error(
                exchange, ErrorKind.CRASHES_TARGETS, "equal requests crashed targets"
            )
        return await self._forward(exchange)

    async def _forward(self, exchange: Exchange) -> HttpResponse:
        """Send a request to one target after the other until there is a final answer."""
        while True:
            now = self._state.clock.now()
            if exchange.remaining(now) <= 0:
                return self._deadline_error(exchange)
            match self._select(exchange, now):
                case NoCapacity() as refused:
                    exchange.limit_reached = refused.limit_reached
                    return self._final_error(exchange, refused.wait)
                case Placement() as placed:
                    exchange.limit_reached = placed.limit_reached
                    answer = await self._send(exchange, placed)
            if answer is not None:
                return answer
            if not self._take_retry(exchange):
                return self._final_error(exchange, _RETRY_WAIT)

    def _select(self, exchange: Exchange, now: timedelta) -> Placement | NoCapacity:
        return self._selection.select(
            exchange.route,
            exchange.service,
            exchange.call.object_key,
            exchange.elapsed(now),
            exchange.remaining(now),
            exchange.tried_targets,
        )

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

    async def _send(self, exchange: Exchange, placed: Placement) -> HttpResponse | None:
        """Send a request to one target; return the caller's answer, or None to try another."""
        target = placed.target
        remaining = exchange.deadline - self._state.clock.now()
        request = headers.target_request(exchange.call, target.name, remaining)
        ran_before = exchange.may_have_run
        exchange.tried_targets.add(target.name)
        exchange.sent += 1
        exchange.may_have_run = True
        match await self._targets.call(target, request, remaining, exchange.fingerprint):
            case Unanswered() as unanswered:
                if not unanswered.sent:
                    exchange.sent -= 1
                    exchange.may_have_run = ran_before
                self._answers.log_failed_attempt(exchange, placed, unanswered.outcome)
                return None
            case Answered() as answered:
                if answered.answer.not_run or answered.answer.address_reused:
                    exchange.may_have_run = ran_before
                return self._handle_answer(exchange, placed, answered)

    def _handle_answer(
        self, exchange: Exchange, placed: Placement, answered: Answered
    ) -> HttpResponse | None:
        """Record a target's answer; return the caller's answer, or None to try another target."""
        now = self._state.clock.now()
        answer = answered.answer
        stats = self._state.stats(placed.target.name)
        if answer.not_run or answer.address_reused:
            stats.shed(now)
            self._answers.log_failed_attempt(exchange, placed, f"not-run-{answer.status}")
            return None
        self._crashes.record_completion(exchange.fingerprint)
        if answer.status < _SERVER_ERROR:
            self._observations.record(exchange, placed, answered)
            return self._answers.from_target(exchange, placed, answer)
        stats.shed(now)
        if exchange.route.idempotent and exchange.remaining(now) > placed.work:
            exchange.target_failure = FailureAnswer(placed, answer)
            self._answers.log_failed_attempt(exchange, placed, f"status-{answer.status}")
            return None
        return self._answers.from_target(exchange, placed, answer)

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
            target_failure = exchange.target_failure
            return self._answers.from_target(exchange, target_failure.placed, target_failure.answer)
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

    def _service_choice(self, route: Route) -> WeightedChoice:
        """Return the weighted choice among a route's services, rebuilt when they change."""
        known = self._service_choices.get(route.name)
        if known is not None and known[0].services == route.services:
            return known[1]
        choice = WeightedChoice(route.services, self._random.random())
        self._service_choices[route.name] = (route, choice)
        return choice
