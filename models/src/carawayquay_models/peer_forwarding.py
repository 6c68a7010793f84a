"""Model of one request at an entry VM that sends it to targets itself or through two other VMs.

Any step may happen at any time or never, so that freezes, hanging connections and delays need no
steps of their own. A request on its way to a target may arrive after everybody has given it up.
A helping VM that is cut off, stops or has no capacity refuses.
"""

from __future__ import annotations

import enum
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["PeerForwardingModel", "Safeguard", "check", "main"]

_MAX_ATTEMPTS = 2
_MAX_RECEIVED = _MAX_ATTEMPTS + 1
_DEADLINE_STEPS = 1
_MAX_STATES = 1_000_000

#: The time once the caller's deadline has passed without an answer.
_LATE = -1

#: The ways to a target: the VM's own, and those through the two helping VMs.
_OWN = "own"
_HELPERS = ("a", "b")
_WAYS = (_OWN, *_HELPERS)


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    ONE_HOP = "a helping VM never sends a request through a third VM"
    UNKNOWN_IS_NOT_REFUSED = "an unknown outcome is never told as not run"
    SENT_ONCE = "a request that must not be repeated is not sent again after an unknown outcome"
    COUNTED_BY_SENDER = "attempts through other VMs count at the sending VM"
    ONE_TARGET = "a helping VM sends a request to one target only"
    OWN_TIMER = "the sending VM waits for another one until the caller's deadline only"
    VERSION = "a helping VM with an older configuration refuses"


class Phase(enum.Enum):
    """What a VM does with the request that was sent through it."""

    FREE = "free"
    TAKEN = "taken"
    WAITING = "waiting for a target"
    ANSWERED = "answered"
    NOT_RUN = "not run by the target"
    FAILED = "no answer of the target"
    REFUSED = "refused"
    DEAD = "dead"


_REPLIES = (Phase.ANSWERED, Phase.NOT_RUN, Phase.FAILED, Phase.REFUSED)


class Way(NamedTuple):
    """One way to a target.

    :param on_the_way: whether a request that was sent to a target has not arrived
    :param older: whether the VM's configuration is older than the sending VM's
    :param repeated: whether the VM has sent the request to a second target
    """

    phase: Phase = Phase.FREE
    on_the_way: bool = False
    older: bool = False
    repeated: bool = False


class Told(enum.Enum):
    """What the caller was told."""

    NOTHING = "nothing"
    ANSWER = "a target's answer"
    NOT_RUN = "not run"
    UNKNOWN = "unknown outcome"


class State(NamedTuple):
    """The caller's request, the sending VM and the ways to targets.

    :param repeatable: whether the request may be repeated
    :param waiting: the way on which the sending VM waits, empty if it waits for none
    :param asked: the helping VMs that refused
    :param sent: attempts as the sending VM counts them
    :param may_have_run: whether the sending VM takes it that a target may have run the request
    :param left: time until the caller's deadline
    :param received: number of targets that received the request
    :param runs: number of targets that ran it
    :param hops: number of VMs through which it was sent, one after the other
    :param by_older: whether it was sent to a target by an older configuration
    """

    repeatable: bool
    told: Told = Told.NOTHING
    waiting: str = ""
    asked: frozenset[str] = frozenset()
    sent: int = 0
    may_have_run: bool = False
    left: int = _DEADLINE_STEPS
    received: int = 0
    runs: int = 0
    hops: int = 0
    by_older: bool = False
    own: Way = Way()
    a: Way = Way()
    b: Way = Way(older=True)

    def way(self, name: str) -> Way:
        """Return one of the ways to a target."""
        return getattr(self, name)

    def with_way(self, name: str, **changes: Any) -> State:
        """Return the state with one way changed."""
        return self._replace(**{name: self.way(name)._replace(**changes)})


@attrs.frozen
class PeerForwardingModel:
    """One request, of either kind, at a VM that may reach targets itself or through others."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self, *, repeatable: bool) -> Protocol:
        """Return the model in the form that minicheck reads."""
        return Protocol(
            name="peer-forwarding",
            candidate=False,
            fields=State._fields,
            initial=State(repeatable),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "a request that must not be repeated runs at most once": lambda d: (
                    d["repeatable"] or d["runs"] <= 1
                ),
                "a request that is told as not run does not run": lambda d: (
                    d["told"] is not Told.NOT_RUN or d["runs"] == 0
                ),
                "no more targets than max_attempts receive a request": lambda d: (
                    d["received"] <= _MAX_ATTEMPTS
                ),
                "a request goes through one other VM at a time": lambda d: d["hops"] <= 1,
                "the caller is answered by its deadline": lambda d: d["left"] != _LATE,
                "no request is sent by an older configuration": lambda d: not d["by_older"],
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.told is Told.NOTHING:
            yield from self._sender_steps(state)
            yield from self._time_steps(state)
        for name in _WAYS:
            yield from self._way_steps(state, name)
            yield from self._target_steps(state, name)
        if state.b.older:
            yield "b gets the newer configuration", state.with_way("b", older=False)

    def _sender_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.waiting:
            yield from self._result_steps(state)
            return
        yield "the sending VM gives up", self._end(state)
        if state.left > 0 and self._may_send(state):
            for name in _WAYS:
                if state.way(name).phase is Phase.FREE and name not in state.asked:
                    hops = 0 if name == _OWN else 1
                    taken = state.with_way(name, phase=Phase.TAKEN, repeated=False)
                    yield f"sent by way of {name}", taken._replace(waiting=name, hops=hops)

    def _may_send(self, state: State) -> bool:
        if state.sent >= _MAX_ATTEMPTS:
            return False
        if state.may_have_run and not state.repeatable:
            return Safeguard.SENT_ONCE in self.disabled
        return True

    def _result_steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield what the sending VM makes of an answer, or of a connection that breaks."""
        name = state.waiting
        way = state.way(name)
        ended = state._replace(waiting="")
        if way.phase in _REPLIES:
            freed = ended.with_way(name, phase=Phase.FREE)
            yield f"{name}: {way.phase.value}", self._take(freed, name, way.phase)
        if name != _OWN:
            yield f"the connection to {name} breaks", self._take(ended, name, Phase.FAILED)

    def _take(self, state: State, name: str, reply: Phase) -> State:
        counted = state._replace(sent=state.sent + self._weight(name))
        match reply:
            case Phase.ANSWERED:
                return counted._replace(told=Told.ANSWER)
            case Phase.NOT_RUN:
                return counted
            case Phase.REFUSED:
                return state._replace(asked=state.asked | {name})
            case _:
                return counted._replace(may_have_run=True)

    def _weight(self, name: str) -> int:
        counted = name == _OWN or Safeguard.COUNTED_BY_SENDER not in self.disabled
        return 1 if counted else 0

    def _end(self, state: State) -> State:
        """Return the state after the final answer of a request that no target answered."""
        unknown = state.may_have_run or bool(state.waiting)
        if unknown and Safeguard.UNKNOWN_IS_NOT_REFUSED not in self.disabled:
            return state._replace(told=Told.UNKNOWN, waiting="")
        return state._replace(told=Told.NOT_RUN, waiting="")

    def _time_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.left > 0:
            yield "time passes", state._replace(left=state.left - 1)
        elif state.left == 0:
            yield "the deadline passes", self._end(state)
            if state.waiting and Safeguard.OWN_TIMER in self.disabled:
                yield "time passes after the deadline", state._replace(left=_LATE)

    def _way_steps(self, state: State, name: str) -> Iterator[tuple[str, State]]:
        """Yield the steps of the VM that has the request."""
        way = state.way(name)
        listened = state.waiting == name
        if way.phase is Phase.TAKEN:
            if not way.older or Safeguard.VERSION in self.disabled:
                sent = state.with_way(name, phase=Phase.WAITING, on_the_way=True)
                yield f"{name} sends to a target", sent._replace(by_older=way.older)
            yield f"{name} refuses", state.with_way(name, phase=Phase.REFUSED)
            if name != _OWN and listened and Safeguard.ONE_HOP in self.disabled:
                yield from _pass_on(state, name)
        if way.phase is Phase.WAITING:
            yield f"{name} gets no answer", state.with_way(name, phase=Phase.FAILED)
            repeats = state.repeatable and not way.repeated and not way.on_the_way
            if name != _OWN and repeats and Safeguard.ONE_TARGET in self.disabled:
                again = state.with_way(name, on_the_way=True, repeated=True)
                yield f"{name} sends to a second target", again
        if not listened and way.phase not in (Phase.FREE, Phase.DEAD):
            yield f"{name} notices that nobody waits", state.with_way(name, phase=Phase.FREE)
        if name != _OWN and way.phase is not Phase.DEAD:
            yield f"{name} is killed", state.with_way(name, phase=Phase.DEAD)

    def _target_steps(self, state: State, name: str) -> Iterator[tuple[str, State]]:
        """Yield the steps of a request that is on its way to a target."""
        way = state.way(name)
        if not way.on_the_way or state.received >= _MAX_RECEIVED:
            return
        lost = state.with_way(name, on_the_way=False)
        yield f"request of {name} is lost", lost
        arrived = lost._replace(received=state.received + 1)
        ran = arrived._replace(runs=state.runs + 1)
        yield f"target of {name} runs, its answer is lost", ran
        if way.phase is Phase.WAITING:
            yield f"target of {name} answers", ran.with_way(name, phase=Phase.ANSWERED)
            yield f"target of {name} refuses", arrived.with_way(name, phase=Phase.NOT_RUN)


def _pass_on(state: State, name: str) -> Iterator[tuple[str, State]]:
    """Yield the steps of a helping VM that sends the request through the other one."""
    for other in _HELPERS:
        if other != name and state.way(other).phase is Phase.FREE:
            passed = state.with_way(name, phase=Phase.FREE).with_way(other, phase=Phase.TAKEN)
            yield f"{name} passes on to {other}", passed._replace(waiting=other, hops=2)


def check(*disabled: Safeguard, repeatable: bool) -> dict[str, Any]:
    """Search the model with some safeguards disabled and return minicheck's report.

    :param repeatable: whether the request may be repeated
    """
    protocol = PeerForwardingModel(frozenset(disabled)).protocol(repeatable=repeatable)
    return check_safety(protocol, max_states=_MAX_STATES)


def main() -> None:
    """Check the model for both kinds of requests, and without each safeguard."""
    for repeatable, kind in ((False, "sent once"), (True, "repeatable")):
        print_verdicts(f"peer forwarding, {kind}", partial(check, repeatable=repeatable), Safeguard)


if __name__ == "__main__":
    main()
