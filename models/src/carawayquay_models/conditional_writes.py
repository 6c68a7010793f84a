"""Model of operators who race on one document while answers of the store get lost."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay.changes import Absent, Change, Mine, Overtaken, Standing, judge_write
from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["ConditionalWriteModel", "Safeguard", "check", "main"]

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
    NO_ANSWER = "doubt"
    WRITTEN = "says: mine stands"
    REPLACED = "says: mine took effect and was replaced"
    NOT_WRITTEN = "says: mine took no effect"
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
    in_flight: tuple[int, ...] = ()


class State(NamedTuple):
    """The changes in the order in which they took effect, and the writers."""

    history: tuple[str, ...]
    one: Writer
    two: Writer


@attrs.frozen
class ConditionalWriteModel:
    """The writers of ``carawayquayctl``, judged by its own decision, against a lossy store."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model as the checker takes it."""
        return Protocol(
            name="acceptance",
            candidate=False,
            fields=State._fields,
            initial=State(("initial",), Writer(), Writer()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "what a writer says is true": lambda d: _reports_are_correct(State(**d)),
                "exactly one wins each version": lambda d: _each_version_replaced_once(State(**d)),
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
        for index, condition in enumerate(writer.in_flight):
            remaining = writer.in_flight[:index] + writer.in_flight[index + 1 :]
            applies = condition == len(history) or Safeguard.CONDITIONAL_UPDATE in self.disabled
            history_after = (*history, name) if applies else history
            yield "write arrives, answer is lost", history_after, writer._replace(
                in_flight=remaining
            )
            if writer.phase is Phase.WAITING:
                phase = Phase.WRITTEN if applies else Phase.NO_ANSWER
                yield "write is answered", history_after, writer._replace(
                    in_flight=remaining, phase=phase
                )
        match writer.phase:
            case Phase.START:
                yield "reads and sends", history, _send(writer, len(history))
            case Phase.WAITING:
                yield "waits no longer", history, writer._replace(phase=Phase.NO_ANSWER)
            case Phase.NO_ANSWER:
                yield "reads back", history, self._read_back(name, writer, history)

    def _read_back(self, name: str, writer: Writer, history: tuple[str, ...]) -> Writer:
        if Safeguard.READ_BACK in self.disabled:
            return writer._replace(phase=Phase.NOT_WRITTEN)
        change = Change(name, _stored_document(history[: writer.base]), {})
        match judge_write(change, _stored_document(history)):
            case Mine():
                return writer._replace(phase=Phase.WRITTEN)
            case Absent() if writer.sends < _MAX_SENDS:
                return _send(writer, writer.base)
            case Overtaken(applied=applied):
                phases = {True: Phase.REPLACED, False: Phase.NOT_WRITTEN, None: Phase.UNKNOWN}
                return writer._replace(phase=phases[applied])
        return writer._replace(phase=Phase.UNKNOWN)


def _send(writer: Writer, base: int) -> Writer:
    if writer.sends >= _MAX_SENDS:
        return writer._replace(phase=Phase.UNKNOWN)
    return Writer(Phase.WAITING, base, writer.sends + 1, (*writer.in_flight, base))


def _stored_document(history: tuple[str, ...]) -> Standing:
    return Standing(len(history), history[-1], tuple(reversed(history[:-1])))


def _reports_are_correct(state: State) -> bool:
    for name in ("one", "two"):
        written = name in state.history
        match getattr(state, name).phase:
            case Phase.WRITTEN | Phase.REPLACED if not written:
                return False
            case Phase.NOT_WRITTEN if written:
                return False
    return True


def _each_version_replaced_once(state: State) -> bool:
    """Return whether each change stands once, right after the version that it was to replace."""
    for name in ("one", "two"):
        positions = [index for index, change in enumerate(state.history) if change == name]
        if len(positions) > 1 or (positions and positions[0] != getattr(state, name).base):
            return False
    return True


def check(*disabled: Safeguard) -> dict[str, Any]:
    """Search the model without some safeguards and return the checker's report."""
    return check_safety(ConditionalWriteModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model whole, and without each safeguard."""
    print_verdicts("acceptance", check, Safeguard)


if __name__ == "__main__":
    main()
