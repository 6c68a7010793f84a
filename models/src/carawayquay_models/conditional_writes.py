"""Model of two operators who write one document concurrently through a store that loses answers."""

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

__all__ = ["ConditionalWriteModel", "Safeguard", "check", "main"]

#: Sends of one change: two cover a retry, and more add no behaviour.
_MAX_SENDS = 2


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    CONDITIONAL_UPDATE = "the store writes only if the version that the writer names is current"
    READ_BACK = "after a lost answer the writer reads the document and looks for its change id"


class Phase(enum.Enum):
    """The progress of a writer, and at the end what it reports to the operator."""

    START = "start"
    WAITING = "waiting"
    NO_ANSWER = "no answer"
    WRITTEN = "reports: written and current"
    REPLACED = "reports: written and replaced since"
    NOT_WRITTEN = "reports: not written"
    UNKNOWN = "reports: outcome unknown"


class Writer(NamedTuple):
    """One operator with one change.

    :param base: version that the change is to replace
    :param sends: number of times that the change was sent
    :param in_flight: expected versions of the writes that have not reached the store yet
    """

    phase: Phase = Phase.START
    base: int = 0
    sends: int = 0
    in_flight: tuple[int, ...] = ()


class State(NamedTuple):
    """The changes in the order in which the store wrote them, and the writers."""

    history: tuple[str, ...]
    one: Writer
    two: Writer


@attrs.frozen
class ConditionalWriteModel:
    """Two writers with the decisions of ``carawayquayctl``, and a store that loses answers."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model in the form that minicheck reads."""
        return Protocol(
            name="conditional-writes",
            candidate=False,
            fields=State._fields,
            initial=State(("initial",), Writer(), Writer()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "each writer reports the true outcome": lambda d: _reports_are_correct(State(**d)),
                "each change replaces only its base": lambda d: _each_change_replaces_its_base(
                    State(**d)
                ),
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
                yield "times out", history, writer._replace(phase=Phase.NO_ANSWER)
            case Phase.NO_ANSWER:
                yield "reads back", history, self._read_back(name, writer, history)

    def _read_back(self, name: str, writer: Writer, history: tuple[str, ...]) -> Writer:
        if Safeguard.READ_BACK in self.disabled:
            return writer._replace(phase=Phase.NOT_WRITTEN)
        change = Change(name, _stored_document(history[: writer.base]), {})
        match resolve_write(change, _stored_document(history)):
            case Committed():
                return writer._replace(phase=Phase.WRITTEN)
            case NotApplied() if writer.sends < _MAX_SENDS:
                return _send(writer, writer.base)
            case Superseded(applied=applied):
                phases = {True: Phase.REPLACED, False: Phase.NOT_WRITTEN, None: Phase.UNKNOWN}
                return writer._replace(phase=phases[applied])
        return writer._replace(phase=Phase.UNKNOWN)


def _send(writer: Writer, base: int) -> Writer:
    if writer.sends >= _MAX_SENDS:
        return writer._replace(phase=Phase.UNKNOWN)
    return Writer(Phase.WAITING, base, writer.sends + 1, (*writer.in_flight, base))


def _stored_document(history: tuple[str, ...]) -> DocumentVersion:
    return DocumentVersion(len(history), history[-1], tuple(reversed(history[:-1])))


def _reports_are_correct(state: State) -> bool:
    for name in ("one", "two"):
        written = name in state.history
        match getattr(state, name).phase:
            case Phase.WRITTEN | Phase.REPLACED if not written:
                return False
            case Phase.NOT_WRITTEN if written:
                return False
    return True


def _each_change_replaces_its_base(state: State) -> bool:
    """Return whether each change was written at most once, right after its base version."""
    for name in ("one", "two"):
        positions = [index for index, change in enumerate(state.history) if change == name]
        if len(positions) > 1 or (positions and positions[0] != getattr(state, name).base):
            return False
    return True


def check(*disabled: Safeguard) -> dict[str, Any]:
    """Search the model with some safeguards disabled and return minicheck's report."""
    return check_safety(ConditionalWriteModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model with all safeguards and without each one, and print the results."""
    print_verdicts("conditional writes", check, Safeguard)


if __name__ == "__main__":
    main()
