"""Model of one document on its way from the store to entry VMs, over restarts, cuts and lies.

Every step may be taken at any time or never, which covers pauses, cuts, lost messages and dead
watchers. What is promised over the restart of a VM: it never has a lower version in force than
before, if a VM that knows as much is up and is asked before the store. With nobody left to ask, a
store that answers with an older copy can't be told from one that is current.
"""

from __future__ import annotations

import enum
from itertools import permutations
from typing import TYPE_CHECKING, Any, NamedTuple

import attrs
from minicheck import Protocol, check_safety

from carawayquay.errors import ObjectError
from carawayquay.objects import DOCUMENTS, ObjectTable, Pull, StoredObject
from carawayquay_models.verdicts import print_verdicts

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["DocumentReplicationModel", "Safeguard", "check", "main"]

_VERSIONS = 4
_VALID, _INVALID = b"good", b"bad"
_NAME = "sledway"


class Safeguard(enum.Enum):
    """A rule that a check may take out."""

    MONOTONIC_VERSIONS = "a reader takes no version below the one in force"
    VALIDATION = "each reader checks each document"
    ACCEPTED_DIGEST = "peers also pass on the last accepted document"
    PEERS_FIRST = "a starting VM asks its peers before the store"
    ANTI_ENTROPY = "peers compare digests, so that lost changes are pulled again"


class VM(NamedTuple):
    """One entry VM.

    :param highest: the highest version that it had in force, through all its restarts
    """

    in_force: int = 0
    seen: int = 0
    connected: bool = False
    highest: int = 0


class State(NamedTuple):
    """The goodness of each version in the store, and the entry VMs."""

    valid: tuple[bool, ...]
    a: VM
    b: VM


_VMS = ("a", "b")


@attrs.frozen
class DocumentReplicationModel:
    """Two VMs, whose object tables are the real ones, and a store that may answer stale."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model as the checker takes it."""
        return Protocol(
            name="spreading",
            candidate=False,
            fields=State._fields,
            initial=State((True,), VM(), VM()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "no version in force goes down": lambda d: _is_monotonic(State(**d)),
                "no bad document is in force": lambda d: _only_valid_in_force(State(**d)),
                "connected VMs get the last good document": lambda d: self._converges(State(**d)),
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        if len(state.valid) < _VERSIONS:
            yield "a good document is written", state._replace(valid=(*state.valid, True))
            yield "a bad document is written", state._replace(valid=(*state.valid, False))
        for name, other in permutations(_VMS):
            vm, peer = getattr(state, name), getattr(state, other)
            if vm.connected or not peer.connected or Safeguard.PEERS_FIRST in self.disabled:
                for version in range(1, len(state.valid) + 1):
                    after = self._read(vm, [version], state.valid)._replace(connected=True)
                    yield f"{name} reads version {version}", state._replace(**{name: after})
            if peer.connected:
                after = self._pull(vm, peer, state.valid)._replace(connected=True)
                yield f"{name} pulls from {other}", state._replace(**{name: after})
            if peer.connected and peer.in_force >= vm.highest:
                yield f"{name} restarts", state._replace(**{name: VM(highest=vm.highest)})

    def _converges(self, state: State) -> bool:
        """Return whether both VMs end level once both are connected and one reads the store."""
        if not state.a.connected and not state.b.connected:
            return True
        a, b = state.a, state.b
        if Safeguard.ANTI_ENTROPY not in self.disabled:
            a, b = self._synchronise(a, b, state.valid)
        a = self._read(a, [len(state.valid)], state.valid)
        if Safeguard.ANTI_ENTROPY not in self.disabled:
            a, b = self._synchronise(a, b, state.valid)
        return a.in_force == b.in_force

    def _synchronise(self, a: VM, b: VM, valid: tuple[bool, ...]) -> tuple[VM, VM]:
        a = self._pull(a, b, valid)
        return a, self._pull(b, a, valid)

    def _pull(self, vm: VM, peer: VM, valid: tuple[bool, ...]) -> VM:
        digests = self._table(vm, valid).digests()
        answer = self._table(peer, valid).answer(Pull(digests, complete=True))
        versions = sorted(item.version for item in answer.objects)
        if Safeguard.ACCEPTED_DIGEST in self.disabled:
            versions = [version for version in versions if version == peer.seen]
        if Safeguard.MONOTONIC_VERSIONS in self.disabled and peer.in_force:
            versions = [peer.in_force]
        return self._read(vm, versions, valid)

    def _read(self, vm: VM, versions: list[int], valid: tuple[bool, ...]) -> VM:
        if Safeguard.MONOTONIC_VERSIONS in self.disabled:
            accepted = [version for version in versions if valid[version - 1]]
            in_force = accepted[-1] if accepted else vm.in_force
            seen = max([vm.seen, *versions])
        else:
            table = self._table(vm, valid)
            for version in versions:
                _offer(table, version, valid)
            digest = table.digest(DOCUMENTS, _NAME)
            in_force, seen = digest.in_force, digest.seen
        return vm._replace(in_force=in_force, seen=seen, highest=max(vm.highest, in_force))

    def _table(self, vm: VM, valid: tuple[bool, ...]) -> ObjectTable:
        """Return the real object table of a VM."""
        table = ObjectTable()
        table.register(DOCUMENTS, self._adopt)
        for version in (vm.in_force, vm.seen):
            if version:
                _offer(table, version, valid)
        return table

    def _adopt(self, item: StoredObject) -> None:
        if item.value == _INVALID and Safeguard.VALIDATION not in self.disabled:
            raise ObjectError("bad")


def _offer(table: ObjectTable, version: int, valid: tuple[bool, ...]) -> None:
    value = _VALID if valid[version - 1] else _INVALID
    try:
        table.offer(StoredObject(DOCUMENTS, _NAME, version, value))
    except ObjectError:
        return


def _is_monotonic(state: State) -> bool:
    return all(vm.in_force in (0, vm.highest) for vm in (state.a, state.b))


def _only_valid_in_force(state: State) -> bool:
    return all(not vm.in_force or state.valid[vm.in_force - 1] for vm in (state.a, state.b))


def check(*disabled: Safeguard) -> dict[str, Any]:
    """Search the model without some safeguards and return the checker's report."""
    return check_safety(DocumentReplicationModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model whole, and without each safeguard."""
    print_verdicts("spreading", check, Safeguard)


if __name__ == "__main__":
    main()
