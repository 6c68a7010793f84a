"""Model of watches that the store answers late or never, and of two entry VMs that rely on them.

Any step may happen at any time or never. The first VM watches the store; the second one follows it,
and watches too while the first one does not count as watching.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Safeguard", "StoreWatchModel", "check", "main"]

_MAX_REVISION = 3

#: Stands for the revision of a watch that a VM has not sent.
_NOT_SENT = -1


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    CHECK = "a VM asks for changes while its watch waits"
    CONFIRM_BY_ANSWER = "only an answer of the store confirms what a VM knows"
    ANSWER_FIRST = "a VM counts as watching only once the store has answered it"
    COMPARE_REPORT = "a report confirms only a VM that has the sender's changes"


class VM(NamedTuple):
    """One entry VM.

    :param known: revision up to which it has all changes
    :param confirmed: revision of the store up to which it counts its knowledge as confirmed
    :param watch: revision from which its watch waits, or ``_NOT_SENT``
    :param swallowed: whether the store took the watch and will never answer it
    :param answered: whether the store has answered the VM since it began to watch
    :param relied_on: whether it reports that it watches
    """

    known: int = 0
    confirmed: int = 0
    watch: int = _NOT_SENT
    swallowed: bool = False
    answered: bool = False
    relied_on: bool = False


class State(NamedTuple):
    """The store's revision, whether it is silent, and the entry VMs."""

    revision: int
    silent: bool
    first: VM
    second: VM


@attrs.frozen
class StoreWatchModel:
    """Two VMs of a domain whose store may swallow calls."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model in the form that minicheck reads."""
        return Protocol(
            name="store-watches",
            candidate=False,
            fields=State._fields,
            initial=State(0, False, VM(), VM()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "no VM is confirmed beyond what it knows": lambda d: _is_sound(State(**d)),
                "a VM that the store answers learns every change": lambda d: self._learns(
                    State(**d)
                ),
                "a VM on which another one relies was answered": lambda d: _is_answered(State(**d)),
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.revision < _MAX_REVISION:
            yield "an object changes", state._replace(revision=state.revision + 1)
        yield "the store falls silent or answers again", state._replace(silent=not state.silent)
        for name in ("first", "second"):
            yield from self._vm_steps(name, state)
        yield "the first VM reports", state._replace(second=self._told(state.second, state.first))

    def _vm_steps(self, name: str, state: State) -> Iterator[tuple[str, State]]:
        vm = getattr(state, name)
        if vm.watch == _NOT_SENT:
            yield f"{name} sends a watch", state._replace(**{name: self._send(vm, state)})
        elif not vm.swallowed and vm.watch < state.revision:
            yield f"{name} gets its watch's answer", state._replace(**{name: _answered(vm, state)})
        if vm.watch != _NOT_SENT:
            yield f"{name} checks", state._replace(**{name: self._check(vm, state)})
            waits = self._wait(vm, state)
            yield f"{name} hears nothing for a while", state._replace(**{name: waits})
        stopped = VM(known=vm.known, confirmed=vm.confirmed)
        yield f"{name} stops to watch", state._replace(**{name: stopped})

    def _send(self, vm: VM, state: State) -> VM:
        """Return a VM after it has sent a watch, the first one without a wait for changes."""
        if not vm.answered and Safeguard.ANSWER_FIRST not in self.disabled:
            return vm if state.silent else _answered(vm, state)
        return vm._replace(watch=vm.known, swallowed=state.silent, relied_on=True)

    def _check(self, vm: VM, state: State) -> VM:
        """Return a VM after it asked for changes: an answer brings all, none ends the watch."""
        if Safeguard.CHECK in self.disabled:
            return vm
        return VM(vm.known, vm.confirmed) if state.silent else _answered(vm, state)

    def _wait(self, vm: VM, state: State) -> VM:
        """Return a VM after its watch was silent for a while."""
        if Safeguard.CONFIRM_BY_ANSWER in self.disabled:
            return vm._replace(confirmed=max(vm.confirmed, state.revision))
        return vm

    def _told(self, vm: VM, sender: VM) -> VM:
        """Return a VM after a report of another one."""
        compared = Safeguard.COMPARE_REPORT not in self.disabled
        if not sender.relied_on or (compared and vm.known < sender.known):
            return vm
        return vm._replace(confirmed=max(vm.confirmed, sender.confirmed))

    def _learns(self, state: State) -> bool:
        """Return whether a VM that watches has every change after its next call, if answered."""
        if state.silent:
            return True
        watching = [vm for vm in (state.first, state.second) if vm.watch != _NOT_SENT]
        return all(self._next_answer(vm, state).known == state.revision for vm in watching)

    def _next_answer(self, vm: VM, state: State) -> VM:
        waiting = vm if vm.swallowed else _answered(vm, state)
        return self._check(waiting, state)


def _answered(vm: VM, state: State) -> VM:
    """Return a VM that the store told all changes."""
    return VM(state.revision, state.revision, answered=True, relied_on=True)


def _is_sound(state: State) -> bool:
    return all(vm.confirmed <= vm.known for vm in (state.first, state.second))


def _is_answered(state: State) -> bool:
    return all(vm.answered or not vm.relied_on for vm in (state.first, state.second))


def check(*disabled: Safeguard) -> dict[str, Any]:
    """Search the model with some safeguards disabled and return minicheck's report."""
    return check_safety(StoreWatchModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model with all safeguards and without each one, and print the results."""
    print_verdicts("store watches", check, Safeguard)


if __name__ == "__main__":
    main()
