"""Decides which callers' requests may be forwarded, and answers the others."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.errors import ANSWERS, ErrorKind
from carawayquay.request_fingerprints import request_fingerprint
from carawayquay.retry_times import retry_after
from carawayquay.routes import Route, UnreadRoutes
from carawayquay.shedding import waited_too_long
from carawayquay_gateway.authentication import (
    Authenticated,
    AuthenticationFailed,
    authenticate,
)
from carawayquay_gateway.exchanges import Exchange

if TYPE_CHECKING:
    from random import Random

    from carawayquay.crash_counts import CrashCounts
    from carawayquay.forwarding import CallerRequest
    from carawayquay.organisations import Organisation
    from carawayquay.routes import Configuration
    from carawayquay_gateway.answers import CallerAnswers
    from carawayquay_gateway.service_choices import ServiceChoices
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.target_attempts import TargetAttempts
    from carawayquay_wire.http import HttpResponse

__all__ = ["Admission", "Admitted"]

#: Retry-after seconds of a VM without a configuration.
_UNCONFIGURED_RETRY = 1.0

#: Retry-after seconds for a route or an organisation that could not be read, which an operator
#: has to correct.
_UNREAD_PART_RETRY = 2.0

#: Retry-after seconds of a VM that stops, after which callers use another one.
_STOPPING_RETRY = 0.05

#: Statuses of requests whose body or headers exceed the limit.
_SIZE_STATUSES = frozenset({413, 431})

#: Part of the caller's deadline that is reserved for returning the final answer.
_ANSWER_MARGIN = timedelta(milliseconds=15)


@attrs.frozen
class Admitted:
    """A request that may be forwarded.

    :param organisation: the organisation whose quota has to admit it, or None
    """

    exchange: Exchange
    organisation: Organisation | None


class Admission:
    """Checks requests against the configuration, the planned stop and the crashes of targets."""

    def __init__(
        self,
        state: GatewayState,
        answers: CallerAnswers,
        service_choices: ServiceChoices,
        attempts: TargetAttempts,
        crashes: CrashCounts,
        random: Random,
    ) -> None:
        self._state = state
        self._answers = answers
        self._service_choices = service_choices
        self._attempts = attempts
        self._crashes = crashes
        self._random = random

    def admit(self, call: CallerRequest) -> Admitted | HttpResponse:
        """Return a request that may be forwarded, or the answer to another one.

        What is admitted holds its route but not the configuration, of which many versions may come
        while targets run requests.
        """
        configuration = self._state.configuration
        if configuration is None:
            return self._unconfigured_error(call)
        route = configuration.find(call.host, call.path)
        if not isinstance(route, Route):
            return self._route_error(call, route, configuration)
        caller = authenticate(call, route, configuration)
        if isinstance(caller, AuthenticationFailed):
            return self._authentication_error(call, route, configuration, caller)
        now = self._state.clock.now()
        exchange = self._new_exchange(caller, configuration, now)
        refusal = self._refusal(exchange, now)
        return Admitted(exchange, caller.organisation) if refusal is None else refusal

    def reject(self, status: int, reason: str) -> HttpResponse:
        """Return the answer to a request that violates the protocol or a limit.

        Without a configuration, no limit of sizes is known to be exceeded.
        """
        if self._state.configuration is None and status in _SIZE_STATUSES:
            kind = ErrorKind.UNCONFIGURED
            return self._answers.reject(ANSWERS[kind].status, reason, kind, _UNCONFIGURED_RETRY)
        return self._answers.reject(status, reason)

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

    def _refusal(self, exchange: Exchange, now: timedelta) -> HttpResponse | None:
        """Return the answer to a request that its route allows and this VM refuses, or None."""
        waited = exchange.call.waited
        if waited_too_long(waited, exchange.route.target_latency):
            retry_delay = retry_after(waited.total_seconds(), exchange.remaining(now), self._random)
            return self._answers.exchange_error(
                exchange, ErrorKind.OVERLOADED, "this VM has too many requests", retry_delay
            )
        stop = self._state.planned_stop
        if stop is not None and not stop.admits(exchange.deadline, now):
            return self._answers.exchange_error(
                exchange, ErrorKind.STOPPING, "this VM stops before the deadline", _STOPPING_RETRY
            )
        if self._crashes.refused(exchange.fingerprint, now):
            return self._answers.crash_error(exchange)
        return None

    def _unconfigured_error(self, call: CallerRequest) -> HttpResponse:
        """Return the answer to a request that came before the first configuration."""
        self._state.refused_unconfigured = True
        reason = "no configuration received yet"
        return self._answers.request_error(
            call, ErrorKind.UNCONFIGURED, reason, _UNCONFIGURED_RETRY
        )

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
