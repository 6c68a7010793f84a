"""Loans of target slots between entry VMs; lender and borrower let them expire independently."""

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

#: Lifetime of a loan, counted by the lender from the receipt of the request.
LOAN_LIFETIME = timedelta(milliseconds=1500)

#: Interval between requests to the same VM, which also renew loans.
RENEWAL_INTERVAL = timedelta(milliseconds=400)

#: Maximum difference between the rates of two clocks, as a fraction.
CLOCK_MARGIN = 0.01

#: Time for which the borrower uses a loan, counted from the sending of the request.
_USABLE_LIFETIME = LOAN_LIFETIME * (1 - CLOCK_MARGIN)


@attrs.frozen
class ListPosition:
    """The versions of the failure domain's VM list that a process has seen, confirmed and settled.

    :param incarnation: the number that identifies this start of the process
    :param version: newest version that it has adopted
    :param confirmed: newest version that it has confirmed, as its use of every target fits it
    :param settled: newest version that it knows to be confirmed by every member, or 0
    """

    vm: str
    incarnation: int
    version: int
    confirmed: int
    settled: int


@attrs.frozen
class TargetWarmth:
    """Warm-up progress of a target as a VM measured it on its own traffic.

    :param boot: the start of the target that was measured
    :param percent: 0 to 100
    """

    target: str
    boot: str
    percent: int


@attrs.frozen
class LoanRequest:
    """Requests, renews and returns loans of another VM's shares of targets.

    :param sequence: increases with each request of the process
    :param wanted: targets whose shares are requested or renewed
    :param returned: targets whose loans are returned
    :param warmth: warm-up progress of targets measured by the sender
    """

    position: ListPosition
    sequence: int
    wanted: list[str] = attrs.field(factory=list)
    returned: list[str] = attrs.field(factory=list)
    warmth: list[TargetWarmth] = attrs.field(factory=list)


@attrs.frozen
class Loan:
    """A loan of slots of a target, which the lender leaves unused for ``LOAN_LIFETIME``."""

    target: str
    slots: int


@attrs.frozen
class LoanReply:
    """The reply to a ``LoanRequest``.

    :param loans: the loans that were granted or renewed
    :param warmth: warm-up progress of targets measured by the lender
    """

    position: ListPosition
    loans: list[Loan] = attrs.field(factory=list)
    warmth: list[TargetWarmth] = attrs.field(factory=list)


@attrs.frozen
class _Borrower:
    """A process that borrows slots."""

    vm: str
    incarnation: int


@attrs.frozen
class _LentLoan:
    borrower: _Borrower
    slots: int
    expires_at: timedelta


class LentSlots:
    """The slots that this VM has lent, those of a target to one process at a time."""

    def __init__(self) -> None:
        self._loans: dict[str, list[_LentLoan]] = {}

    def reserved(self, target: str, now: timedelta, longest_run: timedelta) -> int:
        """Return how many slots of a target a borrower may still use.

        :param longest_run: longest time for which a request under a loan may run past its expiry
        """
        loans = self._loans.get(target)
        if not loans:
            return 0
        live = [loan for loan in loans if now < loan.expires_at + longest_run]
        self._loans[target] = live
        return max((loan.slots for loan in live), default=0)

    def is_lent_to_another(self, target: str, position: ListPosition) -> bool:
        """Return whether slots of a target are lent to a process other than the given one."""
        borrower = _Borrower(position.vm, position.incarnation)
        return any(loan.borrower != borrower for loan in self._loans.get(target, ()))

    def lend(self, target: str, position: ListPosition, slots: int, now: timedelta) -> None:
        """Record a loan to a process, which expires ``LOAN_LIFETIME`` from now.

        Earlier loans of more slots still count until they end; the others are replaced.
        """
        borrower = _Borrower(position.vm, position.incarnation)
        loans = self._loans.setdefault(target, [])
        loans[:] = [loan for loan in loans if loan.slots > slots]
        loans.append(_LentLoan(borrower, slots, now + LOAN_LIFETIME))

    def end_loan(self, target: str, position: ListPosition) -> None:
        """End a loan that the borrower has returned."""
        borrower = _Borrower(position.vm, position.incarnation)
        loans = self._loans.get(target, [])
        loans[:] = [loan for loan in loans if loan.borrower != borrower]


@attrs.frozen
class _BorrowedLoan:
    slots: int
    expires_at: timedelta


class BorrowedSlots:
    """The slots that this VM has borrowed from others."""

    def __init__(self) -> None:
        self._borrowed_loans: dict[str, dict[str, _BorrowedLoan]] = {}
        self._dropped_at_sequence: dict[str, int] = {}
        self._unreturned: dict[str, set[str]] = {}

    def slots(self, target: str, now: timedelta) -> int:
        """Return the number of borrowed slots of a target with unexpired loans."""
        held = self._borrowed_loans.get(target)
        if not held:
            return 0
        return sum(loan.slots for loan in held.values() if now < loan.expires_at)

    def slot_expiry(self, target: str, number: int, now: timedelta) -> timedelta | None:
        """Return the loan expiry of the nth borrowed slot of a target, or None if there are fewer.

        Slots are counted in descending order of loan expiry.

        :param number: n, from 1
        """
        loans = [
            loan for loan in self._borrowed_loans.get(target, {}).values() if now < loan.expires_at
        ]
        for loan in sorted(loans, key=lambda loan: loan.expires_at, reverse=True):
            number -= loan.slots
            if number <= 0:
                return loan.expires_at
        return None

    def accept(self, lender: str, loan: Loan, sequence: int, sent_at: timedelta) -> None:
        """Accept a loan in reply to a request, unless the target was dropped after the request.

        :param sequence: sequence number of the request
        :param sent_at: time at which the request was sent, from which the lifetime counts
        """
        if sequence <= self._dropped_at_sequence.get(loan.target, 0):
            self._unreturned.setdefault(lender, set()).add(loan.target)
            return
        self._unreturned.get(lender, set()).discard(loan.target)
        self._borrowed_loans.setdefault(loan.target, {})[lender] = _BorrowedLoan(
            loan.slots, sent_at + _USABLE_LIFETIME
        )

    def drop(self, target: str, sequence: int) -> None:
        """Drop all loans of a target and ignore later replies to earlier requests.

        :param sequence: sequence number of the last request sent
        """
        for lender in self._borrowed_loans.pop(target, {}):
            self._unreturned.setdefault(lender, set()).add(target)
        self._dropped_at_sequence[target] = sequence

    def unreturned(self, lender: str) -> tuple[str, ...]:
        """Return the dropped targets whose return a lender has not yet acknowledged."""
        return tuple(sorted(self._unreturned.get(lender, ())))

    def confirm_return(self, lender: str, target: str) -> None:
        """Record that a lender has acknowledged the return of a loan."""
        self._unreturned.get(lender, set()).discard(target)
