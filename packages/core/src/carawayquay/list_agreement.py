"""Agreement between entry VMs on the version of the VM list that determines slot shares.

A decrease of a share takes effect at once; the process confirms the list version to the others as
soon as its use fits the new share. An increase takes effect only when the version is settled, that
is, confirmed by every other member. Until then a process uses its lowest share over the last
settled version and all later ones, so the shares in use never exceed those of the newest version
that any process has settled.
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
    """List versions that one process of another VM has confirmed."""

    incarnation: int
    versions: set[int] = attrs.field(factory=set)
    settled: int = 0


class ListAgreement:
    """Tracks the list versions in use by this process and the confirmations of the other members.

    :param vm: the name of this entry VM
    :param incarnation: the number that identifies this start of the process
    :param now: the start time of this process
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
        """The lists that limit this process's shares: the last settled one and all later ones."""
        return tuple(self._lists)

    @property
    def version(self) -> int:
        """The newest list version that this process has adopted, or 0."""
        return self._lists[-1].version if self._lists else 0

    @property
    def settled_version(self) -> int:
        """The newest version that this process has settled, or 0."""
        return self._settled

    @property
    def settled(self) -> bool:
        """Whether any version is settled, so that this process may use its own share."""
        return self._settled > 0

    @property
    def position(self) -> ListPosition:
        """The list position that this process reports to the others."""
        return ListPosition(
            self._vm, self._incarnation, self.version, self._confirmed, self._settled
        )

    def adopt(self, listed: DomainList, now: timedelta) -> None:
        """Adopt a list if it is newer than the current one."""
        if listed.version <= self.version:
            return
        for name in self._lists[-1].names if self._lists else ():
            self._removed_at.setdefault(name, now)
        for name in listed.names:
            self._removed_at.pop(name, None)
        self._lists.append(listed)

    def confirm(self, now: timedelta, quiescence_time: timedelta) -> None:
        """Confirm the newest list; the caller has checked that the use of every target fits it.

        A process that has just started waits until no request of an earlier process on its VM can
        still be running.

        :param quiescence_time: longest time for which requests can outlive the process that sent
            them
        """
        if now - self._started_at >= quiescence_time:
            self._confirmed = self.version

    def observe_version(self, version: int) -> None:
        """Record a version that another process has seen, so that no older one is settled."""
        self._newest_observed = max(self._newest_observed, version)

    def record_position(self, position: ListPosition) -> None:
        """Record the list position of another process from a reply to a request of this one.

        Only positions from replies are used: an unsolicited one may predate this process.
        """
        self.observe_version(position.version)
        held = self._confirmations.get(position.vm)
        if held is None or held.incarnation != position.incarnation:
            held = self._confirmations[position.vm] = _Confirmations(position.incarnation)
        held.versions.add(position.confirmed)
        held.versions = {version for version in held.versions if version >= self._settled}
        held.settled = max(held.settled, position.settled)

    def settle(self, now: timedelta, quiescence_time: timedelta) -> bool:
        """Settle the newest list if possible; return whether it is settled.

        This process must have confirmed it, and so must every other member unless one has settled
        it already. No process may have reported a newer version, and requests of removed VMs must
        have ended.

        :param quiescence_time: longest time for which requests can outlive the process that sent
            them
        """
        if self.version in (0, self._settled):
            return self.settled
        if self._settleable(now, quiescence_time):
            self._settled = self.version
            del self._lists[:-1]
            self._removed_at.clear()
        return self._settled == self.version

    def _settleable(self, now: timedelta, quiescence_time: timedelta) -> bool:
        if self._confirmed < self.version or self._newest_observed > self.version:
            return False
        if any(now - since < quiescence_time for since in self._removed_at.values()):
            return False
        others = [name for name in self._lists[-1].names if name != self._vm]
        known = [self._confirmations.get(name) for name in others]
        settled_elsewhere = any(held and held.settled == self.version for held in known)
        return settled_elsewhere or all(held and self.version in held.versions for held in known)
