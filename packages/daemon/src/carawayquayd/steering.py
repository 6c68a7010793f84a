"""Routes each request to a target in its home region, or spills it over within the shift caps."""

from __future__ import annotations

from datetime import timedelta
from itertools import islice
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.bandwidth import LinkBudgets
from carawayquay.decisions import Decision, DecisionLog, Step
from carawayquay.errors import ErrorKind, LinkError, RequestError
from carawayquay.rendezvous import ranked
from carawayquay.requests import Purpose
from carawayquay.shares import owner
from carawayquay.shifts import Destination, Move, ShiftBudget, client_fraction
from carawayquayd.grant_client import GrantClient
from carawayquayd.shift_controller import ShiftController

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from carawayquay.documents import Document
    from carawayquay.grant_pool import HeldGrant
    from carawayquay.membership import EntryVM
    from carawayquay.requests import Forward, Forwarded
    from carawayquay_wire.links import LinkPool
    from carawayquayd.admission import AdmissionController
    from carawayquayd.state import NodeState

__all__ = ["Steering"]

#: Maximum number of owners that a request is sent to; then its caller gets the last refusal.
_MAX_ATTEMPTS = 3

#: Attempts in the home region; one attempt remains for another region.
_MAX_HOME_ATTEMPTS = 2
_MIN_TIME_LEFT = timedelta(milliseconds=5)

#: Maximum rounds over the candidate VMs while none has a free slot, and the pause between rounds.
_MAX_ROUNDS = 5
_ROUND_INTERVAL_SECONDS = 0.05

#: Maximum number of requests that wait between rounds; each holds its body in memory.
_MAX_WAITING = 128

#: Owners per failure domain that are tried for one request in a round.
_MAX_OWNERS_PER_DOMAIN = 3


@attrs.define
class _RequestContext:
    """The routing state of one request: its limits, the attempts made and the last refusal.

    :param budget: limits how much traffic may leave the home region
    :param deadline: instant at which the caller stops waiting
    :param last_refusal: raised to the caller if no VM runs the request
    :param attempts: number of owners that the request was sent to
    """

    forward: Forward
    document: Document
    budget: ShiftBudget
    deadline: timedelta
    last_refusal: RequestError
    attempts: int = 0
    steps: list[Step] = attrs.field(factory=list)

    def add_step(self, place: str, reason: str) -> None:
        self.steps.append(Step(place, reason))

    def record_refusal(self, place: str, kind: ErrorKind, detail: str) -> None:
        self.add_step(place, kind.value)
        self.last_refusal = RequestError(kind, detail)


class Steering:
    """Selects an owner for each request and forwards the request to it.

    :param current: returns whether the documents held are known to be current
    :param sleep: suspends the task for a number of seconds
    """

    def __init__(
        self,
        state: NodeState,
        admission: AdmissionController,
        links: LinkPool,
        current: Callable[[], bool] = lambda: True,
        sleep: Callable[[float], Awaitable[None]] = curio.sleep,
    ) -> None:
        self._state = state
        self._admission = admission
        self._links = links
        self._grants = GrantClient(state, links, current)
        self._link_budgets = LinkBudgets(state.settings.region_link_bits)
        self._decisions = DecisionLog()
        self._sleep = sleep
        self._waiting = 0
        self.shifts = ShiftController(state, links, current)

    def decisions(self, service: str = "", client: str = "") -> list[Decision]:
        """Return the recent routing decisions for a service and a client, newest first."""
        return self._decisions.find(service, client)

    def explain(self, service: str, home: str, client: str) -> dict[str, Any]:
        """Return the shift and the recent decisions for a client's requests, ready for JSON."""
        now = self._state.clock.now()
        fraction = client_fraction(service, client)
        budget = self.shifts.find(service, home)
        shift = None
        if budget is not None:
            shift = {
                "goal": budget.goal.value,
                "level": budget.level,
                "share": budget.share(now),
                "allowed": {move.value: budget.allowed(move, now) for move in Move},
                "legs": [destination.value for destination in budget.destinations(fraction, now)],
            }
        return {
            "client_fraction": fraction,
            "shift": shift,
            "decisions": [_decision_json(found, now) for found in self.decisions(service, client)],
        }

    def dump(self) -> dict[str, Any]:
        """Return shifts, grants and link budgets, ready for JSON."""
        return {
            "shifts": self.shifts.dump(),
            "grants": self._grants.dump(),
            "links": self._link_budgets.dump(),
        }

    async def run(self, forward: Forward) -> Forwarded:
        """Run a request on a target of this VM or of another owner, and return the answer.

        Another owner is tried only after a refusal that states that the request was not run.

        :raises RequestError: if every owner tried refuses it, or its outcome is unknown
        """
        context = self._create_context(forward)
        fraction = client_fraction(forward.service, forward.client)
        level = context.budget.level
        outcome = ErrorKind.INTERNAL.value
        try:
            answer = await self._run_in_rounds(context, fraction)
            outcome = "ran"
            return answer
        except RequestError as error:
            outcome = error.kind.value
            raise
        finally:
            self._decisions.add(
                Decision(
                    service=forward.service,
                    client=forward.client,
                    home=forward.home,
                    at=context.deadline - timedelta(milliseconds=forward.deadline_ms),
                    level=level,
                    fraction=fraction,
                    steps=tuple(context.steps),
                    outcome=outcome,
                )
            )

    def _create_context(self, forward: Forward) -> _RequestContext:
        document = self._state.document(forward.service).document
        now = self._state.clock.now()
        budget = self.shifts.budget(document, forward.home)
        budget.count_request(now)
        detail = f'service "{forward.service}" has no reachable target'
        return _RequestContext(
            forward=forward,
            document=document,
            budget=budget,
            deadline=now + timedelta(milliseconds=forward.deadline_ms),
            last_refusal=RequestError(ErrorKind.NO_TARGET, detail),
        )

    async def _run_in_rounds(self, context: _RequestContext, fraction: float) -> Forwarded:
        """Try the candidate VMs in rounds until one runs the request or waiting is not allowed."""
        for _ in range(_MAX_ROUNDS):
            answer = await self._try_destinations(context, fraction)
            if answer is not None:
                return answer
            if not self._may_wait(context):
                break
            await self._wait(context)
        raise context.last_refusal

    def _may_wait(self, context: _RequestContext) -> bool:
        """Return whether a request may wait for a free slot.

        A request refused by the cap may not wait: it would be shifted in a later window than it
        arrived in, on top of that window's own requests.
        """
        left = context.deadline - self._state.clock.now()
        return (
            context.last_refusal.kind is ErrorKind.OVERLOADED
            and context.attempts < _MAX_ATTEMPTS
            and left > context.document.timeout / 2
            and self._waiting < _MAX_WAITING
        )

    async def _wait(self, context: _RequestContext) -> None:
        self._waiting += 1
        try:
            await self._sleep(_ROUND_INTERVAL_SECONDS)
        finally:
            self._waiting -= 1

    async def _try_destinations(
        self, context: _RequestContext, fraction: float
    ) -> Forwarded | None:
        for destination in self._destinations(context, fraction):
            match destination:
                case Destination.HOME:
                    answer = await self._run_in_home_region(context)
                case Destination.AWAY_PLANNED:
                    answer = await self._run_in_other_region(context, Move.PLANNED)
                case Destination.AWAY_FAILURE:
                    answer = await self._run_in_other_region(context, Move.FAILURE)
            if answer is not None:
                return answer
        return None

    def _destinations(self, context: _RequestContext, fraction: float) -> tuple[Destination, ...]:
        now = self._state.clock.now()
        if self.shifts.home_health(context.document, context.forward.home).probe_due(now):
            return (Destination.HOME, Destination.AWAY_FAILURE)
        return context.budget.destinations(fraction, now)

    async def _run_in_home_region(self, context: _RequestContext) -> Forwarded | None:
        home = context.forward.home
        if not context.budget.may_return(Move.FAILURE, self._state.clock.now()):
            detail = f'the cap does not let more traffic return to region "{home}" now'
            context.record_refusal(home, ErrorKind.CAP_REACHED, detail)
            return None
        home_health = self.shifts.home_health(context.document, home)
        targets_reachable = False
        for domain in self._domains(home):
            for vm in islice(self._owners(context, domain), _MAX_OWNERS_PER_DOMAIN):
                if context.attempts >= _MAX_HOME_ATTEMPTS:
                    break
                answer = await self._try_vm(context, vm)
                if answer is not None:
                    home_health.record_success()
                    return answer
                targets_reachable = (
                    targets_reachable or context.last_refusal.kind is not ErrorKind.NO_TARGET
                )
        if not targets_reachable:
            home_health.record_failure(self._state.clock.now())
        return None

    async def _run_in_other_region(self, context: _RequestContext, move: Move) -> Forwarded | None:
        home = context.forward.home
        for region in context.document.order.get(home, ()):
            if region == home or not context.document.accepts(region):
                continue
            if not context.budget.may_move(move, self._state.clock.now()):
                allowed = context.budget.allowed(move, self._state.clock.now())
                detail = f'the cap lets region "{home}" shift only {allowed:.0%} of its traffic now'
                context.record_refusal(region, ErrorKind.CAP_REACHED, detail)
                return None
            for domain in self._domains(region):
                for vm in islice(self._owners(context, domain), _MAX_OWNERS_PER_DOMAIN):
                    answer = await self._try_vm(context, vm, move)
                    if answer is not None:
                        return answer
        return None

    async def _try_vm(
        self, context: _RequestContext, vm: EntryVM, move: Move | None = None
    ) -> Forwarded | None:
        """Run a request at one owner; return None if it was not run and may go to another owner.

        :raises RequestError: if too little time is left, the request may have run, or the refusal
            is not retryable
        """
        left = context.deadline - self._state.clock.now()
        if context.attempts >= _MAX_ATTEMPTS:
            return None
        if left < _MIN_TIME_LEFT:
            raise RequestError(
                ErrorKind.DEADLINE_TOO_SHORT, f"{left} left, expected at least {_MIN_TIME_LEFT}"
            )
        try:
            if vm.domain == self._state.settings.domain:
                self._charge_budgets(context, vm, move)
                answer = await self._run_on_vm(context, vm, left)
            else:
                answer = await self._run_with_grant(context, vm, move, left)
        except RequestError as error:
            context.add_step(vm.name, error.kind.value)
            if not error.not_run or not error.answer.retryable:
                raise
            context.last_refusal = error
            return None
        context.add_step(vm.name, "ran")
        return answer

    async def _run_with_grant(
        self, context: _RequestContext, vm: EntryVM, move: Move | None, left: timedelta
    ) -> Forwarded:
        service = context.forward.service
        grant = await self._grants.take(service, vm, left)
        if grant is None:
            reachable = self._grants.reachable(service, vm)
            kind = ErrorKind.OVERLOADED if reachable else ErrorKind.NO_TARGET
            detail = f'VM "{vm.name}" granted no slot of service "{service}"'
            raise RequestError(kind, detail)
        try:
            self._charge_budgets(context, vm, move)
            left = context.deadline - self._state.clock.now()
            return await self._run_on_vm(context, vm, left, grant)
        finally:
            self._grants.give_back(grant)

    def _charge_budgets(self, context: _RequestContext, vm: EntryVM, move: Move | None) -> None:
        """Charge a request to the link's bandwidth and, if it is a move, to the shift cap.

        :raises RequestError: if one of these budgets is exhausted
        """
        now = self._state.clock.now()
        settings = self._state.settings
        forward = context.forward
        if vm.region != settings.region:
            size = len(forward.body) + len(forward.path)
            vms = self._count_live_vms(settings.region)
            if not self._link_budgets.take(vm.region, forward.service, size, vms, now):
                detail = f'no bandwidth left from region "{settings.region}" to "{vm.region}"'
                raise RequestError(ErrorKind.OVERLOADED, detail)
        if move is not None and not context.budget.take(move, now):
            detail = f'region "{forward.home}" has shifted as much traffic as its cap allows'
            raise RequestError(ErrorKind.CAP_REACHED, detail)

    async def _run_on_vm(
        self, context: _RequestContext, vm: EntryVM, left: timedelta, grant: HeldGrant | None = None
    ) -> Forwarded:
        own = vm.name == self._state.settings.name
        if own and self._admission.limit(context.document) == 0:
            detail = f'VM "{vm.name}" has no usable target of service "{context.document.service}"'
            raise RequestError(ErrorKind.NO_TARGET, detail)
        context.attempts += 1
        forward = attrs.evolve(
            context.forward,
            purpose=Purpose.RUN,
            deadline_ms=max(0, int(left.total_seconds() * 1000)),
            grant=grant.id if grant else 0,
        )
        if own:
            return await self._admission.run(forward, left)
        try:
            answer = await self._links.call(vm.peers, forward, left)
        except LinkError as error:
            kind = ErrorKind.ANSWER_LOST if error.sent else ErrorKind.NO_TARGET
            raise RequestError(kind, f'entry VM "{vm.name}": {error}') from error
        if vm.region != self._state.settings.region:
            self._link_budgets.charge_answer(vm.region, forward.service, len(answer.body))
        return answer

    def _count_live_vms(self, region: str) -> int:
        directory = self._state.directory
        live = [vm for domain in directory.domains for vm in directory.live(domain)]
        return sum(1 for vm in live if vm.region == region)

    def _domains(self, region: str) -> list[str]:
        """Return the failure domains of a region, with this VM's own one first."""
        directory = self._state.directory
        own = self._state.settings.domain
        members = {domain: directory.domain(domain).members for domain in directory.domains}
        in_region = [domain for domain, vms in members.items() if vms and vms[0].region == region]
        return sorted(in_region, key=lambda domain: (domain != own, domain))

    def _owners(self, context: _RequestContext, domain: str) -> Iterator[EntryVM]:
        """Yield the VMs of a failure domain that may run a request, those with free slots first.

        A VM that reports free slots is a candidate even if it no longer owns a target, so that a
        handover leaves no gap; in the own domain, so is a live VM without a report, since a process
        that has just started has no heartbeats yet. Among equals, this VM comes first as it needs
        no hop, then the others by rendezvous hashing of client and path, so that caches stay warm.
        """
        members = {vm.name: vm for vm in self._state.directory.domain(domain).members}
        listed = self._state.directory.live(domain)
        live = [vm.name for vm in listed if self._admission.may_own(vm)]
        document = context.document
        targets = [t for t in document.targets if t.domain == domain and not document.draining(t)]
        free_slots = {name: self._free_slots(name, document) for name in members}
        owners = {owner(target.name, live) for target in targets} - {None}
        candidates = owners | {name for name in members if free_slots[name]}
        if domain == self._state.settings.domain:
            candidates |= {name for name in live if free_slots[name] is None}
        ranking = ranked(f"{context.forward.client} {context.forward.path}", candidates)
        own = self._state.settings.name
        for name in sorted(ranking, key=lambda name: (_slot_rank(free_slots[name]), name != own)):
            yield members[name]

    def _free_slots(self, vm: str, document: Document) -> int | None:
        """Return the free slots that an owner reports, or None without a recent report."""
        if vm == self._state.settings.name:
            return self._admission.free(document)
        load = self._state.peers.load(vm, document.service, self._state.clock.now())
        return load.free if load else None


def _slot_rank(free: int | None) -> int:
    """Return the sort rank of a VM by its free slots: 0 for some, 1 for unknown, 2 for none."""
    if free is None:
        return 1
    return 0 if free else 2


def _decision_json(decision: Decision, now: timedelta) -> dict[str, Any]:
    return {
        "seconds_ago": round((now - decision.at).total_seconds(), 3),
        "home": decision.home,
        "level": decision.level,
        "steps": [f"{step.place}: {step.reason}" for step in decision.steps],
        "outcome": decision.outcome,
    }
