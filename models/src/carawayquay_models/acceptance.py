"""Model of operators who race on one document while answers of the store get lost."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay.changes import (
    Change,
    Committed,
    DocumentVersion,
    NotApplied,
    Superseded,
    resolve_write,
)
from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["AcceptanceModel", "Safeguard", "check", "main"]

#: Two sends of one change cover a repeat; more add no behaviour.
_MAX_SENDS = 2


class Safeguard(enum.Enum):
    """A rule that a check may take out."""

    CONDITIONAL_UPDATE = "the store writes only in place of the version that the writer names"
    READ_BACK = "after a lost answer the writer looks for its change id"


class Phase(enum.Enum):
    """How far a writer is."""

    START = "start"
    WAITING = "waiting"
    DOUBT = "doubt"
    MINE = "says: mine stands"
    APPLIED = "says: mine took effect and was replaced"
    REFUSED = "says: mine took no effect"
    UNKNOWN = "says: not known"


class Writer(NamedTuple):
    """One operator with one change.

    :param base: the version that the change is to replace
    :param sends: how often it was sent
    :param flying: the conditions of the sends that have not reached the store yet
    """

    phase: Phase = Phase.START
    base: int = 0
    sends: int = 0
    flying: tuple[int, ...] = ()


class State(NamedTuple):
    """The changes in the order in which they took effect, and the writers."""

    history: tuple[str, ...]
    one: Writer
    two: Writer


@attrs.frozen
class AcceptanceModel:
    """The writers of ``carawayquayctl``, judged by its own decision, against a lossy store."""

    without: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model as the checker takes it."""
        return Protocol(
            name="acceptance",
            candidate=False,
            fields=State._fields,
            initial=State(("initial",), Writer(), Writer()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "what a writer says is true": lambda d: _truthful(State(**d)),
                "exactly one wins each version": lambda d: _one_winner(State(**d)),
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        for name in ("one", "two"):
            for label, history, writer in self._writer_steps(name, state.history, state):
                yield f"{name} {label}", state._replace(history=history, **{name: writer})

    def _writer_steps(
        self, name: str, history: tuple[str, ...], state: State
    ) -> Iterator[tuple[str, tuple[str, ...], Writer]]:
        writer: Writer = getattr(state, name)
        for index, condition in enumerate(writer.flying):
            left = writer.flying[:index] + writer.flying[index + 1 :]
            applies = condition == len(history) or Safeguard.CONDITIONAL_UPDATE in self.without
            after = (*history, name) if applies else history
            yield "write arrives, answer is lost", after, writer._replace(flying=left)
            if writer.phase is Phase.WAITING:
                phase = Phase.MINE if applies else Phase.DOUBT
                yield "write is answered", after, writer._replace(flying=left, phase=phase)
        match writer.phase:
            case Phase.START:
                yield "reads and sends", history, _sent(writer, len(history))
            case Phase.WAITING:
                yield "waits no longer", history, writer._replace(phase=Phase.DOUBT)
            case Phase.DOUBT:
                yield "reads back", history, self._judged(name, writer, history)

    def _judged(self, name: str, writer: Writer, history: tuple[str, ...]) -> Writer:
        if Safeguard.READ_BACK in self.without:
            return writer._replace(phase=Phase.REFUSED)
        change = Change(name, _standing(history[: writer.base]), {})
        match resolve_write(change, _standing(history)):
            case Committed():
                return writer._replace(phase=Phase.MINE)
            case NotApplied() if writer.sends < _MAX_SENDS:
                return _sent(writer, writer.base)
            case Superseded(applied=applied):
                told = {True: Phase.APPLIED, False: Phase.REFUSED, None: Phase.UNKNOWN}
                return writer._replace(phase=told[applied])
        return writer._replace(phase=Phase.UNKNOWN)


def _sent(writer: Writer, base: int) -> Writer:
    if writer.sends >= _MAX_SENDS:
        return writer._replace(phase=Phase.UNKNOWN)
    return Writer(Phase.WAITING, base, writer.sends + 1, (*writer.flying, base))


def _standing(history: tuple[str, ...]) -> DocumentVersion:
    return DocumentVersion(len(history), history[-1], tuple(reversed(history[:-1])))


def _truthful(state: State) -> bool:
    for name in ("one", "two"):
        written = name in state.history
        match getattr(state, name).phase:
            case Phase.MINE | Phase.APPLIED if not written:
                return False
            case Phase.REFUSED if written:
                return False
    return True


def _one_winner(state: State) -> bool:
    """Return whether each change stands once, right after the version that it was to replace."""
    for name in ("one", "two"):
        places = [index for index, change in enumerate(state.history) if change == name]
        if len(places) > 1 or (places and places[0] != getattr(state, name).base):
            return False
    return True


def check(*without: Safeguard) -> dict[str, Any]:
    """Search the model without some safeguards and return the checker's report."""
    return check_safety(AcceptanceModel(frozenset(without)).protocol())


def main() -> None:
    """Check the model whole, and without each safeguard."""
    print_verdicts("acceptance", check, Safeguard)


if __name__ == "__main__":
    main()
