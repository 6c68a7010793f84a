"""Model of the replication of one document from the store to entry VMs that may restart.

Any step may happen at any time or never. This covers pauses, partitions, lost messages and failed
watches. The store may answer reads with an older copy.

A restarted VM never puts a lower version in force than before, provided that a VM with at least
that version is up and is asked before the store. Without such a peer, a stale store can't be
distinguished from a current one.
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
    """A rule of the protocol that a check can disable."""

    MONOTONIC_VERSIONS = "a VM adopts no version below the one in force"
    VALIDATION = "each VM validates each document"
    ACCEPTED_DIGEST = "peers also send the last accepted document, besides the newest one"
    PEERS_FIRST = "a starting VM reads from its peers before the store"
    ANTI_ENTROPY = "peers compare digests and pull changes that were lost"


class VM(NamedTuple):
    """One entry VM.

    :param in_force: version in force, or 0
    :param seen: newest version that it received, valid or not
    :param connected: whether it has read from the store or a peer since its start
    :param highest: highest version that it ever had in force, across restarts
    """

    in_force: int = 0
    seen: int = 0
    connected: bool = False
    highest: int = 0


class State(NamedTuple):
    """The validity of each version in the store, and the entry VMs."""

    valid: tuple[bool, ...]
    a: VM
    b: VM


_VMS = ("a", "b")


@attrs.frozen
class DocumentReplicationModel:
    """Two VMs with the object tables of the core package, and a store that may answer stale."""

    disabled: frozenset[Safeguard] = frozenset()

    def protocol(self) -> Protocol:
        """Return the model in the form that minicheck reads."""
        return Protocol(
            name="document-replication",
            candidate=False,
            fields=State._fields,
            initial=State((True,), VM(), VM()),
            transitions=lambda state: list(self._steps(State(*state))),
            invariants={
                "the version in force never decreases": lambda d: _is_monotonic(State(**d)),
                "no invalid document is in force": lambda d: _only_valid_in_force(State(**d)),
                "connected VMs converge on the last valid document": lambda d: self._converges(
                    State(**d)
                ),
            },
        )

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        if len(state.valid) < _VERSIONS:
            yield "a valid document is written", state._replace(valid=(*state.valid, True))
            yield "an invalid document is written", state._replace(valid=(*state.valid, False))
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
        """Return whether both VMs have the same version in force after they synchronise.

        One of them also reads the newest version from the store. True if neither is connected.
        """
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
        """Return an object table of the core package with the versions that a VM holds."""
        table = ObjectTable()
        table.register(DOCUMENTS, self._adopt)
        for version in (vm.in_force, vm.seen):
            if version:
                _offer(table, version, valid)
        return table

    def _adopt(self, item: StoredObject) -> None:
        if item.value == _INVALID and Safeguard.VALIDATION not in self.disabled:
            raise ObjectError("document is invalid")


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
    """Search the model with some safeguards disabled and return minicheck's report."""
    return check_safety(DocumentReplicationModel(frozenset(disabled)).protocol())


def main() -> None:
    """Check the model with all safeguards and without each one, and print the results."""
    print_verdicts("document replication", check, Safeguard)


if __name__ == "__main__":
    main()
