"""Loans of slots between entry VMs, which end by themselves on both sides."""

from __future__ import annotations

from datetime import timedelta

import attrs

__all__ = [
    "CLOCK_MARGIN",
    "LOAN_LIFETIME",
    "RENEWAL_INTERVAL",
    "BorrowedSlots",
    "LentSlots",
    "ListPosition",
    "Loan",
    "LoanReply",
    "LoanRequest",
    "TargetWarmth",
]

#: How long a loan lasts, counted by the lender from when it received the request.
LOAN_LIFETIME = timedelta(milliseconds=1500)

#: Time between two requests to the same VM, which also renew the loans.
RENEWAL_INTERVAL = timedelta(milliseconds=400)

#: How much faster one clock may run than another, as a fraction.
CLOCK_MARGIN = 0.01

#: How long the borrower uses a loan, counted from when it sent the request.
_USABLE_LIFE = LOAN_LIFETIME * (1 - CLOCK_MARGIN)


@attrs.frozen
class ListPosition:
    """Where a process stands with the versions of its failure domain's list.

    :param incarnation: a number that each start of the process draws anew
    :param version: the newest version that it has seen
    :param confirmed: the newest version that its use of every target fits
    :param settled: the newest version that it knows every member to have confirmed, or 0
    """

    vm: str
    incarnation: int
    version: int
    confirmed: int
    settled: int


@attrs.frozen
class TargetWarmth:
    """How warm a VM found a target by its own traffic.

    :param boot: the start of the target that was seen
    :param percent: 0 to 100
    """

    target: str
    boot: str
    percent: int


@attrs.frozen
class LoanRequest:
    """A VM asks another for the shares of the targets that it is to run requests on.

    :param wanted: targets whose shares it asks for or renews
    :param returned: targets on which it no longer uses the other's share
    """

    position: ListPosition
    sequence: int
    wanted: list[str] = attrs.field(factory=list)
    returned: list[str] = attrs.field(factory=list)
    warmth: list[TargetWarmth] = attrs.field(factory=list)


@attrs.frozen
class Loan:
    """A lender's promise to leave slots of a target unused for ``LOAN_LIFETIME``."""

    target: str
    slots: int


@attrs.frozen
class LoanReply:
    """The answer to a request for loans."""

    position: ListPosition
    loans: list[Loan] = attrs.field(factory=list)
    warmth: list[TargetWarmth] = attrs.field(factory=list)


@attrs.frozen
class _Borrower:
    vm: str
    incarnation: int


@attrs.frozen
class _Promise:
    borrower: _Borrower
    slots: int
    until: timedelta


class LentSlots:
    """The slots that this VM lent, each target's to one process at a time."""

    def __init__(self) -> None:
        self._promises: dict[str, list[_Promise]] = {}

    def reserved(self, target: str, now: timedelta, longest_run: timedelta) -> int:
        """Return how many slots may still be in use by a borrower.

        :param longest_run: time for which a request that started under a loan may outlast it
        """
        promises = self._promises.get(target)
        if not promises:
            return 0
        live = [promise for promise in promises if now < promise.until + longest_run]
        self._promises[target] = live
        return max((promise.slots for promise in live), default=0)

    def is_lent_to_another(self, target: str, position: ListPosition) -> bool:
        """Return whether a process other than the given one was lent slots of a target."""
        borrower = _Borrower(position.vm, position.incarnation)
        return any(promise.borrower != borrower for promise in self._promises.get(target, ()))

    def lend(self, target: str, position: ListPosition, slots: int, now: timedelta) -> None:
        """Lend slots to a process for ``LOAN_LIFETIME`` from now."""
        borrower = _Borrower(position.vm, position.incarnation)
        promises = self._promises.setdefault(target, [])
        promises[:] = [promise for promise in promises if promise.slots > slots]
        promises.append(_Promise(borrower, slots, now + LOAN_LIFETIME))

    def end_loan(self, target: str, position: ListPosition) -> None:
        """End a loan that its borrower returned."""
        borrower = _Borrower(position.vm, position.incarnation)
        promises = self._promises.get(target, [])
        promises[:] = [promise for promise in promises if promise.borrower != borrower]


@attrs.frozen
class _Held:
    slots: int
    until: timedelta


class BorrowedSlots:
    """The slots that other VMs lent to this one."""

    def __init__(self) -> None:
        self._held: dict[str, dict[str, _Held]] = {}
        self._dropped_at: dict[str, int] = {}
        self._unreturned: dict[str, set[str]] = {}

    def slots(self, target: str, now: timedelta) -> int:
        """Return how many borrowed slots of a target may start a request now."""
        held = self._held.get(target)
        if not held:
            return 0
        return sum(loan.slots for loan in held.values() if now < loan.until)

    def slot_expiry(self, target: str, number: int, now: timedelta) -> timedelta | None:
        """Return when the right to the borrowed slot of a number ends, counted from 1.

        Slots of the loans that end last come first.
        """
        loans = [loan for loan in self._held.get(target, {}).values() if now < loan.until]
        for loan in sorted(loans, key=lambda loan: loan.until, reverse=True):
            number -= loan.slots
            if number <= 0:
                return loan.until
        return None

    def accept(self, lender: str, loan: Loan, sequence: int, sent_at: timedelta) -> None:
        """Take a loan that answers a request, unless the target was dropped since.

        :param sent_at: when the request was sent, from which the loan is counted
        """
        if sequence <= self._dropped_at.get(loan.target, 0):
            self._unreturned.setdefault(lender, set()).add(loan.target)
            return
        self._unreturned.get(lender, set()).discard(loan.target)
        self._held.setdefault(loan.target, {})[lender] = _Held(loan.slots, sent_at + _USABLE_LIFE)

    def drop(self, target: str, sequence: int) -> None:
        """Stop using the loans of a target; late answers to earlier requests are not taken.

        :param sequence: the number of the last request that was sent
        """
        for lender in self._held.pop(target, {}):
            self._unreturned.setdefault(lender, set()).add(target)
        self._dropped_at[target] = sequence

    def unreturned(self, lender: str) -> tuple[str, ...]:
        """Return the targets that were dropped and not yet given back to a lender."""
        return tuple(sorted(self._unreturned.get(lender, ())))

    def returned(self, lender: str, target: str) -> None:
        """Note that a lender knows of the return."""
        self._unreturned.get(lender, set()).discard(target)
