"""Runs requests on the targets of this VM's failure domain."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.errors import ErrorKind, RequestError
from carawayquay.heartbeats import Load
from carawayquay.quarantine import CrashStatus
from carawayquay.request_fingerprints import suspect_fingerprint
from carawayquay.requests import Forward, Forwarded, Header
from carawayquay.shedding import RunTimeMeans
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http_client import HttpError
from carawayquayd.crash_checks import has_crashed
from carawayquayd.slot_queue import SlotQueue
from carawayquayd.slot_sender import SlotSender, TakenSlot
from carawayquayd.target_state import Capacity

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from datetime import timedelta

    from carawayquay.documents import Document, Target
    from carawayquay.fence import TargetReport
    from carawayquay.membership import EntryVM
    from carawayquay_wire.http import HttpResponse
    from carawayquayd.probes import TargetProber
    from carawayquayd.state import NodeState
    from carawayquayd.suspects import SuspectBroadcaster
    from carawayquayd.target_state import TargetState

__all__ = ["TargetRunner"]

_log = EventLog("targets")

_SERVER_ERROR = 500
_UNAVAILABLE = 503


@attrs.define(eq=False)
class _InFlightRequest:
    """A request that waits for a slot or is in flight to a target.

    :param request: the request's fingerprint
    :param admit: returns whether it may take a free slot now
    :param suspect: whether it was suspected of crashing targets when it was started
    :param crash_reported: whether it was reported as in flight at a crash of its target
    """

    request: bytes
    admit: Callable[[], bool]
    suspect: bool = False
    crash_reported: bool = False


class _CrashStatusChangedError(Exception):
    """A request became suspect, or was cleared, while it waited for a slot."""


class TargetRunner:
    """Runs requests on targets: takes a slot, sends the request and returns the complete answer."""

    def __init__(
        self,
        state: NodeState,
        targets: TargetState,
        prober: TargetProber,
        suspects: SuspectBroadcaster,
    ) -> None:
        self._state = state
        self._targets = targets
        self._prober = prober
        self._suspects = suspects
        self._run_times = RunTimeMeans()
        self._sender = SlotSender(state, targets, self._run_times, self.wake)
        self._queues: dict[str, SlotQueue] = {}
        self._in_flight: dict[str, list[_InFlightRequest]] = {}
        self._suspect_lock = curio.Lock()
        self._crash_locks: dict[str, curio.Lock] = {}
        self._active = 0
        self._closed = False

    @property
    def active(self) -> int:
        """The number of requests that wait for a slot or are in flight here."""
        return self._active

    def may_own(self, vm: EntryVM) -> bool:
        """Return whether a VM may own targets; VMs of other failure domains always may."""
        own_domain = vm.domain == self._state.settings.domain
        return not own_domain or self._targets.may_own(vm)

    def capacity(self, service: str) -> Capacity:
        """Return the concurrency limit and the running requests of a service on this VM."""
        held = self._state.documents.get(service)
        return self._targets.capacity(held.document) if held else Capacity(0, 0)

    def loads(self) -> list[Load]:
        """Return the free slots and the limit of each service that this VM has slots for."""
        loads = []
        for held in self._state.documents:
            capacity = self._targets.capacity(held.document)
            waiting = len(self._queue(held.document))
            if capacity.limit:
                free = max(0, capacity.limit - capacity.running - waiting)
                loads.append(Load(held.document.service, free, capacity.limit))
        return loads

    def dump(self) -> dict[str, Any]:
        """Return the state of each target, ready for JSON."""
        return self._targets.dump()

    def stop_accepting(self) -> None:
        """Refuse new requests from now on; called during a planned stop."""
        self._closed = True

    async def wake_all(self) -> None:
        """Let the first waiting request of each service try again to take a slot."""
        for queue in list(self._queues.values()):
            await queue.wake()

    def target_limits(self, document: Document) -> dict[str, int]:
        """Return the concurrency limit of each target that this VM may send requests to now."""
        limits = {
            target.name: self._targets.limit(document, target)
            for target in self._targets.targets(document)
        }
        return {name: limit for name, limit in limits.items() if limit > 0}

    async def wake(self, document: Document) -> None:
        """Let the first waiting request of a service try again to take a slot."""
        await self._queue(document).wake()

    async def run(
        self, forward: Forward, left: timedelta, admit: Callable[[], bool] = lambda: True
    ) -> Forwarded:
        """Run a request on a target of this failure domain.

        :param left: time until the deadline
        :param admit: called when a slot is free; returns whether the request may take it now
        :raises RequestError: if this VM is stopping, no slot is free in time, the request is
            quarantined or the target fails
        """
        if self._closed:
            name = self._state.settings.name
            raise RequestError(ErrorKind.STOPPING, f'entry VM "{name}" is stopping')
        document = self._state.document(forward.service).document
        deadline = self._state.clock.now() + min(left, document.timeout)
        self._active += 1
        try:
            return await self._run_by_crash_status(document, forward, deadline, admit)
        finally:
            self._active -= 1

    async def _run_by_crash_status(
        self,
        document: Document,
        forward: Forward,
        deadline: timedelta,
        admit: Callable[[], bool],
    ) -> Forwarded:
        """Run a request by its crash status: suspects one at a time, quarantined ones never."""
        fingerprint = suspect_fingerprint(forward)
        while True:
            crash_status = self._suspects.table.status_of(fingerprint, self._state.clock.now())
            try:
                match crash_status:
                    case CrashStatus.CLEAR:
                        return await self._run_on_target(
                            document,
                            forward,
                            _InFlightRequest(fingerprint, admit),
                            deadline,
                        )
                    case CrashStatus.SUSPECT:
                        in_flight = _InFlightRequest(fingerprint, admit, suspect=True)
                        async with self._exclusive_suspect_run(deadline):
                            return await self._run_on_target(document, forward, in_flight, deadline)
                    case CrashStatus.QUARANTINED:
                        raise _quarantined(forward)
            except _CrashStatusChangedError:
                continue

    @asynccontextmanager
    async def _exclusive_suspect_run(self, deadline: timedelta) -> AsyncIterator[None]:
        """Hold the lock under which suspect requests run on this VM.

        :raises RequestError: if it is not free before the deadline
        """
        left = deadline - self._state.clock.now()
        try:
            async with curio.timeout_after(max(0.0, left.total_seconds())):
                await self._suspect_lock.acquire()
        except curio.TaskTimeout:
            detail = "other requests suspected of crashing targets still ran at the deadline"
            raise RequestError(ErrorKind.OVERLOADED, detail) from None
        try:
            yield
        finally:
            await self._suspect_lock.release()

    async def _run_on_target(
        self, document: Document, forward: Forward, in_flight: _InFlightRequest, deadline: timedelta
    ) -> Forwarded:
        """Wait for a slot, run a request there and return the answer.

        :raises _CrashStatusChangedError: if the request became suspect or was cleared meanwhile
        :raises RequestError: if no slot is free in time or the target fails
        """
        arrived = self._state.clock.now()
        taken = await self._queue(document).take(
            lambda: self._take_slot(document, in_flight), deadline - arrived
        )
        queued = (self._state.clock.now() - arrived).total_seconds()
        self._state.metrics.record("queueing_seconds", queued, service=document.service)
        target = taken.target
        target_requests = self._in_flight.setdefault(target.name, [])
        target_requests.append(in_flight)
        try:
            response = await self._sender.send(document, taken, forward, deadline)
        except HttpError as failure:
            raise await self._failure_error(target, in_flight, failure) from failure
        finally:
            target_requests.remove(in_flight)
        await self._evaluate_response(document, target, in_flight, response)
        headers = [Header(name, value) for name, value in response.headers]
        return Forwarded(response.status, headers, response.body, target.name)

    def _queue(self, document: Document) -> SlotQueue:
        queue = self._queues.get(document.service)
        if queue is None:
            queue = SlotQueue(
                document.service,
                self._run_times,
                lambda: self.capacity(document.service).limit,
            )
            self._queues[document.service] = queue
        return queue

    def _take_slot(self, document: Document, in_flight: _InFlightRequest) -> TakenSlot | None:
        """Take a slot of the target with the most free slots; return None if there is none.

        Targets that the request is recorded to have crashed come last.

        :raises _CrashStatusChangedError: if the request's crash status changed while it waited
        """
        now = self._state.clock.now()
        table = self._suspects.table
        if not table.may_start(in_flight.request, now, suspect=in_flight.suspect):
            raise _CrashStatusChangedError
        crashed_targets = table.crashed_targets(in_flight.request)
        options = [
            (
                target.name not in crashed_targets,
                self._targets.free(document, target),
                target.name,
                target,
            )
            for target in self._targets.targets(document)
        ]
        options = [option for option in options if option[1] > 0]
        if not options or not in_flight.admit():
            return None
        target = max(options, key=lambda option: option[:3])[3]
        ticket = self._targets.slots.take(target.name, now)
        return TakenSlot(target, ticket) if ticket else None

    async def _evaluate_response(
        self,
        document: Document,
        target: Target,
        in_flight: _InFlightRequest,
        response: HttpResponse,
    ) -> None:
        """Update health, warmth and the request's crash status from a complete answer.

        :raises RequestError: if the target states that it did not run the request
        """
        now = self._state.clock.now()
        reason = response.header(b"not-run") if response.status == _UNAVAILABLE else None
        if reason is not None:
            self._record_refusal(target, reason)
            detail = f'target "{target.name}" refused: {reason}'
            raise RequestError(ErrorKind.OVERLOADED, detail)
        if response.status >= _SERVER_ERROR:
            others = [other.name for other in self._targets.targets(document) if other != target]
            if self._targets.health.record_error_answer(target.name, others, now):
                _log.warning(Event.TARGET_LOST, target=target.name, reason="outlier by error rate")
        else:
            self._targets.health.record_success(target.name, now)
        self._targets.warmth.record_completion(target.name, now)
        await self._suspects.report_completion(in_flight.request)

    def _record_refusal(self, target: Target, reason: str) -> None:
        """Record why a target did not run a request: it drains, or its process was restarted."""
        match reason:
            case "draining":
                self._targets.record_drain_refusal(target.name)
            case "boot":
                self._targets.clocks.pop(target.name, None)

    async def _failure_error(
        self, target: Target, in_flight: _InFlightRequest, failure: HttpError
    ) -> RequestError:
        """Record a failed exchange in the target's health and return the error for the caller."""
        detail = f'target "{target.name}": {failure}'
        if failure.fresh:
            self._record_failure(target, failure)
        if not failure.sent:
            return RequestError(ErrorKind.NO_TARGET, detail)
        if failure.timed_out:
            return RequestError(ErrorKind.TARGET_TIMEOUT, detail)
        await self._check_crash(target, in_flight)
        return RequestError(ErrorKind.TARGET_FAILED, detail)

    def _record_failure(self, target: Target, failure: HttpError) -> None:
        now = self._state.clock.now()
        if self._targets.health.record_failure(target.name, now, refused=failure.refused):
            _log.warning(Event.TARGET_LOST, target=target.name, reason=failure)

    async def _check_crash(self, target: Target, in_flight: _InFlightRequest) -> None:
        """Probe a target and, if it crashed, report the requests that were in flight on it."""
        last_reading = self._targets.clocks.get(target.name)
        async with self._crash_locks.setdefault(target.name, curio.Lock()):
            if in_flight.crash_reported:
                return
            if not await has_crashed(partial(self._probe_after_failure, target), last_reading):
                return
            self._targets.clocks.pop(target.name, None)
            in_flight_requests = [f for f in self._in_flight[target.name] if not f.crash_reported]
            for item in in_flight_requests:
                item.crash_reported = True
            suspects = [item.request for item in in_flight_requests if item.suspect]
            others = [item.request for item in in_flight_requests if not item.suspect]
            await self._suspects.report_crash(target.name, suspects, others)

    async def _probe_after_failure(self, target: Target) -> TargetReport:
        """Probe a target on a new connection after a failure that may be a crash.

        :raises HttpError: if it gives no health report
        """
        try:
            return await self._prober.probe(target, fresh=True)
        except HttpError as failure:
            if failure.refused:
                self._record_failure(target, failure)
            raise


def _quarantined(forward: Forward) -> RequestError:
    detail = f'request "{forward.method} {forward.path}" is quarantined: it crashed targets'
    return RequestError(ErrorKind.QUARANTINED, detail)
