"""The other failure domains: what their summaries say, and for how long that stands."""

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

#: How long a sender of summaries counts among those of its domain after its last one.
_SENDER_LIFETIME = timedelta(seconds=60)


@attrs.define
class _Sender:
    """One VM that sends summaries of its domain."""

    incarnation: int
    sequence: int
    last_seen: timedelta
    vms: int
    members: tuple[VMIdentity, ...] = ()


@attrs.define
class RemoteDomain:
    """One other failure domain.

    What is known of its VMs stays when it falls silent: a domain that is cut off has not lost
    them, and they go on using their share of common rights.

    :param summary: the newest one, or None if there was none yet
    """

    name: str
    region: str
    timing: ReportTiming
    summary: DomainSummary | None = None
    last_seen: timedelta | None = None
    gossiped_members: dict[str, VMIdentity] = attrs.field(factory=dict)
    senders: dict[str, _Sender] = attrs.field(factory=dict)

    def live(self, now: timedelta) -> bool:
        """Return whether a summary came lately."""
        return self.last_seen is not None and now - self.last_seen < self.timing.failure_timeout

    @property
    def vms(self) -> int:
        """The number of its VMs that may use a share of common rights, 0 if that is unknown."""
        reported = max((sender.vms for sender in self.senders.values()), default=0)
        return max(reported, len(self.gossiped_members))

    def live_members(self, now: timedelta) -> Iterator[VMIdentity]:
        """Return the members that a summary of late named, each once."""
        seen = set()
        for sender in self.senders.values():
            if now - sender.last_seen >= self.timing.failure_timeout:
                continue
            for member in sender.members:
                if member.name not in seen:
                    seen.add(member.name)
                    yield member

    def members(self) -> list[VMIdentity]:
        """Return all members that are known, live or not."""
        found = dict(self.gossiped_members)
        for sender in self.senders.values():
            found.update((member.name, member) for member in sender.members)
        return list(found.values())

    def receive(self, summary: DomainSummary, now: timedelta) -> bool:
        """Take a summary; return False if it is not newer than the sender's last one."""
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
    """The other failure domains that this VM knows."""

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
        """Take that a VM of another domain exists, by hearsay, which its domain overrules."""
        domain = self._domain(identity)
        known = domain.gossiped_members.get(identity.name)
        if not domain.live(now) and (known is None or identity.incarnation > known.incarnation):
            domain.gossiped_members[identity.name] = identity

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

    def receivers(
        self, domain: RemoteDomain, rank: int, round_number: int, now: timedelta
    ) -> list[str]:
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
        """Take how many other VMs of the own domain are told what this one hears."""
        if vms != self._domain_peers:
            self._domain_peers = vms
            self._update_timings()

    def _update_timings(self) -> None:
        """Let each domain be heard as often as the number of domains allows."""
        apart = {name: self._distance(domain) for name, domain in self._domains.items()}
        counts = Counter(apart.values())
        for name, domain in self._domains.items():
            domain.timing = summary_timing(apart[name], counts, self._domain_peers)

    def _distance(self, domain: RemoteDomain) -> Distance:
        own = self._own
        return distance(own, attrs.evolve(own, domain=domain.name, region=domain.region))
