"""Model of slot loans: one target with two slots, a borrower and a lender that own one slot each.

The passing of time is a step of its own that may come before any other step. Pauses and delays
therefore need no steps of their own: a paused borrower is one whose requests arrive late. The
borrower's clock may miss one step during each loan. A request in flight stays in the network until
its fence has expired. A restart turns the requests of the borrower into orphans, which still
arrive and run.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["SLOTS", "Safeguard", "check", "loan_model"]

SLOTS = 2
MAX_STATES = 1_000_000

#: Durations in steps: of a loan, of the longest run, until a sent request must start, and the
#: margin for clock drift.
_LOAN_STEPS = 3
_MAX_RUN_STEPS = 2
_START_LIMIT_STEPS = 1
_CLOCK_MARGIN_STEPS = 1

#: Age of a message that is not in the network; also the remaining time of an expired fence.
_NONE = -1


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    CLOCK_MARGIN = "the borrower ends a loan earlier by a margin for clock drift"
    COUNT_FROM_SEND = "the borrower counts the loan from the time when it sent the request"
    FENCE = "a target starts no request whose fence has expired"
    HOLD_AFTER_EXPIRY = (
        "after a loan has expired, the lender waits for the longest run before it reuses the slot"
    )
    SEQUENCE = "messages sent before a return of the loan are ignored"
    HOLD_AFTER_START = "a restarted process uses its own slot only after a loan and the longest run"
    INCARNATION = "a restarted process counts as another borrower"


class State(NamedTuple):
    """The whole system; times are in steps.

    :param request_age: age of the loan request in the network, or -1
    :param reply_age: age of the loan request whose reply is in the network, or -1
    :param returned_since: whether the loan was returned after the message in the network was sent
    :param loan_remaining: time until the loan expires for the borrower
    :param clock_may_lag: whether the borrower's clock may still miss a step of the loan
    :param lent_remaining: time until the loan expires for the lender
    :param reuse_hold: time from that expiry until the lender reuses the slot
    :param startup_hold: time until a restarted borrower uses its own slot
    :param restarted: whether the borrower has restarted
    :param lent_to_previous: whether the loan is to the process before the restart
    :param in_flight: for each request of the borrower in the network, the time until its fence
        expires
    :param runs: for each running request of the borrower, the time until the longest run is over
    :param orphan_in_flight: like ``in_flight``, sent by the borrower before its restart
    :param orphan_runs: like ``runs``, sent by the borrower before its restart
    :param lender_in_flight: like ``in_flight``, sent by the lender
    :param lender_runs: like ``runs``, sent by the lender
    """

    request_age: int = _NONE
    reply_age: int = _NONE
    returned_since: bool = False
    loan_remaining: int = 0
    clock_may_lag: bool = False
    lent_remaining: int = 0
    reuse_hold: int = 0
    startup_hold: int = 0
    restarted: bool = False
    lent_to_previous: bool = False
    in_flight: tuple[int, ...] = ()
    runs: tuple[int, ...] = ()
    orphan_in_flight: tuple[int, ...] = ()
    orphan_runs: tuple[int, ...] = ()
    lender_in_flight: tuple[int, ...] = ()
    lender_runs: tuple[int, ...] = ()


#: Fields of the requests in flight and of the running requests, for each sender.
_PARTIES = (
    ("in_flight", "runs"),
    ("orphan_in_flight", "orphan_runs"),
    ("lender_in_flight", "lender_runs"),
)


def loan_model(disabled: Safeguard | None = None) -> Protocol:
    """Return the model, with one safeguard disabled if one is given."""
    steps = _Transitions(disabled)
    return Protocol(
        name="slot-loans",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda values: [
            (label, tuple(s)) for label, s in steps.successors(State(*values))
        ],
        invariants={"running_at_most_slots": _is_within_slots},
    )


def check(disabled: Safeguard | None = None) -> dict[str, Any]:
    """Search the model and return minicheck's report."""
    return check_safety(loan_model(disabled), max_states=MAX_STATES)


def _is_within_slots(state: dict[str, Any]) -> bool:
    return sum(len(state[runs]) for _, runs in _PARTIES) <= SLOTS


class _Transitions:
    """The transitions that are possible from a state."""

    def __init__(self, disabled: Safeguard | None) -> None:
        self._disabled = disabled

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        yield from self._message_steps(state)
        yield from self._send_steps(state)
        yield from self._target_steps(state)
        if not state.restarted:
            yield "borrower restarts", self._restart(state)
        yield from self._time_steps(state)

    def _is_enabled(self, safeguard: Safeguard) -> bool:
        return self._disabled is not safeguard

    def _message_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.request_age == _NONE and state.reply_age == _NONE:
            yield "borrower requests a loan", state._replace(request_age=0, returned_since=False)
        if state.request_age != _NONE:
            yield "request is lost", state._replace(request_age=_NONE)
            yield "lender answers", self._lend(state)
        if state.reply_age != _NONE:
            yield "reply is lost", state._replace(reply_age=_NONE)
            yield "borrower receives the loan", self._borrow(state)
        if (state.lent_remaining or state.reuse_hold) and len(state.in_flight) + len(
            state.runs
        ) <= 1:
            in_transit = state.request_age != _NONE or state.reply_age != _NONE
            if not state.startup_hold and not state.lent_to_previous:
                yield "borrower returns the loan", state._replace(
                    loan_remaining=0, lent_remaining=0, reuse_hold=0, returned_since=in_transit
                )

    def _lend(self, state: State) -> State:
        consumed = state._replace(request_age=_NONE)
        if state.returned_since and self._is_enabled(Safeguard.SEQUENCE):
            return consumed
        if state.lender_in_flight or state.lender_runs:
            return consumed
        other_incarnation = state.lent_to_previous and (state.lent_remaining or state.reuse_hold)
        if other_incarnation and self._is_enabled(Safeguard.INCARNATION):
            return consumed
        reuse_hold = _MAX_RUN_STEPS if self._is_enabled(Safeguard.HOLD_AFTER_EXPIRY) else 0
        return consumed._replace(
            lent_remaining=_LOAN_STEPS,
            reuse_hold=reuse_hold,
            reply_age=state.request_age,
            lent_to_previous=False,
        )

    def _borrow(self, state: State) -> State:
        consumed = state._replace(reply_age=_NONE)
        if state.returned_since and self._is_enabled(Safeguard.SEQUENCE):
            return consumed
        age = state.reply_age if self._is_enabled(Safeguard.COUNT_FROM_SEND) else 0
        margin = _CLOCK_MARGIN_STEPS if self._is_enabled(Safeguard.CLOCK_MARGIN) else 0
        return consumed._replace(
            loan_remaining=max(0, _LOAN_STEPS - margin - age), clock_may_lag=True
        )

    def _send_steps(self, state: State) -> Iterator[tuple[str, State]]:
        own_slots = 0 if state.startup_hold else 1
        used_slots = len(state.in_flight) + len(state.runs)
        if used_slots < own_slots + (1 if state.loan_remaining else 0):
            fence = (
                _START_LIMIT_STEPS
                if used_slots < own_slots
                else min(_START_LIMIT_STEPS, state.loan_remaining - 1)
            )
            yield "borrower sends a request", _add(state, "in_flight", fence)
        if not (
            state.lender_in_flight or state.lender_runs or state.lent_remaining or state.reuse_hold
        ):
            yield "lender sends a request", _add(state, "lender_in_flight", _START_LIMIT_STEPS)

    def _target_steps(self, state: State) -> Iterator[tuple[str, State]]:
        for in_flight, runs in _PARTIES:
            for remaining in set(getattr(state, in_flight)):
                if remaining >= 0 or not self._is_enabled(Safeguard.FENCE):
                    yield f"one of {in_flight} starts", _add(
                        _remove(state, in_flight, remaining), runs, _MAX_RUN_STEPS
                    )
            for remaining in set(getattr(state, runs)):
                yield f"one of {runs} ends", _remove(state, runs, remaining)

    def _restart(self, state: State) -> State:
        return state._replace(
            request_age=_NONE,
            reply_age=_NONE,
            loan_remaining=0,
            clock_may_lag=False,
            startup_hold=(
                _LOAN_STEPS + _MAX_RUN_STEPS if self._is_enabled(Safeguard.HOLD_AFTER_START) else 0
            ),
            restarted=True,
            lent_to_previous=bool(state.lent_remaining or state.reuse_hold),
            in_flight=(),
            runs=(),
            orphan_in_flight=state.in_flight,
            orphan_runs=state.runs,
        )

    def _time_steps(self, state: State) -> Iterator[tuple[str, State]]:
        after = self._advance_clock(state)
        yield "time passes", after
        if state.clock_may_lag and state.loan_remaining:
            yield "time passes, but the borrower's clock misses the step", after._replace(
                loan_remaining=state.loan_remaining, clock_may_lag=False
            )

    def _advance_clock(self, state: State) -> State:
        loan_ended = state.lent_remaining == 0
        changes: dict[str, Any] = {
            "request_age": (
                min(state.request_age + 1, _LOAN_STEPS) if state.request_age != _NONE else _NONE
            ),
            "reply_age": (
                min(state.reply_age + 1, _LOAN_STEPS) if state.reply_age != _NONE else _NONE
            ),
            "loan_remaining": max(0, state.loan_remaining - 1),
            "lent_remaining": max(0, state.lent_remaining - 1),
            "reuse_hold": max(0, state.reuse_hold - 1) if loan_ended else state.reuse_hold,
            "startup_hold": max(0, state.startup_hold - 1),
        }
        for in_flight, runs in _PARTIES:
            changes[in_flight] = self._age_in_flight(getattr(state, in_flight))
            changes[runs] = tuple(
                remaining - 1 for remaining in getattr(state, runs) if remaining > 0
            )
        return state._replace(**changes)

    def _age_in_flight(self, in_flight: tuple[int, ...]) -> tuple[int, ...]:
        if self._is_enabled(Safeguard.FENCE):
            return tuple(remaining - 1 for remaining in in_flight if remaining > 0)
        return tuple(max(_NONE, remaining - 1) for remaining in in_flight)


def _add(state: State, field: str, value: int) -> State:
    return state._replace(**{field: tuple(sorted((*getattr(state, field), value)))})


def _remove(state: State, field: str, value: int) -> State:
    values = list(getattr(state, field))
    values.remove(value)
    return state._replace(**{field: tuple(values)})
