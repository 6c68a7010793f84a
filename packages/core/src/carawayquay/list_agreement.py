"""Agreement between entry VMs on the VM list by which slots are divided.

A process acts on a new list at once where that lowers its share, and confirms the list to the
others when its use has fallen to the new share. It acts on a share that the list raises only when
the list is settled: every other member has confirmed exactly this version. Until then it uses the
lowest share of all lists since the one that was settled last, so that the shares in use always
fit the newest list that any process has settled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.loans import ListPosition

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.membership import DomainList

__all__ = ["ListAgreement"]


@attrs.define
class _Confirmations:
    """The versions that one process of another VM confirmed to this one."""

    incarnation: int
    versions: set[int] = attrs.field(factory=set)
    settled: int = 0


class ListAgreement:
    """The lists that a process acts on, and what the other members confirmed.

    :param vm: the name of this entry VM
    :param now: when this process started
    """

    def __init__(self, vm: str, incarnation: int, now: timedelta) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._started_at = now
        self._lists: list[DomainList] = []
        self._confirmed = 0
        self._settled = 0
        self._newest_observed = 0
        self._confirmations: dict[str, _Confirmations] = {}
        self._removed_at: dict[str, timedelta] = {}

    @property
    def lists(self) -> tuple[DomainList, ...]:
        """The lists that bound this process's shares: the settled one and those after it."""
        return tuple(self._lists)

    @property
    def version(self) -> int:
        """The newest version that this process has seen, or 0."""
        return self._lists[-1].version if self._lists else 0

    @property
    def settled_version(self) -> int:
        """The newest version that every other member has confirmed, or 0."""
        return self._settled

    @property
    def settled(self) -> bool:
        """Whether this process may use a share of its own."""
        return self._settled > 0

    @property
    def position(self) -> ListPosition:
        """What this process tells the others."""
        return ListPosition(
            self._vm, self._incarnation, self.version, self._confirmed, self._settled
        )

    def adopt(self, listed: DomainList, now: timedelta) -> None:
        """Act on a list if it is newer than the one held."""
        if listed.version <= self.version:
            return
        for name in self._lists[-1].names if self._lists else ():
            self._removed_at.setdefault(name, now)
        for name in listed.names:
            self._removed_at.pop(name, None)
        self._lists.append(listed)

    def confirm(self, now: timedelta, hold: timedelta) -> None:
        """Note that the use of every target fits the newest list.

        A process that has just started waits until an earlier one on its VM has nothing running.

        :param hold: time after which a process that is gone can have nothing running
        """
        if now - self._started_at >= hold:
            self._confirmed = self.version

    def observe_version(self, version: int) -> None:
        """Note that some process has seen a version, so that an older one must not be settled."""
        self._newest_observed = max(self._newest_observed, version)

    def record_position(self, position: ListPosition) -> None:
        """Take the position that another process gave in reply to a request of this one.

        Only replies count: a position that was sent unasked may be older than this process.
        """
        self.observe_version(position.version)
        held = self._confirmations.get(position.vm)
        if held is None or held.incarnation != position.incarnation:
            held = self._confirmations[position.vm] = _Confirmations(position.incarnation)
        held.versions.add(position.confirmed)
        held.versions = {version for version in held.versions if version >= self._settled}
        held.settled = max(held.settled, position.settled)

    def settle(self, now: timedelta, hold: timedelta) -> bool:
        """Settle the newest list if every condition holds; return whether it is settled.

        :param hold: time after which a process that is gone can have nothing running
        """
        if self.version in (0, self._settled):
            return self.settled
        if self._settleable(now, hold):
            self._settled = self.version
            del self._lists[:-1]
            self._removed_at.clear()
        return self._settled == self.version

    def _settleable(self, now: timedelta, hold: timedelta) -> bool:
        if self._confirmed < self.version or self._newest_observed > self.version:
            return False
        if any(now - since < hold for since in self._removed_at.values()):
            return False
        others = [name for name in self._lists[-1].names if name != self._vm]
        known = [self._confirmations.get(name) for name in others]
        settled_elsewhere = any(held and held.settled == self.version for held in known)
        return settled_elsewhere or all(held and self.version in held.versions for held in known)
