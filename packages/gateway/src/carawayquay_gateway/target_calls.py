"""Sends requests to targets, and records their answers, failures and crashes."""

from __future__ import annotations

from contextlib import suppress
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.crash_history import NO_ORGANISATION, TargetCrash
from carawayquay.load_reports import incarnation_hash, short_hash
from carawayquay_gateway.exchanges import Answered, Unanswered
from carawayquay_platform import headers
from carawayquay_wire.dialing import dial
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from carawayquay.crash_counts import CrashCounts
    from carawayquay.discovery import RegisteredTarget
    from carawayquay.forwarding import TargetAnswer
    from carawayquay.membership import Address
    from carawayquay_gateway.answer_memory import AnswerMemory
    from carawayquay_gateway.exchanges import Exchange
    from carawayquay_gateway.reach_prober import ReachProber
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.dialing import Dialer
    from carawayquay_wire.http import HttpRequest

__all__ = ["TargetCaller"]

_log = EventLog("targets")

#: Ejection time of a target at whose address another target answered.
_MISPLACED_EJECTION = timedelta(seconds=5)

#: Ejection time of a crashed target, which is cold afterwards.
_CRASH_EJECTION = timedelta(seconds=1)

#: Liveness probe of a target: connect timeout, time for which the target must keep the connection
#: open, and the number of attempts while it closes or resets connections.
_PROBE_CONNECT_SECONDS = 0.4
_PROBE_HOLD_SECONDS = 0.05
_MAX_PROBES = 4

#: Connect timeout, several round trips between regions, after which another target is tried.
_CONNECT_SECONDS = 0.3


@attrs.frozen
class _Suspect:
    """What crashes of targets are attributed to.

    :param organisation: name of the organisation that sent the request, empty if there is none
    """

    fingerprint: int
    organisation: str


class TargetCaller:
    """Calls targets over pooled keep-alive connections."""

    def __init__(
        self,
        state: GatewayState,
        crashes: CrashCounts,
        round_trips: RoundTrips,
        prober: ReachProber,
        memory: AnswerMemory,
        dialer: Dialer = dial,
    ) -> None:
        self._state = state
        self._prober = prober
        self._dial = dialer
        self._crashes = crashes
        self._round_trips = round_trips
        self._domains: dict[Address, str] = {}
        self._http = HttpClient(
            memory.max_answer_bytes,
            state.clock,
            self._record_connect,
            _CONNECT_SECONDS,
            memory.budget,
            dialer,
        )
        state.metrics.gauge("answer_bytes", lambda: float(memory.budget.used))

    async def abandon_calls(self) -> None:
        """End the calls that may be repeated, and close idle connections, to all targets."""
        await self._http.abandon()
        await self._http.close()

    async def call(
        self,
        target: RegisteredTarget,
        request: HttpRequest,
        remaining: timedelta,
        exchange: Exchange,
    ) -> Answered | Unanswered:
        """Send a request to a target.

        :param remaining: time until the deadline of the request
        :param exchange: state of the request, to which crashes of targets are attributed
        """
        suspect = _Suspect(exchange.fingerprint, exchange.call.organisation)
        stats = self._state.stats(target.name)
        started = self._state.clock.now()
        self._domains[target.address] = target.domain
        self._state.cold_rates.count(target.name, started)
        stats.running += 1
        try:
            response = await self._http.exchange(
                target.address,
                request,
                remaining.total_seconds(),
                max_idle=self._state.idle_timeouts.max_idle(target.name, target.service, started),
                response_matches=headers.response_matches,
                abandonable=exchange.route.idempotent,
            )
        except HttpError as failure:
            unanswered = Unanswered(failure.sent, failure.timed_out)
            if not failure.fresh:
                await self._record_reused_failure(target, unanswered)
            await self._record_failure(target, unanswered, suspect, started)
            return unanswered
        finally:
            stats.running -= 1
        self._state.reach.record_answer(self._state.clock.now())
        answer = headers.parse_response(response)
        self._state.limit_recorder.record(target, answer, started)
        await self._record_answer(target, answer)
        return Answered(answer, (self._state.clock.now() - started).total_seconds())

    async def _record_answer(self, target: RegisteredTarget, answer: TargetAnswer) -> None:
        """Record an answer's keep-alive timeout and load.

        Eject the target if another one answered at its address.
        """
        now = self._state.clock.now()
        stats = self._state.stats(target.name)
        if answer.keep_alive_timeout is not None:
            self._state.idle_timeouts.set_keep_alive_timeout(target.name, answer.keep_alive_timeout)
        if answer.load is not None:
            stats.report_load(answer.load.running + answer.load.waiting, now)
            if answer.load.time_factor is not None:
                stats.report_time_factor(answer.load.time_factor, now)
        if answer.address_reused:
            stats.ejected_until = now + _MISPLACED_EJECTION
            await self._http.drop_idle(target.address)

    async def _record_reused_failure(
        self, target: RegisteredTarget, unanswered: Unanswered
    ) -> None:
        """Drop idle connections or learn a shorter idle time, after a failure on a reused one."""
        if unanswered.timed_out:
            # The cause of the time-out may affect the idle connections too.
            await self._http.drop_idle(target.address)
        else:
            self._state.idle_timeouts.record_reset(target.service, self._state.clock.now())

    async def _record_failure(
        self,
        target: RegisteredTarget,
        unanswered: Unanswered,
        suspect: _Suspect,
        started: timedelta,
    ) -> None:
        """Record a call without a complete answer; check for a crash if the connection broke.

        While this VM is cut off from all targets, failures say nothing about the target.

        :param started: when the call began
        """
        reach = self._state.reach
        if unanswered.sent:
            reach.record_broken(target.name)
        else:
            reach.record_unopened(target.name)
        if reach.cut_off:
            return
        now = self._state.clock.now()
        self._state.stats(target.name).failed(now)
        if not unanswered.sent:
            check = partial(self._check_unreachable, target, now, timed_out=unanswered.timed_out)
            await curio.spawn(check, daemon=True)
        elif not unanswered.timed_out:
            await self._http.drop_idle(target.address)
            crash = TargetCrash(incarnation_hash(target), started, now)
            await curio.spawn(self._check_crash, target, suspect, crash, daemon=True)

    def _mark_cold(self, target: RegisteredTarget, now: timedelta) -> None:
        """Mark an unreachable or crashed target as cold, as it will be when it is back."""
        configuration = self._state.configuration
        spec = configuration.service(target.service) if configuration is not None else None
        if spec is not None:
            self._state.targets.mark_cold(target.name, spec.cold_start, now)

    async def _check_unreachable(
        self, target: RegisteredTarget, failed_at: timedelta, *, timed_out: bool
    ) -> None:
        """Mark a target as cold that stays unreachable while this VM reaches another one.

        A connection that was refused, and did not time out, needs no second try.
        """
        if timed_out:
            lost = await self._is_lost(target, failed_at)
        else:
            lost = await self._prober.reaches_targets(failed_at)
        if lost:
            self._mark_cold(target, self._state.clock.now())

    async def _is_lost(self, target: RegisteredTarget, failed_at: timedelta) -> bool:
        """Return whether a target accepts no connection once this VM has reached another one.

        A short cut may have ended since the failure.
        """
        if not await self._prober.reaches_targets(failed_at):
            return False
        return not await self._accepts_connections(target.address)

    async def _check_crash(
        self, target: RegisteredTarget, suspect: _Suspect, crash: TargetCrash
    ) -> None:
        """Record a crash and eject the target if it alone accepts no new connection."""
        if await self._accepts_connections(target.address):
            return
        if not await self._is_lost(target, crash.ended_at):
            return
        now = self._state.clock.now()
        organisation = short_hash(suspect.organisation) if suspect.organisation else NO_ORGANISATION
        count = self._crashes.record_crash(suspect.fingerprint, crash, now, organisation)
        self._state.stats(target.name).ejected_until = now + _CRASH_EJECTION
        self._mark_cold(target, now)
        _log.warning(
            Event.TARGET_LOST,
            target=target.name,
            reason="crashed",
            fingerprint=f"{suspect.fingerprint:016x}",
            **({"organisation": suspect.organisation} if suspect.organisation else {}),
            crashes=count,
        )

    async def _accepts_connections(self, address: Address) -> bool:
        """Return whether a target accepts connections and keeps them open.

        A terminating process closes its sockets one by one, so its listener may still accept a
        connection that is then reset; such a probe is inconclusive and is repeated. A target whose
        probes are all inconclusive counts as accepting.
        """
        for _ in range(_MAX_PROBES):
            try:
                async with curio.timeout_after(_PROBE_CONNECT_SECONDS):
                    sock = await self._dial(address)
            except ConnectionResetError:
                await curio.sleep(_PROBE_HOLD_SECONDS)
                continue
            except (OSError, curio.TaskTimeout):
                return False
            async with sock, curio.ignore_after(_PROBE_HOLD_SECONDS):
                with suppress(OSError):
                    await sock.recv(1)
                continue
            return True
        return True

    def _record_connect(self, address: Address, seconds: float) -> None:
        self._state.reach.record_connect(self._state.clock.now())
        self._state.metrics.count("target_connections_total")
        domain = self._domains.get(address)
        if domain is not None:
            self._round_trips.record(domain, seconds)
