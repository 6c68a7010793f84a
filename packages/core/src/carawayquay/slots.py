"""Concurrency limits of targets as divided among entry VMs: own shares and loans of slots."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.list_agreement import ListAgreement
from carawayquay.loans import (
    CLOCK_MARGIN,
    LOAN_LIFETIME,
    BorrowedSlots,
    LentSlots,
    Loan,
    LoanReply,
    LoanRequest,
)
from carawayquay.shares import candidates, owner, share

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.documents import Target
    from carawayquay.loans import ListPosition
    from carawayquay.membership import DomainList

__all__ = ["CANCEL_GRACE", "START_WINDOW", "SlotTable", "Ticket", "owner"]

#: Time after taking a slot within which the request must start at the target.
START_WINDOW = timedelta(seconds=1)

#: Time within which a target notices that a connection was closed.
CANCEL_GRACE = timedelta(milliseconds=100)

#: A process that was paused for longer than this may have missed a new list.
_PAUSE_THRESHOLD = LOAN_LIFETIME

#: Time after a pause during which a process does not use its own shares, to receive a new list.
_PAUSE_HOLD = timedelta(seconds=1)


@attrs.frozen
class Ticket:
    """The right to run one request on a target.

    :param start_by: latest start time on this process's clock
    :param borrowed: whether the slot is borrowed from another VM
    """

    target: str
    start_by: timedelta
    borrowed: bool = False


class SlotTable:
    """Counts the running requests of each target and admits new ones within own share and loans.

    A VM may start a request while its running requests are fewer than its own share, less the slots
    lent, plus the unexpired loans. So all VMs together never exceed the target's slots.

    :param vm: the name of this entry VM
    :param incarnation: the number that identifies this start of the process
    :param now: the start time of this process
    """

    def __init__(self, vm: str, incarnation: int, now: timedelta) -> None:
        self._vm = vm
        self._agreement = ListAgreement(vm, incarnation, now)
        self._lent = LentSlots()
        self._borrowed = BorrowedSlots()
        self._targets: dict[str, Target] = {}
        self._longest_run = timedelta()
        self._running: dict[str, int] = {}
        self._lingering: dict[str, list[timedelta]] = {}
        self._shares: dict[str, int] = {}
        self._partners: frozenset[str] | None = None
        self._sequence = 0
        self._last_requests: dict[str, tuple[int, int]] = {}
        self._ticked_at = now
        self._own_usable_from = now

    @property
    def agreement(self) -> ListAgreement:
        """The state of the agreement on the VM list."""
        return self._agreement

    @property
    def quiescence_time(self) -> timedelta:
        """Longest time for which requests can still run on a target after their sender is gone."""
        return LOAN_LIFETIME * (1 + CLOCK_MARGIN) + self._overrun

    def running(self, target: str, now: timedelta) -> int:
        """Return the number of requests that may be running on a target."""
        lingering = self._lingering.get(target)
        if not lingering:
            return self._running.get(target, 0)
        self._lingering[target] = [until for until in lingering if now < until]
        return self._running.get(target, 0) + len(self._lingering[target])

    def own_slots(self, target: str, now: timedelta) -> int:
        """Return how many slots of its own share this VM can use now."""
        if not self._agreement.settled or now < self._own_usable_from or self._paused(now):
            return 0
        return max(0, self._share(target) - self._lent.reserved(target, now, self._overrun))

    def usable(self, target: str, now: timedelta) -> int:
        """Return this VM's current concurrency limit for a target, from own share and loans."""
        if self._paused(now):
            return 0
        return self.own_slots(target, now) + self._borrowed.slots(target, now)

    def free(self, target: str, now: timedelta) -> int:
        """Return the number of free slots of a target that this VM may use now."""
        return max(0, self.usable(target, now) - self.running(target, now))

    def dump(self, target: str, now: timedelta) -> dict[str, Any]:
        """Return the slot usage of a target, for JSON."""
        return {
            "running": self.running(target, now),
            "own": self.own_slots(target, now),
            "borrowed": self._borrowed.slots(target, now),
            "lent": self._lent.reserved(target, now, self._overrun),
        }

    def take(self, target: str, now: timedelta) -> Ticket | None:
        """Take a slot of a target.

        :returns: a ticket to run one request, or None if no slot is free
        """
        running = self.running(target, now)
        if running >= self.usable(target, now):
            return None
        own = self.own_slots(target, now)
        start_by = now + START_WINDOW
        if running >= own:
            start_by = min(start_by, self._borrowed.slot_expiry(target, running + 1 - own, now))
        self._running[target] = self._running.get(target, 0) + 1
        return Ticket(target, start_by, borrowed=running >= own)

    def give_back(self, ticket: Ticket, linger_until: timedelta | None = None) -> None:
        """Release a slot.

        :param linger_until: time until which the request may still be running and keeps the slot
            occupied, or None if it has ended
        """
        self._running[ticket.target] -= 1
        if linger_until is not None:
            self._lingering.setdefault(ticket.target, []).append(linger_until)

    def configure(self, targets: Iterable[Target], longest_run: timedelta) -> None:
        """Set the targets of this failure domain.

        :param longest_run: maximum duration of a request on any of them
        """
        self._targets = {target.name: target for target in targets}
        self._longest_run = max(self._longest_run, longest_run)
        self._invalidate_shares()

    def adopt(self, listed: DomainList, now: timedelta) -> None:
        """Adopt the VM list of this failure domain if it is newer."""
        if listed.version > self._agreement.version:
            self._agreement.adopt(listed, now)
            self._invalidate_shares()

    def tick(self, now: timedelta) -> None:
        """Detect pauses of this process, and confirm and settle the VM list if possible.

        A gap of more than ``_PAUSE_THRESHOLD`` between calls counts as a pause.
        """
        if self._paused(now):
            self._own_usable_from = now + _PAUSE_HOLD
        self._ticked_at = now
        if all(self._fits(target, now) for target in self._targets):
            self._agreement.confirm(now, self.quiescence_time)
        lists = self._agreement.lists
        self._agreement.settle(now, self.quiescence_time)
        if self._agreement.lists != lists:
            self._invalidate_shares()

    def should_ask(self, vm: str) -> bool:
        """Return whether to send a loan request to another VM now.

        It is needed if both VMs are candidates for a target, if the other one has not acknowledged
        a return, or if the newest list is not settled, which takes a reply of every member.
        """
        agreement = self._agreement
        if agreement.version == 0 or agreement.settled_version != agreement.version:
            return True
        if self._partners is None:
            self._partners = self._find_partners()
        return vm in self._partners or bool(self._borrowed.unreturned(vm))

    def request(
        self, lender: str, wanted: Callable[[str], bool], now: timedelta
    ) -> LoanRequest | None:
        """Build the loan request to another VM, or return None if no list is known.

        Loans of unwanted targets are dropped. They are returned once this VM's own share covers the
        requests that are still running.

        :param wanted: tells whether this VM should run requests on a target
        """
        if self._agreement.version == 0:
            return None
        members = self._agreement.lists[-1].names
        requested = []
        for target in self._targets:
            if not wanted(target):
                self._borrowed.drop(target, self._sequence)
            elif lender in candidates(target, members):
                requested.append(target)
        self._sequence += 1
        returned = [
            target
            for target in self._borrowed.unreturned(lender)
            if target not in requested and self.running(target, now) <= self.own_slots(target, now)
        ]
        return LoanRequest(self._agreement.position, self._sequence, requested, returned)

    def lend(
        self, request: LoanRequest, wanted: Callable[[str], bool], now: timedelta
    ) -> LoanReply:
        """Process another VM's request and return the reply.

        :param wanted: tells whether this VM should run requests on a target itself; it lends no
            slots of such a target
        """
        position = request.position
        self._agreement.observe_version(position.version)
        if self._is_stale(request):
            return LoanReply(self._agreement.position)
        for target in request.returned:
            self._lent.end_loan(target, position)
        loans = []
        for target in request.wanted:
            slots = 0 if wanted(target) else self._lendable(target, position, now)
            if slots > 0:
                self._lent.lend(target, position, slots, now)
                loans.append(Loan(target, slots))
        return LoanReply(self._agreement.position, loans)

    def accept(self, request: LoanRequest, reply: LoanReply, sent_at: timedelta) -> None:
        """Process the reply to a loan request.

        :param sent_at: time at which the request was sent
        """
        lender = reply.position.vm
        self._agreement.record_position(reply.position)
        for target in request.returned:
            self._borrowed.confirm_return(lender, target)
        for loan in reply.loans:
            self._borrowed.accept(lender, loan, request.sequence, sent_at)

    @property
    def _overrun(self) -> timedelta:
        """Longest time for which a request under a loan may run past its expiry."""
        return self._longest_run * (1 + CLOCK_MARGIN) + CANCEL_GRACE

    def _paused(self, now: timedelta) -> bool:
        return now - self._ticked_at > _PAUSE_THRESHOLD

    def _invalidate_shares(self) -> None:
        self._shares.clear()
        self._partners = None

    def _share(self, target: str) -> int:
        """Return this VM's share of a target, the lowest over all lists that limit it."""
        cached = self._shares.get(target)
        if cached is None:
            cached = self._shares[target] = self._find_lowest_share(target)
        return cached

    def _find_partners(self) -> frozenset[str]:
        """Return the VMs that share a target with this one as candidates."""
        members = self._agreement.lists[-1].names
        groups = [candidates(target, members) for target in self._targets]
        return frozenset(name for group in groups if self._vm in group for name in group)

    def _find_lowest_share(self, target: str) -> int:
        known = self._targets.get(target)
        if known is None:
            return 0
        return min(
            (
                share(target, known.slots, listed.names, self._vm)
                for listed in self._agreement.lists
            ),
            default=0,
        )

    def _fits(self, target: str, now: timedelta) -> bool:
        """Return whether the slots in use or lent from this VM's own share are within it."""
        reserved = self._lent.reserved(target, now, self._overrun)
        own_use = self.running(target, now) - self._borrowed.slots(target, now)
        return reserved + max(0, own_use) <= self._share(target)

    def _lendable(self, target: str, borrower: ListPosition, now: timedelta) -> int:
        """Return how many slots of its own share this VM can lend to a borrower.

        Slots of a target are lent to one process at a time; another one gets none until no request
        under the earlier loan can still be running.
        """
        if not self._agreement.settled or now < self._own_usable_from or self._paused(now):
            return 0
        reserved = self._lent.reserved(target, now, self._overrun)
        if reserved and self._lent.is_lent_to_another(target, borrower):
            return 0
        return self._share(target) - self.running(target, now)

    def _is_stale(self, request: LoanRequest) -> bool:
        """Return whether a newer request of the process has arrived; if not, record this one."""
        position = request.position
        held = self._last_requests.get(position.vm)
        if held and held[0] == position.incarnation and held[1] >= request.sequence:
            return True
        self._last_requests[position.vm] = (position.incarnation, request.sequence)
        return False
