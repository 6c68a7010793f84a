"""Model of the slot shares across list versions: one target with two slots, and three entry VMs.

From version to version, shares rise and fall. A VM may skip a version, one process restarts, and
the last version removes a VM that has stopped. A query and its reply are one atomic step, since a
reply that arrives late has the same content as one that arrived at once.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["SLOTS", "Safeguard", "check", "list_model"]

SLOTS = 2
MAX_STATES = 2_000_000

_VMS = (0, 1, 2)

#: Share of each VM in slots by list version, from version 1 on; version 4 removes the first VM.
_SHARES = ((1, 1, 0), (1, 0, 1), (1, 1, 0), (0, 1, 1))
_LAST_VERSION = len(_SHARES)
_REMOVED_VM = 0


class Safeguard(enum.Enum):
    """A rule of the protocol that a check can disable."""

    CONFIRMATION = "a share rises only after the other VMs have confirmed the version"
    EXACT_VERSION = "only a confirmation of exactly the same version counts"
    MINIMUM_SHARE = "a VM uses its lowest share in all versions since the settled one"
    DRAIN_BEFORE_CONFIRMATION = (
        "a VM confirms a version only when its running requests fit its share"
    )
    HOLD_AFTER_START = (
        "a restarted process confirms nothing until the requests of the earlier process have ended"
    )
    HOLD_AFTER_REMOVAL = (
        "a list that removes a VM is settled only after the requests of that VM have ended"
    )
    SETTLE_AFTER_START = "a restarted process uses no slot until its version is settled"


class VM(NamedTuple):
    """One process of an entry VM.

    :param versions: list versions that limit its share, newest last
    :param settled: newest version known to be confirmed by all its members, or 0 after a restart
    :param confirmed: newest version that this process has confirmed, or 0 after a restart
    :param running: number of running requests that it started
    :param orphans: number of running requests that an earlier process on the VM started
    :param confirmed_by: other VMs whose confirmation of the newest version it has received
    """

    versions: tuple[int, ...] = (1,)
    settled: int = 1
    confirmed: int = 1
    running: int = 0
    orphans: int = 0
    confirmed_by: frozenset[int] = frozenset()
    alive: bool = True


class State(NamedTuple):
    """The whole system.

    :param published: newest list version that the platform has published
    :param restarted: whether a process has restarted, which excludes further restarts; the
        initial value excludes all of them if the check allows none
    """

    published: int = 1
    restarted: bool = False
    vms: tuple[VM, ...] = (VM(), VM(), VM())


def list_model(disabled: Safeguard | None = None, *, restarts: bool = True) -> Protocol:
    """Return the model, with one safeguard disabled if one is given.

    :param restarts: whether one process may restart
    """
    steps = _Transitions(disabled)
    return Protocol(
        name="slot-lists",
        candidate=False,
        fields=State._fields,
        initial=tuple(State(restarted=not restarts)),
        transitions=lambda values: [
            (label, tuple(s)) for label, s in steps.successors(State(*values))
        ],
        invariants={"running_at_most_slots": _is_within_slots},
    )


def check(
    disabled: Safeguard | None = None, *, restarts: bool = True, max_states: int = MAX_STATES
) -> dict[str, Any]:
    """Search the model and return minicheck's report.

    :param max_states: number of states after which the search stops; a counterexample that was
        found before is valid
    """
    return check_safety(list_model(disabled, restarts=restarts), max_states=max_states)


def _is_within_slots(state: dict[str, Any]) -> bool:
    return sum(vm.running + vm.orphans for vm in state["vms"]) <= SLOTS


class _Transitions:
    """The transitions that are possible from a state."""

    def __init__(self, disabled: Safeguard | None) -> None:
        self._disabled = disabled

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        if state.published < _LAST_VERSION:
            yield "the platform publishes a list", _publish(state)
        for index in _VMS:
            for label, vm in self._vm_steps(state, index, state.vms[index]):
                yield f"VM {index} {label}", _replace_vm(state, index, vm)
            if not state.restarted and state.vms[index].alive:
                yield f"VM {index} restarts", _restart(state, index)

    def _is_enabled(self, safeguard: Safeguard) -> bool:
        return self._disabled is not safeguard

    def _vm_steps(self, state: State, index: int, vm: VM) -> Iterator[tuple[str, VM]]:
        if vm.orphans:
            yield "ends an orphan", vm._replace(orphans=vm.orphans - 1)
        if not vm.alive:
            return
        if vm.running:
            yield "ends a request", vm._replace(running=vm.running - 1)
        if vm.running < self._usable_slots(index, vm):
            yield "starts a request", vm._replace(running=vm.running + 1)
        version = vm.versions[-1]
        if version < state.published:
            versions = (*vm.versions, state.published)
            yield "adopts the list", vm._replace(versions=versions, confirmed_by=frozenset())
        if vm.confirmed < version and self._may_confirm(state, index, vm):
            yield "confirms the list", vm._replace(confirmed=version)
        for other in _members(version):
            if (
                other != index
                and other not in vm.confirmed_by
                and self._has_confirmed(state, other, version)
            ):
                yield f"receives the confirmation of VM {other}", vm._replace(
                    confirmed_by=vm.confirmed_by | {other}
                )
        if vm.settled < version and self._may_settle(state, index, vm):
            yield "settles the list", vm._replace(versions=(version,), settled=version)

    def _usable_slots(self, index: int, vm: VM) -> int:
        if not vm.settled and self._is_enabled(Safeguard.SETTLE_AFTER_START):
            return 0
        versions = vm.versions if self._is_enabled(Safeguard.MINIMUM_SHARE) else vm.versions[-1:]
        return min(_SHARES[version - 1][index] for version in versions)

    def _may_confirm(self, state: State, index: int, vm: VM) -> bool:
        if self._is_enabled(Safeguard.HOLD_AFTER_START) and self._may_have_earlier_requests(
            state, vm
        ):
            return False
        fits = vm.running <= min(_SHARES[version - 1][index] for version in vm.versions)
        return fits or not self._is_enabled(Safeguard.DRAIN_BEFORE_CONFIRMATION)

    def _may_have_earlier_requests(self, state: State, vm: VM) -> bool:
        """Return whether requests from before the start of a process may still run."""
        started_after_removal = vm.settled == 0 and vm.versions[0] == _LAST_VERSION
        return vm.orphans > 0 or (started_after_removal and state.vms[_REMOVED_VM].orphans > 0)

    def _has_confirmed(self, state: State, other: int, version: int) -> bool:
        confirmed = state.vms[other].confirmed
        if not state.vms[other].alive:
            return False
        return confirmed == version or (
            confirmed > version and not self._is_enabled(Safeguard.EXACT_VERSION)
        )

    def _may_settle(self, state: State, index: int, vm: VM) -> bool:
        version = vm.versions[-1]
        if vm.confirmed < version:
            return False
        removed = version == _LAST_VERSION and len(vm.versions) > 1
        if (
            removed
            and state.vms[_REMOVED_VM].orphans
            and self._is_enabled(Safeguard.HOLD_AFTER_REMOVAL)
        ):
            return False
        others = [other for other in _members(version) if other != index]
        settled_elsewhere = any(
            state.vms[other].alive and state.vms[other].settled == version for other in others
        )
        others_confirmed = settled_elsewhere or all(other in vm.confirmed_by for other in others)
        return others_confirmed or not self._is_enabled(Safeguard.CONFIRMATION)


def _members(version: int) -> tuple[int, ...]:
    return tuple(index for index in _VMS if version < _LAST_VERSION or index != _REMOVED_VM)


def _replace_vm(state: State, index: int, vm: VM) -> State:
    return state._replace(vms=(*state.vms[:index], vm, *state.vms[index + 1 :]))


def _publish(state: State) -> State:
    """Publish the next list version; a VM that it removes has stopped before."""
    state = state._replace(published=state.published + 1)
    if state.published < _LAST_VERSION:
        return state
    removed = state.vms[_REMOVED_VM]
    replacement = VM(alive=False, orphans=removed.running + removed.orphans)
    return _replace_vm(state, _REMOVED_VM, replacement)


def _restart(state: State, index: int) -> State:
    vm = state.vms[index]
    restarted_vm = VM(
        versions=(state.published,), settled=0, confirmed=0, orphans=vm.running + vm.orphans
    )
    return _replace_vm(state, index, restarted_vm)._replace(restarted=True)
