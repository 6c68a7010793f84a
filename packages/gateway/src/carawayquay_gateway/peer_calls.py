"""Sends requests through other entry VMs while this VM is cut off from all targets."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.errors import FrameError
from carawayquay.forwarding_peers import ForwardingPeers
from carawayquay.membership import Address
from carawayquay.placement import NoCapacity
from carawayquay_gateway.exchanges import (
    Answered,
    Attempt,
    AttemptEnd,
    RequestCrashesTargets,
    Unanswered,
)
from carawayquay_gateway.peer_messages import (
    AnsweredForPeer,
    FailedForPeer,
    PeerRequest,
    RefusalReason,
    RefusedForPeer,
    decode_answer,
    encode_request,
)
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from random import Random

    from carawayquay.load_reports import VMIdentity
    from carawayquay_gateway.answer_memory import AnswerMemory
    from carawayquay_gateway.exchanges import Exchange
    from carawayquay_gateway.peer_messages import PeerAnswer
    from carawayquay_gateway.state import GatewayState

__all__ = ["MAX_PEER_IDLE", "PeerCaller"]

_log = EventLog("peer-calls")

#: Number of VMs that may refuse one request, each at once, before no other is asked.
_MAX_PEERS = 6

#: Refusals that say nothing about the other VM, which is then used for other requests.
_ABOUT_REQUEST = frozenset(
    {
        RefusalReason.NO_CAPACITY,
        RefusalReason.CRASHES_TARGETS,
        RefusalReason.NO_ROUTE,
        RefusalReason.INVALID,
    }
)

#: Time for which a sample of the live VMs is used.
_SAMPLE_LIFETIME = timedelta(milliseconds=200)

#: Connect timeout, several round trips between regions.
_CONNECT_SECONDS = 0.15

#: Idle time after which a connection to another VM is not reused; shorter than its idle timeout.
MAX_PEER_IDLE = timedelta(seconds=5)


class PeerCaller:
    """Sends requests to other VMs, each of which sends it to one target or refuses it."""

    def __init__(self, state: GatewayState, memory: AnswerMemory, random: Random) -> None:
        self._state = state
        self._peers = ForwardingPeers(state.identity, random)
        self._sample: list[VMIdentity] = []
        self._sampled_at = state.clock.now() - _SAMPLE_LIFETIME
        self._http = HttpClient(
            memory.max_answer_bytes,
            state.clock,
            dial_seconds=_CONNECT_SECONDS,
            body_budget=memory.budget,
        )
        state.metrics.gauge("requests_at_peers", lambda: float(self._peers.in_flight))

    async def run(
        self, exchange: Exchange
    ) -> AttemptEnd | NoCapacity | RequestCrashesTargets | None:
        """Send a request through another VM, and return None if no VM takes it."""
        asked = exchange.refusing_peers
        while len(asked) < _MAX_PEERS:
            now = self._state.clock.now()
            vm = self._choose(exchange, asked, now)
            if vm is None or exchange.remaining(now) <= 0:
                return None
            match await self._call(vm, exchange):
                case RefusedForPeer(RefusalReason.NO_CAPACITY, wait):
                    return NoCapacity(wait)
                case RefusedForPeer(RefusalReason.CRASHES_TARGETS):
                    return RequestCrashesTargets()
                case RefusedForPeer():
                    asked.add(vm)
                case AttemptEnd() as end:
                    return end
        return None

    def _choose(
        self, exchange: Exchange, asked: set[VMIdentity], now: timedelta
    ) -> VMIdentity | None:
        """Return the VM to ask next, from a sample unless none of it may be asked."""
        if now - self._sampled_at >= _SAMPLE_LIFETIME:
            self._sampled_at = now
            live = self._state.peers.forwarding_vms(now)
            self._sample = self._peers.sample(live, now)
        regions = exchange.route.allowed_regions
        chosen = self._peers.choose(self._sample, regions, asked, now)
        if chosen is not None:
            return chosen
        return self._peers.choose(self._state.peers.forwarding_vms(now), regions, asked, now)

    async def close_unused(self) -> None:
        """Close connections to other VMs that are too old for reuse, from time to time."""
        while True:
            await curio.sleep(MAX_PEER_IDLE.total_seconds())
            await self._http.close_idle(MAX_PEER_IDLE)

    async def close(self) -> None:
        """Close the idle connections to other VMs, which are needed only while cut off."""
        await self._http.close()

    async def _call(self, vm: VMIdentity, exchange: Exchange) -> AttemptEnd | RefusedForPeer:
        """Send a request to one VM."""
        started = self._state.clock.now()
        self._peers.started(vm)
        try:
            response = await self._http.exchange(
                Address(vm.host, self._state.settings.peer_requests.port),
                encode_request(self._request(exchange, started)),
                exchange.remaining(started),
                max_idle=MAX_PEER_IDLE,
            )
            answer = decode_answer(response)
        except (HttpError, FrameError) as failure:
            return self._handle_failure(vm, exchange, failure)
        finally:
            self._peers.ended(vm)
        seconds = (self._state.clock.now() - started).total_seconds()
        return self._handle_answer(vm, exchange, answer, seconds)

    def _request(self, exchange: Exchange, now: timedelta) -> PeerRequest:
        return PeerRequest(
            exchange.call,
            self._state.identity.name,
            exchange.version,
            exchange.service,
            now - exchange.started,
            exchange.deadline - now,
            frozenset(exchange.tried_targets - exchange.unreachable_targets),
            exchange.call.organisation,
        )

    def _handle_failure(
        self, vm: VMIdentity, exchange: Exchange, failure: HttpError | FrameError
    ) -> AttemptEnd | RefusedForPeer:
        """Return the result of a call that another VM did not answer."""
        now = self._state.clock.now()
        sent = not isinstance(failure, HttpError) or failure.sent
        timed_out = isinstance(failure, HttpError) and failure.timed_out
        if sent and timed_out:
            self._peers.timed_out(vm, now)
        else:
            self._peers.failed(vm, now)
        unanswered = Unanswered(sent, timed_out)
        self._note(vm, exchange, unanswered.outcome)
        if not sent:
            return RefusedForPeer(RefusalReason.UNREACHABLE)
        return AttemptEnd(Attempt("", "", 0.0, 0.0, False, vm.name), unanswered)

    def _handle_answer(
        self, vm: VMIdentity, exchange: Exchange, answer: PeerAnswer, seconds: float
    ) -> AttemptEnd | RefusedForPeer:
        """Return the result of a call from another VM's answer."""
        match answer:
            case AnsweredForPeer():
                self._peers.helped(vm, self._state.clock.now())
                exchange.tried_targets.add(answer.target)
                attempt = Attempt(
                    answer.target, answer.domain, answer.wait, answer.work, answer.warm, vm.name
                )
                self._note(vm, exchange, "answered")
                return AttemptEnd(attempt, Answered(answer.answer, seconds))
            case FailedForPeer():
                exchange.tried_targets.add(answer.target)
                attempt = Attempt(answer.target, answer.domain, 0.0, 0.0, False, vm.name)
                unanswered = Unanswered(True, answer.timed_out)
                self._note(vm, exchange, unanswered.outcome)
                return AttemptEnd(attempt, unanswered)
            case RefusedForPeer(reason):
                if reason not in _ABOUT_REQUEST:
                    cut_off = reason is RefusalReason.CUT_OFF
                    self._peers.failed(vm, self._state.clock.now(), cut_off=cut_off)
                self._note(vm, exchange, reason.value)
                return answer

    def _note(self, vm: VMIdentity, exchange: Exchange, outcome: str) -> None:
        """Count a call, and log one that another VM did not answer for a target."""
        self._state.metrics.count("requests_sent_to_peers_total", outcome=outcome)
        if outcome != "answered":
            _log.info(
                Event.PEER_REFUSED, id=exchange.call.request_id, peer=vm.name, outcome=outcome
            )
