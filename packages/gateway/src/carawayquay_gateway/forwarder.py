"""Carries each caller's request to a target and the target's answer back."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.crash_counts import CrashCounts, request_fingerprint
from carawayquay.errors import ANSWERS, ErrorKind, Outcome
from carawayquay.load_reports import short_hash
from carawayquay.placement import Placed, Refused
from carawayquay.refusals import retry_after
from carawayquay.weighted_choice import WeightedChoice
from carawayquay_platform import headers
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from random import Random

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.forwarding import CallerRequest, TargetAnswer
    from carawayquay.membership import Address
    from carawayquay.routes import Route
    from carawayquay.warm_news import WarmNews
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.selection import Selection
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.http import HttpRequest, HttpResponse

__all__ = ["Forwarder"]

_log = EventLog("forwarder")

#: An idle connection to a target is not used longer than this part of the time that it states.
_IDLE_PART = 0.6
_MAX_IDLE = timedelta(seconds=4)

#: Time kept back from the caller's, in which the final answer reaches it.
_ANSWER_MARGIN = timedelta(milliseconds=15)

#: How long a target that another one replaced at its address is left alone.
_MISPLACED_FOR = timedelta(seconds=5)

_CHECK_SECONDS = 0.4

#: Below this part of the time for a cold object, the target must have been warm for it.
_WARM_BY_TIME = 0.6
_SERVER_ERROR = 500


@attrs.define
class _Exchange:
    """One caller's request while it is carried.

    :param started: when it was read
    :param ends: when its final answer is due
    :param tried: targets that got it or could not be reached
    :param sent: the number of targets that may have got it
    :param may_have_run: whether a target may have begun to run it
    """

    call: CallerRequest
    route: Route
    service: str
    started: timedelta
    ends: timedelta
    fingerprint: int
    tried: set[str] = attrs.field(factory=set)
    sent: int = 0
    may_have_run: bool = False
    last_answer: TargetAnswer | None = None

    def elapsed(self, now: timedelta) -> float:
        """Return the seconds since it was read."""
        return (now - self.started).total_seconds()

    def left(self, now: timedelta) -> float:
        """Return the seconds until its final answer is due."""
        return (self.ends - now).total_seconds()


class Forwarder:
    """Answers the requests of callers."""

    def __init__(
        self,
        state: GatewayState,
        selection: Selection,
        crashes: CrashCounts,
        warm: WarmNews,
        round_trips: RoundTrips,
        random: Random,
    ) -> None:
        self._state = state
        self._selection = selection
        self._crashes = crashes
        self._warm = warm
        self._round_trips = round_trips
        self._random = random
        self._choices: dict[str, tuple[Route, WeightedChoice]] = {}
        self._domains: dict[Address, str] = {}
        self._http = HttpClient(clock=state.clock, dialled=self._note_dialled)
        self._idle_lives: dict[str, timedelta] = {}
        self._active = 0

    @property
    def active(self) -> int:
        """The number of requests that are being carried."""
        return self._active

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller's request."""
        self._active += 1
        try:
            call = headers.read_request(request)
            return await self._handle(call)
        except curio.TaskCancelled:
            _log.info(Event.REQUEST_LEFT, id=call.request_id)
            raise
        except Exception:
            _log.error(Event.HANDLER_FAILED, id=call.request_id)
            return self._refuse(call, ErrorKind.INTERNAL, "fault of this process", None)
        finally:
            self._active -= 1

    def reject(self, status: int, reason: str) -> HttpResponse:
        """Return the answer to a request that broke the protocol or a limit."""
        kind = {
            408: ErrorKind.SLOW_REQUEST,
            413: ErrorKind.BODY_TOO_LARGE,
            431: ErrorKind.HEADERS_TOO_LARGE,
            503: ErrorKind.OVERLOADED,
        }.get(status, ErrorKind.MALFORMED)
        _log.info(Event.REQUEST_REFUSED, id="", kind=kind.value, reason=reason)
        return headers.refusal(kind, status, "", None)

    async def _handle(self, call: CallerRequest) -> HttpResponse:
        state = self._state
        now = state.clock.now()
        if state.configuration is None:
            return self._refuse(call, ErrorKind.UNCONFIGURED, "no configuration is known", 1.0)
        route = state.configuration.find(call.host, call.path)
        if route is None:
            version = state.configuration.version
            return self._refuse(
                call, ErrorKind.UNKNOWN_ROUTE, f"no route in version {version}", None
            )
        service = self._choice(route).next()
        state.service(service).count_request(now)
        self._selection.count_request()
        left = route.timeout if call.time_left is None else min(route.timeout, call.time_left)
        exchange = _Exchange(
            call, route, service, now, now + left - _ANSWER_MARGIN, request_fingerprint(call)
        )
        if self._crashes.refused(exchange.fingerprint, now):
            return self._refuse(call, ErrorKind.CRASHES_TARGETS, "crashed targets", None)
        return await self._carry(exchange)

    async def _carry(self, exchange: _Exchange) -> HttpResponse:
        """Send a request to targets until there is a final answer."""
        refused: Refused | None = None
        while True:
            now = self._state.clock.now()
            if exchange.left(now) <= 0:
                return self._finish_late(exchange)
            placed = self._selection.select(
                exchange.route,
                exchange.service,
                exchange.call.object_key,
                exchange.elapsed(now),
                exchange.left(now),
                exchange.tried,
            )
            if isinstance(placed, Refused):
                refused = placed
                break
            answer = await self._send(exchange, placed)
            if answer is not None:
                return answer
            if not self._may_retry(exchange):
                break
        return self._finish_unanswered(exchange, refused)

    def _may_retry(self, exchange: _Exchange) -> bool:
        """Take a retry for a request that got no good answer, if it may have one."""
        if exchange.sent == 0:
            return len(exchange.tried) <= exchange.route.max_attempts + 1
        if exchange.sent >= exchange.route.max_attempts:
            return False
        if exchange.may_have_run and not exchange.route.idempotent:
            return False
        now = self._state.clock.now()
        retries = self._state.service(exchange.service).retries
        if not retries.take(now, self._state.peers.known):
            self._state.metrics.count("retries_refused_total", service=exchange.service)
            return False
        self._state.metrics.count("retries_total", service=exchange.service)
        return True

    async def _send(self, exchange: _Exchange, placed: Placed) -> HttpResponse | None:
        """Send a request to one target; return the caller's answer, or None if there is none."""
        target = placed.target
        state = self._state
        stats = state.stats(target.name)
        exchange.tried.add(target.name)
        self._domains[target.address] = target.domain
        now = state.clock.now()
        left = exchange.ends - now
        request = headers.target_request(exchange.call, target.name, left)
        if state.targets.cold(target.name, now):
            state.cold_rates.count(target.name, now)
        stats.running += 1
        exchange.sent += 1
        ran_before = exchange.may_have_run
        exchange.may_have_run = True
        try:
            response = await self._http.exchange(
                target.address,
                request,
                left.total_seconds(),
                max_idle=self._idle_lives.get(target.name, _MAX_IDLE),
                belongs=headers.answer_belongs,
            )
        except HttpError as failure:
            if not failure.sent:
                exchange.sent -= 1
                exchange.may_have_run = ran_before
            await self._note_failure(exchange, placed, failure)
            return None
        finally:
            stats.running -= 1
        answer = headers.read_answer(response)
        return await self._take(exchange, placed, answer, now, ran_before)

    async def _take(
        self,
        exchange: _Exchange,
        placed: Placed,
        answer: TargetAnswer,
        sent_at: timedelta,
        ran_before: bool,
    ) -> HttpResponse | None:
        """Return the caller's answer that follows from a target's, or None to try another."""
        now = self._state.clock.now()
        target = placed.target
        stats = self._state.stats(target.name)
        if answer.idle_life is not None:
            self._idle_lives[target.name] = answer.idle_life * _IDLE_PART
        if answer.load is not None:
            stats.report_load(answer.load.running + answer.load.waiting, now)
        if answer.not_run or answer.other_target:
            exchange.may_have_run = ran_before
            stats.shed(now)
            if answer.other_target:
                stats.ejected_until = now + _MISPLACED_FOR
                await self._http.drop_idle(target.address)
            self._log_attempt(exchange, placed, f"not-run-{answer.status}")
            return None
        self._crashes.complete(exchange.fingerprint)
        if answer.status >= _SERVER_ERROR:
            stats.shed(now)
            exchange.last_answer = answer
            if exchange.route.idempotent and exchange.left(now) > placed.work:
                self._log_attempt(exchange, placed, f"status-{answer.status}")
                return None
            return self._answer(exchange, placed, answer)
        stats.succeeded(now)
        self._record(exchange, placed, answer, (now - sent_at).total_seconds())
        return self._answer(exchange, placed, answer)

    def _record(
        self, exchange: _Exchange, placed: Placed, answer: TargetAnswer, seconds: float
    ) -> None:
        """Learn from a good answer how fast the target is, and that it is warm for the object."""
        now = self._state.clock.now()
        stats = self._state.stats(placed.target.name)
        service = self._state.service(exchange.service)
        key = short_hash(exchange.call.object_key)
        known_warm = stats.warm(key)
        if stats.note_warm(key):
            self._warm.add(short_hash(placed.target.name), key, now)
        service.times.record_bytes(len(exchange.call.body) + len(answer.body))
        work = max(0.0, seconds - placed.round_trip - placed.wait)
        service.times.record_any(work)
        if placed.wait > 0:
            return
        aim = exchange.route.target_latency.total_seconds()
        expected = service.times.warm(aim) if known_warm else service.times.cold(aim)
        if not known_warm and work < _WARM_BY_TIME * expected:
            return
        service.times.record(work / stats.slowness, warm=known_warm)
        stats.record_speed(work, expected)

    async def _note_failure(self, exchange: _Exchange, placed: Placed, failure: HttpError) -> None:
        """Take that a target gave no whole answer."""
        now = self._state.clock.now()
        stats = self._state.stats(placed.target.name)
        stats.failed(now)
        outcome = "timeout" if failure.timed_out else "broken" if failure.sent else "unreachable"
        self._log_attempt(exchange, placed, outcome)
        if not failure.sent:
            self._take_for_restarting(placed.target, now)
        elif not failure.timed_out:
            await self._http.drop_idle(placed.target.address)
            await curio.spawn(self._check_crash, exchange.fingerprint, placed, daemon=True)

    def _take_for_restarting(self, target: RegisteredTarget, now: timedelta) -> None:
        """Take a target that can't be reached for one that will be cold when it is back."""
        configuration = self._state.configuration
        spec = configuration.service(target.service) if configuration is not None else None
        if spec is not None:
            self._state.targets.mark_cold(target.name, spec.cold_start, now)

    async def _check_crash(self, fingerprint: int, placed: Placed) -> None:
        """Count a crash if a target whose connection broke takes no new one."""
        address = placed.target.address
        try:
            sock = await curio.timeout_after(
                _CHECK_SECONDS, curio.open_connection, address.host, address.port
            )
        except (OSError, curio.TaskTimeout):
            now = self._state.clock.now()
            count = self._crashes.crash(fingerprint, now)
            self._state.stats(placed.target.name).ejected_until = now + timedelta(seconds=1)
            self._take_for_restarting(placed.target, now)
            _log.warning(
                Event.TARGET_LOST,
                target=placed.target.name,
                reason="crashed",
                fingerprint=f"{fingerprint:016x}",
                crashes=count,
            )
            return
        await sock.close()

    def _finish_late(self, exchange: _Exchange) -> HttpResponse:
        kind = ErrorKind.TARGET_TIMEOUT if exchange.may_have_run else ErrorKind.TIMED_OUT_UNSENT
        return self._end(exchange, kind, "time ran out", None)

    def _finish_unanswered(self, exchange: _Exchange, refused: Refused | None) -> HttpResponse:
        """Return the final answer to a request that no target answered well."""
        now = self._state.clock.now()
        if exchange.last_answer is not None:
            return headers.caller_answer(exchange.last_answer)
        if exchange.may_have_run:
            if exchange.left(now) <= 0:
                return self._finish_late(exchange)
            return self._end(exchange, ErrorKind.TARGET_FAILED, "no whole answer", None)
        wait = refused.wait if refused is not None else 0.1
        kind = ErrorKind.OVERLOADED if wait is not None else ErrorKind.NO_TARGET
        service = self._state.service(exchange.service)
        service.count_refusal(now)
        after = retry_after(wait, service.refused_part(now), exchange.left(now), self._random)
        return self._end(exchange, kind, "no room" if wait is not None else "no target", after)

    def _answer(self, exchange: _Exchange, placed: Placed, answer: TargetAnswer) -> HttpResponse:
        seconds = exchange.elapsed(self._state.clock.now())
        self._state.metrics.record("request_seconds", seconds, service=exchange.service)
        _log.info(
            Event.REQUEST_ANSWERED,
            id=exchange.call.request_id,
            route=exchange.route.name,
            service=exchange.service,
            key=exchange.call.object_key,
            target=placed.target.name,
            domain=placed.target.domain,
            status=answer.status,
            ms=int(seconds * 1000),
            wait_ms=int(placed.wait * 1000),
            work_ms=int(placed.work * 1000),
            warm=placed.warm,
            running=self._state.running(placed.target.name),
            sent=exchange.sent,
        )
        return headers.caller_answer(answer)

    def _log_attempt(self, exchange: _Exchange, placed: Placed, outcome: str) -> None:
        self._state.metrics.count("attempts_failed_total", outcome=outcome)
        _log.info(
            Event.REQUEST_RETRIED,
            id=exchange.call.request_id,
            target=placed.target.name,
            domain=placed.target.domain,
            outcome=outcome,
            ms=int(exchange.elapsed(self._state.clock.now()) * 1000),
            wait_ms=int(placed.wait * 1000),
            work_ms=int(placed.work * 1000),
            warm=placed.warm,
            running=self._state.running(placed.target.name),
        )

    def _end(
        self, exchange: _Exchange, kind: ErrorKind, reason: str, after: float | None
    ) -> HttpResponse:
        """Return an answer of this system's own to a request that has a route."""
        return self._refuse(
            exchange.call, kind, f"{exchange.service}: {reason}", after, exchange.route.name
        )

    def _refuse(
        self,
        call: CallerRequest,
        kind: ErrorKind,
        reason: str,
        after: float | None,
        route: str = "",
    ) -> HttpResponse:
        answer = ANSWERS[kind]
        self._state.metrics.count_refusal(kind)
        not_run = answer.outcome is Outcome.NOT_RUN
        _log.info(
            Event.REQUEST_REFUSED if not_run else Event.REQUEST_FAILED,
            id=call.request_id,
            route=route,
            kind=kind.value,
            status=answer.status,
            reason=reason,
            retry_after=None if after is None else round(after, 3),
        )
        return headers.refusal(kind, answer.status, call.request_id, after)

    def _choice(self, route: Route) -> WeightedChoice:
        """Return the choice among a route's services, anew when the services change."""
        known = self._choices.get(route.name)
        if known is not None and known[0].services == route.services:
            return known[1]
        choice = WeightedChoice(route.services, self._random.random())
        self._choices[route.name] = (route, choice)
        return choice

    def _note_dialled(self, address: Address, seconds: float) -> None:
        self._state.metrics.count("target_connections_total")
        domain = self._domains.get(address)
        if domain is not None:
            self._round_trips.record(domain, seconds)
