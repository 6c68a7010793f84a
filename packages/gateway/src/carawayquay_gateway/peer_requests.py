"""Serves requests that other entry VMs send through this VM, since they reach no target."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.errors import FrameError
from carawayquay.placement import NoCapacity
from carawayquay.request_fingerprints import request_fingerprint
from carawayquay.routes import Route
from carawayquay.weighted_choice import WeightedChoice
from carawayquay_gateway.authentication import AuthenticationFailed, authenticate
from carawayquay_gateway.exchanges import Answered, Exchange, Unanswered
from carawayquay_gateway.peer_messages import (
    AnsweredForPeer,
    FailedForPeer,
    RefusalReason,
    RefusedForPeer,
    decode_request,
    encode_answer,
)
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay.crash_counts import CrashCounts
    from carawayquay_gateway.exchanges import AttemptEnd
    from carawayquay_gateway.peer_messages import PeerAnswer, PeerRequest
    from carawayquay_gateway.state import GatewayState
    from carawayquay_gateway.target_attempts import TargetAttempts
    from carawayquay_wire.http import HttpRequest, HttpResponse

__all__ = ["PeerRequestApi"]

_log = EventLog("peer-requests")

#: Number of targets that are tried for one request while no connection to them can be opened.
_MAX_UNREACHABLE = 3

#: Status with which the server rejects connections above the limit.
_TOO_MANY_CONNECTIONS_STATUS = 503

#: Part of the remaining time that is reserved for returning the answer to the other VM.
_ANSWER_MARGIN = timedelta(milliseconds=10)


class PeerRequestApi:
    """Sends each request of another VM to one target, or refuses it.

    It never sends a request through a third VM, so that none goes round in circles. The other VM
    counts the request, decides on retries and charges them.
    """

    def __init__(
        self, state: GatewayState, attempts: TargetAttempts, crashes: CrashCounts, random: Random
    ) -> None:
        self._state = state
        self._random = random
        self._attempts = attempts
        self._crashes = crashes
        self._active = 0

    @property
    def active(self) -> int:
        """The number of other VMs' requests in flight."""
        return self._active

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Return the answer to another VM's request."""
        try:
            request = decode_request(message)
        except FrameError as error:
            _log.warning(Event.REPORT_REFUSED, peer=message.peer, reason=error)
            return encode_answer(RefusedForPeer(RefusalReason.INVALID))
        self._active += 1
        try:
            answer = await self._serve(request)
        except curio.TaskCancelled:
            _log.info(Event.REQUEST_LEFT, id=request.call.request_id, sender=request.sender)
            raise
        except Exception:
            _log.error(Event.HANDLER_FAILED, id=request.call.request_id, sender=request.sender)
            answer = FailedForPeer("", "", False)
        finally:
            self._active -= 1
        self._note(request, answer)
        return encode_answer(answer)

    def reject(self, status: int, _reason: str) -> HttpResponse:
        """Return the answer to a message that violates HTTP or a limit, and is not handled."""
        busy = status == _TOO_MANY_CONNECTIONS_STATUS
        return encode_answer(RefusedForPeer(RefusalReason.BUSY if busy else RefusalReason.INVALID))

    async def _serve(self, request: PeerRequest) -> PeerAnswer:
        now = self._state.clock.now()
        prepared = self._prepare(request, now)
        if isinstance(prepared, RefusalReason):
            return RefusedForPeer(prepared)
        for _ in range(_MAX_UNREACHABLE):
            if self._state.reach.cut_off:
                return RefusedForPeer(RefusalReason.CUT_OFF)
            end = await self._attempts.run(prepared)
            if isinstance(end, NoCapacity):
                return RefusedForPeer(RefusalReason.NO_CAPACITY, _wait(end))
            answer = _answer_for_peer(end)
            if answer is not None:
                return answer
        return RefusedForPeer(RefusalReason.UNREACHABLE)

    def _prepare(self, request: PeerRequest, now: timedelta) -> Exchange | RefusalReason:
        """Return the state of a request, or the reason to refuse it."""
        state = self._state
        configuration = state.configuration
        if state.reach.cut_off:
            return RefusalReason.CUT_OFF
        if configuration is None or configuration.version < request.version:
            return RefusalReason.BEHIND
        route = configuration.find(request.call.host, request.call.path)
        if not isinstance(route, Route):
            return RefusalReason.NO_ROUTE
        caller = authenticate(request.call, route, configuration, request.organisation)
        if isinstance(caller, AuthenticationFailed):
            return RefusalReason.NO_ROUTE
        route = caller.route
        service = request.service
        if service not in {weighted.service for weighted in route.services}:
            # The route was moved since the sender's version.
            service = WeightedChoice(route.services, self._random.random()).next()
        arrived = now - request.call.waited
        deadline = arrived + min(request.remaining, route.timeout) - _ANSWER_MARGIN
        if deadline <= now:
            return RefusalReason.NO_CAPACITY
        if state.planned_stop is not None and not state.planned_stop.admits(deadline, now):
            return RefusalReason.STOPPING
        fingerprint = request_fingerprint(caller.call)
        if self._crashes.refused(fingerprint, now):
            return RefusalReason.CRASHES_TARGETS
        return Exchange(
            caller.call,
            route,
            service,
            configuration.version,
            arrived - request.elapsed,
            deadline,
            fingerprint,
            set(request.tried),
        )

    def _note(self, request: PeerRequest, answer: PeerAnswer) -> None:
        """Log and count a request of another VM with its outcome."""
        match answer:
            case AnsweredForPeer():
                outcome, target = f"status-{answer.answer.status}", answer.target
            case FailedForPeer():
                outcome, target = "timeout" if answer.timed_out else "broken", answer.target
            case RefusedForPeer():
                outcome, target = answer.reason.value, ""
        self._state.metrics.count("requests_of_peers_total", outcome=outcome)
        _log.info(
            Event.PEER_SERVED,
            id=request.call.request_id,
            sender=request.sender,
            version=request.version,
            service=request.service,
            target=target,
            outcome=outcome,
            elapsed_ms=int(request.elapsed / timedelta(milliseconds=1)),
            remaining_ms=int(request.remaining / timedelta(milliseconds=1)),
        )


def _wait(refused: NoCapacity) -> float | None:
    """Return the seconds until a target has room or its limit admits a request."""
    if refused.wait is None and refused.limit_reached is not None:
        return refused.limit_reached.wait
    return refused.wait


def _answer_for_peer(end: AttemptEnd) -> PeerAnswer | None:
    """Return the answer to another VM after an attempt, or None if no target received it."""
    attempt = end.attempt
    match end.result:
        case Answered(answer):
            return AnsweredForPeer(
                answer, attempt.target, attempt.domain, attempt.wait, attempt.work, attempt.warm
            )
        case Unanswered(True, timed_out):
            return FailedForPeer(attempt.target, attempt.domain, timed_out)
        case _:
            return None
