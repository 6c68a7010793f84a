"""The members of an entry VM's failure domain, by VM list and heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.heartbeats import FAILURE_TIMEOUT
from carawayquay.membership import VMState
from carawayquay.neighbours import neighbours
from carawayquay.watchers import Candidate, StoreHealth, watchers

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.directory import Directory
    from carawayquay.heartbeats import PeerTable

__all__ = ["DomainView"]


class DomainView:
    """Liveness and roles of the members, combining the lagging VM list with heartbeats.

    :param name: name of this VM
    :param domain: name of its failure domain
    :param started_at: start time of this process
    """

    def __init__(
        self,
        name: str,
        domain: str,
        directory: Directory,
        peers: PeerTable,
        started_at: timedelta,
    ) -> None:
        self._name = name
        self._domain = domain
        self._directory = directory
        self._peers = peers
        self._started_at = started_at
        self.store = StoreHealth()

    @property
    def members(self) -> tuple[str, ...]:
        """The names of all listed members, sorted."""
        return tuple(sorted(self._directory.domain(self._domain).names))

    def alive(self, vm: str, now: timedelta) -> bool:
        """Return whether a VM is this one or sent a heartbeat within the failure timeout."""
        return vm == self._name or self._peers.alive(vm, now)

    def leaving(self, vm: str) -> bool:
        """Return whether a VM is leaving, by the VM list or by its heartbeats."""
        listed = self._directory.domain(self._domain).member(vm)
        marked = listed is not None and listed.state is VMState.LEAVING
        return marked or self._peers.leaving(vm)

    def usable(self, vm: str, now: timedelta) -> bool:
        """Return whether a member of this failure domain may be named to callers.

        Shortly after the start of this process, members without a heartbeat count as alive.
        """
        unheard = not self._peers.known(vm) and now - self._started_at < FAILURE_TIMEOUT
        return (unheard or self.alive(vm, now)) and not self.leaving(vm)

    def store_failed(self, now: timedelta) -> bool:
        """Return whether this VM's calls to the store failed recently."""
        return self.store.recently_failed(now, len(self.members))

    def watchers(self, now: timedelta) -> tuple[str, ...]:
        """Return the members that watch the store, by this VM's view of the domain.

        Without any candidate, this VM watches the store itself.
        """
        candidates = [
            Candidate(vm, self._store_failed(vm, now))
            for vm in self.members
            if self._may_watch(vm, now)
        ]
        if not candidates:
            return (self._name,)
        return watchers(self._domain, candidates)

    def watches(self, now: timedelta) -> bool:
        """Return whether this VM has to watch the store."""
        return self._name in self.watchers(now)

    def receivers(self, now: timedelta, turn: int) -> tuple[str, ...]:
        """Return the members to which this VM sends heartbeats.

        Lost members are excluded from the ring, to keep it connected, except for one in rotation,
        so that two halves of a partitioned failure domain find each other again.

        :param turn: number of the sending round, which increases by one each time
        """
        others = [vm for vm in self.members if vm != self._name]
        lost = [vm for vm in others if not self._peers.alive(vm, now)]
        alive = [vm for vm in others if self._peers.alive(vm, now)]
        probed = [lost[turn % len(lost)]] if lost else []
        return (*neighbours(self._name, alive), *probed)

    def _may_watch(self, vm: str, now: timedelta) -> bool:
        return self.alive(vm, now) and (vm == self._name or not self.leaving(vm))

    def _store_failed(self, vm: str, now: timedelta) -> bool:
        if vm == self._name:
            return self.store_failed(now)
        return self._peers.store_failed(vm)
