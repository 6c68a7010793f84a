"""The other failure domains: what their summaries say, and for how long that stands."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.domain_relays import relays
from carawayquay.report_pace import ReportPace, distance, summary_pace

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.load_reports import DomainSummary, VMIdentity
    from carawayquay.report_pace import Distance

__all__ = ["FarDomain", "FarDomains"]

#: How long a sender of summaries counts among those of its domain after its last one.
_SENDER_MEMORY = timedelta(seconds=60)


@attrs.define
class _Sender:
    """One VM that sends summaries of its domain."""

    incarnation: int
    sequence: int
    heard: timedelta
    vms: int
    members: tuple[VMIdentity, ...] = ()


@attrs.define
class FarDomain:
    """One other failure domain.

    What is known of its VMs stays when it falls silent: a domain that is cut off has not lost
    them, and they go on using their share of common rights.

    :param summary: the newest one, or None if there was none yet
    """

    name: str
    region: str
    pace: ReportPace
    summary: DomainSummary | None = None
    heard: timedelta | None = None
    hearsay: dict[str, VMIdentity] = attrs.field(factory=dict)
    senders: dict[str, _Sender] = attrs.field(factory=dict)

    def live(self, now: timedelta) -> bool:
        """Return whether a summary came lately."""
        return self.heard is not None and now - self.heard < self.pace.silence

    @property
    def vms(self) -> int:
        """The number of its VMs that may use a share of common rights, 0 if that is unknown."""
        said = max((sender.vms for sender in self.senders.values()), default=0)
        return max(said, len(self.hearsay))

    def live_members(self, now: timedelta) -> Iterator[VMIdentity]:
        """Return the members that a summary of late named, each once."""
        seen = set()
        for sender in self.senders.values():
            if now - sender.heard >= self.pace.silence:
                continue
            for member in sender.members:
                if member.name not in seen:
                    seen.add(member.name)
                    yield member

    def members(self) -> list[VMIdentity]:
        """Return all members that are known, live or not."""
        found = dict(self.hearsay)
        for sender in self.senders.values():
            found.update((member.name, member) for member in sender.members)
        return list(found.values())

    def receive(self, summary: DomainSummary, now: timedelta) -> bool:
        """Take a summary; return False if it is not newer than the sender's last one."""
        name, incarnation = summary.sender.name, summary.sender.incarnation
        sender = self.senders.get(name)
        if sender is not None:
            older = incarnation < sender.incarnation
            if older and now - sender.heard < self.pace.silence:
                return False
            if incarnation == sender.incarnation and summary.sequence <= sender.sequence:
                return False
        if sender is None:
            sender = self.senders[name] = _Sender(incarnation, 0, now, summary.vms)
        sender.incarnation, sender.sequence = incarnation, summary.sequence
        sender.heard, sender.vms = now, summary.vms
        if summary.members:
            sender.members = summary.members
            self.hearsay.clear()
        elif not sender.members:
            sender.members = (summary.sender,)
        self.summary = summary
        self.heard = now
        self._forget_senders(now)
        return True

    def _forget_senders(self, now: timedelta) -> None:
        over = [n for n, sender in self.senders.items() if now - sender.heard > _SENDER_MEMORY]
        for name in over:
            del self.senders[name]


class FarDomains:
    """The other failure domains that this VM knows."""

    def __init__(self, own: VMIdentity) -> None:
        self._own = own
        self._near = 0
        self._domains: dict[str, FarDomain] = {}

    def __iter__(self) -> Iterator[FarDomain]:
        return iter(self._domains.values())

    def get(self, name: str) -> FarDomain | None:
        """Return a domain by its name, or None."""
        return self._domains.get(name)

    def learn(self, identity: VMIdentity, now: timedelta) -> None:
        """Take that a VM of another domain exists, by hearsay, which its domain overrules."""
        domain = self._domain(identity)
        known = domain.hearsay.get(identity.name)
        if not domain.live(now) and (known is None or identity.incarnation > known.incarnation):
            domain.hearsay[identity.name] = identity

    def receive(self, summary: DomainSummary, now: timedelta) -> bool:
        """Take a summary; return False if it is not news."""
        if summary.sender.domain == self._own.domain:
            return False
        return self._domain(summary.sender).receive(summary, now)

    def live_members(self, now: timedelta) -> Iterator[VMIdentity]:
        """Return the live VMs of all other domains."""
        for domain in self._domains.values():
            yield from domain.live_members(now)

    def members(self) -> Iterator[VMIdentity]:
        """Return the known VMs of all other domains."""
        for domain in self._domains.values():
            yield from domain.members()

    def receivers(self, domain: FarDomain, rank: int, turn: int, now: timedelta) -> list[str]:
        """Return the hosts to which a relay sends its domain's summary.

        That is the other domain's relay of the same rank. Where none is known to live, its known
        VMs are tried in turn, since a domain that was cut off must be found again.

        :param rank: the sender's own rank among the relays of its domain, 0 for the first
        :param turn: counts the times that this was asked
        """
        live = {member.name: member for member in domain.live_members(now)}
        if live:
            found = relays(domain.name, self._own.domain, live)
            return [live[found[min(rank, len(found) - 1)]].host]
        known = sorted(member.host for member in domain.members())
        return [known[(turn + rank) % len(known)]] if known else []

    def _domain(self, identity: VMIdentity) -> FarDomain:
        found = self._domains.get(identity.domain)
        if found is None:
            pace = ReportPace(timedelta(), timedelta())
            found = FarDomain(identity.domain, identity.region, pace)
            self._domains[identity.domain] = found
            self._update_paces()
        return found

    def note_near(self, vms: int) -> None:
        """Take how many other VMs of the own domain are told what this one hears."""
        if vms != self._near:
            self._near = vms
            self._update_paces()

    def _update_paces(self) -> None:
        """Let each domain be heard as often as the number of domains allows."""
        apart = {name: self._distance(domain) for name, domain in self._domains.items()}
        counts = Counter(apart.values())
        for name, domain in self._domains.items():
            domain.pace = summary_pace(apart[name], counts, self._near)

    def _distance(self, domain: FarDomain) -> Distance:
        own = self._own
        return distance(own, attrs.evolve(own, domain=domain.name, region=domain.region))
