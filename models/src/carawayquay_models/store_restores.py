"""Model of one configuration in a store that is restored from older copies, and of two entry VMs.

Any step may happen at any time or never. The store gives its revision numbers out again after a
restore. The operator writes the newest version again if the store has lost it, before a later one.
"""

from __future__ import annotations

import enum
from itertools import permutations
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay.store_revision import NO_REVISION, StoreRevision
from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Safeguard", "StoreRestoreModel", "check", "main"]

_VERSIONS = 3
_ERAS = 3
_MAX_REVISIONS = 3
#: Stands for a change of another object in the store's history.
_OTHER = 0


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    ERA_ORDER = "revisions are ordered by the store's era first"
    WATCH_IN_ERA = "a watch that is answered in a later era counts as lost history"
    VERSION_ORDER = "a VM puts no version in force below the one in force"
    PULL_BY_VERSION = "a VM that is behind another one's version takes it from there"


class VM(NamedTuple):
    """One entry VM.

    :param era: the era of the revision that it has reached, 0 before its first listing
    :param number: the number of that revision
    :param in_force: version in force, or 0
    :param highest: highest version that it had in force since its start
    """

    era: int = 0
    number: int = 0
    in_force: int = 0
    highest: int = 0


class State(NamedTuple):
    """The store, the newest version that it confirmed, and the entry VMs.

    :param history: what each revision of the present era changed, a version or ``_OTHER``
    """

    era: int
    history: tuple[int, ...]
    newest: int
    a: VM
    b: VM

    @property
    def stored(self) -> int:
        """The version that the store has, or 0."""
        return max(self.history, default=0)


_VMS = ("a", "b")


@attrs.frozen
class StoreRestoreModel:
    """Two VMs that list and watch a store, and pull the configuration from each other."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model in the form that minicheck reads."""
        return Protocol(
            name="store-restores",
            candidate=False,
            fields=State._fields,
            initial=State(1, (1,), 1, VM(), VM()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "the version in force never decreases": lambda d: _is_monotonic(State(**d)),
                "a VM that follows the store gets the newest version": lambda d: self._converges(
                    State(**d)
                ),
                "a VM gets a version that only another VM has": lambda d: self._shares(State(**d)),
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield from _store_steps(state)
        for name, other in permutations(_VMS):
            vm, peer = getattr(state, name), getattr(state, other)
            yield f"{name} lists", state._replace(**{name: self._list(vm, state)})
            yield f"{name} watches", state._replace(**{name: self._watch(vm, state)})
            yield f"{name} pulls from {other}", state._replace(**{name: self._pull(vm, peer)})
            yield f"{name} restarts", state._replace(**{name: VM()})

    def _list(self, vm: VM, state: State) -> VM:
        """Return a VM after a listing, which it passes over if it is older than what it has."""
        listed = StoreRevision(state.era, len(state.history))
        if vm.era and self._revision(listed.era, listed.number) < self._revision(vm.era, vm.number):
            return vm
        changed_at = StoreRevision(state.era, _changed_at(state))
        is_new = self._revision(changed_at.era, changed_at.number) > self._revision(
            vm.era, vm.number
        )
        reached = vm._replace(era=listed.era, number=listed.number)
        return self._apply(reached, state.stored) if is_new or not vm.era else reached

    def _watch(self, vm: VM, state: State) -> VM:
        """Return a VM after a watch from its revision, or the same if history is lost."""
        if not vm.era or vm.number > len(state.history):
            return vm
        if vm.era != state.era and Safeguard.WATCH_IN_ERA not in self.disabled:
            return vm
        events = state.history[vm.number :]
        reached = vm._replace(era=state.era, number=len(state.history))
        return self._apply(reached, max(events, default=0))

    def _pull(self, vm: VM, peer: VM) -> VM:
        if Safeguard.PULL_BY_VERSION in self.disabled or peer.in_force <= vm.in_force:
            return vm
        return self._apply(vm, peer.in_force)

    def _apply(self, vm: VM, version: int) -> VM:
        if version == 0:
            return vm
        if version < vm.in_force and Safeguard.VERSION_ORDER not in self.disabled:
            return vm
        return vm._replace(in_force=version, highest=max(vm.highest, version))

    def _revision(self, era: int, number: int) -> StoreRevision:
        if Safeguard.ERA_ORDER in self.disabled:
            return StoreRevision(NO_REVISION.era, number)
        return StoreRevision(era, number)

    def _converges(self, state: State) -> bool:
        """Return whether VMs have the newest version once the store has and they follow it.

        A VM watches, and lists if the watch tells that history is lost.
        """
        if state.stored < state.newest:
            return True
        return all(
            self._followed(getattr(state, name), state).in_force == state.newest for name in _VMS
        )

    def _followed(self, vm: VM, state: State) -> VM:
        watched = self._watch(vm, state)
        lost = watched.era != state.era or vm.number > len(state.history)
        return self._list(watched, state) if lost else watched

    def _shares(self, state: State) -> bool:
        """Return whether a VM is level with the other one after it pulls from it."""
        return all(
            self._pull(vm, peer).in_force >= peer.in_force
            for vm, peer in permutations((state.a, state.b))
        )


def _store_steps(state: State) -> Iterator[tuple[str, State]]:
    if len(state.history) < _MAX_REVISIONS:
        if state.stored < state.newest:
            rewritten = (*state.history, state.newest)
            yield "the lost version is written again", state._replace(history=rewritten)
        elif state.newest < _VERSIONS:
            version = state.newest + 1
            written = (*state.history, version)
            yield f"version {version} is written", state._replace(history=written, newest=version)
        yield "another object changes", state._replace(history=(*state.history, _OTHER))
    if state.era < _ERAS:
        for length in range(len(state.history)):
            copy = state.history[:length]
            yield f"the store goes back to {length}", state._replace(
                era=state.era + 1, history=copy
            )


def _changed_at(state: State) -> int:
    """Return the number of the configuration's last change, or 0."""
    return max((n for n, version in enumerate(state.history, 1) if version), default=0)


def _is_monotonic(state: State) -> bool:
    return all(vm.in_force == vm.highest for vm in (state.a, state.b))


def check(*disabled: Safeguard) -> dict[str, Any]:
    """Search the model with some safeguards disabled and return minicheck's report."""
    return check_safety(StoreRestoreModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model with all safeguards and without each one, and print the results."""
    print_verdicts("store restores", check, Safeguard)


if __name__ == "__main__":
    main()
