"""Tracks the other failure domains by the summaries that their relays send."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.domain_relays import relays
from carawayquay.report_timing import ReportTiming, distance, summary_timing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.load_reports import DomainSummary, VMIdentity
    from carawayquay.report_timing import Distance

__all__ = ["RemoteDomain", "RemoteDomains"]

#: Time after its last summary for which a sender and the members it named are kept.
_SENDER_LIFETIME = timedelta(seconds=60)


@attrs.define
class _Sender:
    """A VM that sends summaries of its domain, with the contents of its last summary."""

    incarnation: int
    sequence: int
    last_seen: timedelta
    vms: int
    members: tuple[VMIdentity, ...] = ()


@attrs.define
class RemoteDomain:
    """One other failure domain.

    Its VMs stay known after the failure timeout: a domain that is partitioned off still runs them,
    and they go on using their share of global budgets.

    :param timing: the interval of its summaries, and the failure timeout
    :param summary: the newest summary, or None if none has arrived
    :param last_seen: when the newest summary arrived, or None
    :param gossiped_members: VMs that were learned from gossip, by name
    :param senders: the VMs that sent summaries, by name
    """

    name: str
    region: str
    timing: ReportTiming
    summary: DomainSummary | None = None
    last_seen: timedelta | None = None
    gossiped_members: dict[str, VMIdentity] = attrs.field(factory=dict)
    senders: dict[str, _Sender] = attrs.field(factory=dict)

    def live(self, now: timedelta) -> bool:
        """Return whether the last summary arrived within the failure timeout."""
        return self.last_seen is not None and now - self.last_seen < self.timing.failure_timeout

    @property
    def vms(self) -> int:
        """The number of its VMs that may use a share of global budgets, 0 if unknown."""
        reported = max((sender.vms for sender in self.senders.values()), default=0)
        return max(reported, len(self.gossiped_members))

    def live_members(self, now: timedelta) -> Iterator[VMIdentity]:
        """Yield the members named by senders within the failure timeout, each once."""
        seen = set()
        for sender in self.senders.values():
            if now - sender.last_seen >= self.timing.failure_timeout:
                continue
            for member in sender.members:
                if member.name not in seen:
                    seen.add(member.name)
                    yield member

    def members(self) -> list[VMIdentity]:
        """Return all known members, live or not."""
        found = dict(self.gossiped_members)
        for sender in self.senders.values():
            found.update((member.name, member) for member in sender.members)
        return list(found.values())

    def receive(self, summary: DomainSummary, now: timedelta) -> bool:
        """Apply a summary; return False if it is not newer than the sender's last one."""
        name, incarnation = summary.sender.name, summary.sender.incarnation
        sender = self.senders.get(name)
        if sender is not None:
            older = incarnation < sender.incarnation
            if older and now - sender.last_seen < self.timing.failure_timeout:
                return False
            if incarnation == sender.incarnation and summary.sequence <= sender.sequence:
                return False
        if sender is None:
            sender = self.senders[name] = _Sender(incarnation, 0, now, summary.vms)
        sender.incarnation, sender.sequence = incarnation, summary.sequence
        sender.last_seen, sender.vms = now, summary.vms
        if summary.members:
            sender.members = summary.members
            self.gossiped_members.clear()
        elif not sender.members:
            sender.members = (summary.sender,)
        self.summary = summary
        self.last_seen = now
        self._expire_senders(now)
        return True

    def _expire_senders(self, now: timedelta) -> None:
        expired = [
            n for n, sender in self.senders.items() if now - sender.last_seen > _SENDER_LIFETIME
        ]
        for name in expired:
            del self.senders[name]


class RemoteDomains:
    """The known failure domains other than this VM's."""

    def __init__(self, own: VMIdentity) -> None:
        self._own = own
        self._domain_peers = 0
        self._domains: dict[str, RemoteDomain] = {}

    def __iter__(self) -> Iterator[RemoteDomain]:
        return iter(self._domains.values())

    def get(self, name: str) -> RemoteDomain | None:
        """Return a domain by its name, or None."""
        return self._domains.get(name)

    def learn(self, identity: VMIdentity, now: timedelta) -> None:
        """Add a VM of another domain that was learned from gossip.

        Gossip is ignored while the domain is live, since its summaries name its members.
        """
        domain = self._domain(identity)
        known = domain.gossiped_members.get(identity.name)
        if not domain.live(now) and (known is None or identity.incarnation > known.incarnation):
            domain.gossiped_members[identity.name] = identity

    def receive(self, summary: DomainSummary, now: timedelta) -> bool:
        """Apply a summary; return False if it is outdated or of this VM's own domain."""
        if summary.sender.domain == self._own.domain:
            return False
        return self._domain(summary.sender).receive(summary, now)

    def live_members(self, now: timedelta) -> Iterator[VMIdentity]:
        """Yield the live VMs of all other domains."""
        for domain in self._domains.values():
            yield from domain.live_members(now)

    def members(self) -> Iterator[VMIdentity]:
        """Yield the known VMs of all other domains, live or not."""
        for domain in self._domains.values():
            yield from domain.members()

    def receivers(
        self, domain: RemoteDomain, rank: int, round_number: int, now: timedelta
    ) -> list[str]:
        """Return the hosts to which a relay sends its domain's summary.

        That is the other domain's relay of the same rank. If no VM of that domain is live, its
        known VMs are tried in rotation, to find the domain again after a partition.

        :param rank: this VM's rank among the relays of its domain, 0 for the first
        :param round_number: number of the sending round, by which the rotation advances
        """
        live = {member.name: member for member in domain.live_members(now)}
        if live:
            found = relays(domain.name, self._own.domain, live)
            return [live[found[min(rank, len(found) - 1)]].host]
        known = sorted(member.host for member in domain.members())
        return [known[(round_number + rank) % len(known)]] if known else []

    def _domain(self, identity: VMIdentity) -> RemoteDomain:
        found = self._domains.get(identity.domain)
        if found is None:
            timing = ReportTiming(timedelta(), timedelta())
            found = RemoteDomain(identity.domain, identity.region, timing)
            self._domains[identity.domain] = found
            self._update_timings()
        return found

    def set_domain_peers(self, vms: int) -> None:
        """Set the number of other VMs in the own domain, to which summaries are passed on."""
        if vms != self._domain_peers:
            self._domain_peers = vms
            self._update_timings()

    def _update_timings(self) -> None:
        """Set the summary timing of each domain by the number of domains at its distance."""
        distances = {name: self._distance(domain) for name, domain in self._domains.items()}
        counts = Counter(distances.values())
        for name, domain in self._domains.items():
            domain.timing = summary_timing(distances[name], counts, self._domain_peers)

    def _distance(self, domain: RemoteDomain) -> Distance:
        own = self._own
        return distance(own, attrs.evolve(own, domain=domain.name, region=domain.region))
