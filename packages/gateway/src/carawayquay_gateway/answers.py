"""Builds the answers to callers, and logs and counts each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.errors import ANSWERS, ErrorKind, Outcome
from carawayquay_platform import headers
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay.forwarding import CallerRequest, TargetAnswer
    from carawayquay_gateway.exchanges import Attempt, Exchange
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.connection_ends import ConnectionEnd
    from carawayquay_wire.http import HttpResponse

__all__ = ["CallerAnswers"]

_log = EventLog("answers")

#: Refusal kind for each status with which the HTTP server rejects a request.
_REJECTION_KINDS = {
    408: ErrorKind.SLOW_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    503: ErrorKind.OVERLOADED,
}


class CallerAnswers:
    """Builds, logs and counts the answers to callers."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def from_target(
        self, exchange: Exchange, attempt: Attempt, answer: TargetAnswer
    ) -> HttpResponse:
        """Return the caller's answer for a target's answer, and log it with its latency."""
        seconds = exchange.elapsed(self._state.clock.now())
        self._state.metrics.record("request_seconds", seconds, service=exchange.service)
        self._count(answer.status, "target" if answer.signed else "unsigned")
        _log.info(
            Event.REQUEST_ANSWERED,
            id=exchange.call.request_id,
            route=exchange.route.name,
            **_organisation_field(exchange.call),
            service=exchange.service,
            version=exchange.version,
            key=exchange.call.object_key,
            status=answer.status,
            ms=int(seconds * 1000),
            sent=exchange.sent,
            known_ms=self._state.knowledge.age_ms(),
            **({} if answer.signed else {"signed": False}),
            **self._attempt_fields(attempt),
            **self._limit_fields(exchange),
        )
        return headers.caller_response(answer)

    def log_failed_attempt(self, exchange: Exchange, attempt: Attempt, outcome: str) -> None:
        """Log and count an attempt that gave no final answer.

        :param outcome: reason of the failure, as it appears in logs and metrics
        """
        self._state.metrics.count("attempts_failed_total", outcome=outcome)
        _log.info(
            Event.REQUEST_RETRIED,
            id=exchange.call.request_id,
            version=exchange.version,
            outcome=outcome,
            ms=int(exchange.elapsed(self._state.clock.now()) * 1000),
            known_ms=self._state.knowledge.age_ms(),
            **self._attempt_fields(attempt),
            **self._limit_fields(exchange),
        )

    def exchange_error(
        self, exchange: Exchange, kind: ErrorKind, reason: str, retry_delay: float | None = None
    ) -> HttpResponse:
        """Return an error answer to a request whose route is known.

        :param retry_delay: seconds for the retry-after header, or None to leave it out
        """
        reason = f"{exchange.service}: {reason}"
        return self.request_error(
            exchange.call,
            kind,
            reason,
            retry_delay,
            exchange.route.name,
            version=exchange.version,
            **self._limit_fields(exchange),
        )

    def crash_error(self, exchange: Exchange) -> HttpResponse:
        """Return an error answer to a request that no target gets, as equal ones crash targets."""
        return self.exchange_error(
            exchange, ErrorKind.CRASHES_TARGETS, "equal requests crashed targets"
        )

    def request_error(
        self,
        call: CallerRequest,
        kind: ErrorKind,
        reason: str,
        retry_delay: float | None = None,
        route: str = "",
        **fields: object,
    ) -> HttpResponse:
        """Return an error answer that no target produced.

        :param retry_delay: seconds for the retry-after header, or None to leave it out
        :param fields: further pairs of the log line
        """
        answer = ANSWERS[kind]
        self._state.metrics.count_refusal(kind)
        self._count(answer.status, "own")
        not_run = answer.outcome is Outcome.NOT_RUN
        _log.info(
            Event.REQUEST_REFUSED if not_run else Event.REQUEST_FAILED,
            id=call.request_id,
            route=route,
            **_organisation_field(call),
            kind=kind.value,
            status=answer.status,
            reason=reason,
            retry_after=None if retry_delay is None else round(retry_delay, 3),
            known_ms=self._state.knowledge.age_ms(),
            **fields,
        )
        return headers.refusal_response(kind, answer.status, call.request_id, retry_delay)

    def record_connection_end(self, cause: ConnectionEnd, response: HttpResponse | None) -> None:
        """Count a caller's connection that this VM ended, and log the answer that was lost."""
        self._state.metrics.count("caller_connections_ended_total", cause=cause.value)
        if response is not None:
            _log.warning(
                Event.ANSWER_UNDELIVERED,
                id=headers.request_id(response),
                status=response.status,
                cause=cause.value,
            )

    def _count(self, status: int, source: str) -> None:
        """Count an answer.

        :param source: who decided it: ``own`` for this VM, ``target``, or ``unsigned`` for an
            answer that came from a target without its signature
        """
        self._state.metrics.count("answers_total", status=str(status), source=source)

    def _attempt_fields(self, attempt: Attempt) -> dict[str, object]:
        """Return the log pairs that describe an attempt, with the VM through which it went."""
        fields = {
            "target": attempt.target,
            "domain": attempt.domain,
            "wait_ms": int(attempt.wait * 1000),
            "work_ms": int(attempt.work * 1000),
            "warm": attempt.warm,
        }
        if attempt.peer:
            return fields | {"peer": attempt.peer}
        return fields | {"running": self._state.running(attempt.target)}

    def _limit_fields(self, exchange: Exchange) -> dict[str, object]:
        """Return the log pairs that name the limit which kept a request from a target, if any."""
        reached = exchange.limit_reached
        if reached is None:
            return {}
        return {
            "limited_by": reached.target,
            "limit": round(reached.limit.rate, 3),
            "limit_age_ms": int(reached.limit.age * 1000),
            "limit_share": round(reached.limit.share, 4),
        }

    def reject(
        self,
        status: int,
        reason: str,
        kind: ErrorKind | None = None,
        retry_delay: float | None = None,
    ) -> HttpResponse:
        """Return the answer to a request that violates the protocol or a limit.

        :param kind: the kind of refusal, that of the status if None
        :param retry_delay: seconds for the retry-after header, or None to leave it out
        """
        kind = kind or _REJECTION_KINDS.get(status, ErrorKind.MALFORMED)
        self._state.metrics.count_refusal(kind)
        self._count(status, "own")
        _log.info(Event.REQUEST_REFUSED, id="", kind=kind.value, status=status, reason=reason)
        return headers.refusal_response(kind, status, "", retry_delay)


def _organisation_field(call: CallerRequest) -> dict[str, str]:
    """Return the log pair that names the organisation of a request, none if it has none."""
    return {"organisation": call.organisation} if call.organisation else {}
