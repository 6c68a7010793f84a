"""Tracks the other entry VMs: their liveness, their last load reports and the sums over these."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.remote_domains import RemoteDomains
from carawayquay.report_timing import Distance, ReportTiming, distance, report_timing
from carawayquay.store_revision import NO_REVISION, StoreRevision

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from carawayquay.load_reports import (
        DomainSummary,
        LoadReport,
        ServiceRate,
        TargetCount,
        VMIdentity,
    )

__all__ = ["EntryPeers", "Holder", "NewestConfiguration", "Peer", "RegionRates"]

#: Time without a report after which a sender's in-flight counts expire, as a duration and in report
#: intervals; the longer of the two applies.
_COUNTS_LIFETIME = timedelta(seconds=2.5)
_COUNTS_INTERVALS = 1.5

#: Time since the last report after which a VM is removed.
_FORGET_AFTER = timedelta(seconds=60)


@attrs.define
class Peer:
    """One other entry VM.

    :param last_seen: when its last report arrived, or None if it is known from gossip only
    :param first_seen: when this VM added it
    :param timing: the interval of its reports to this VM, and the failure timeout
    """

    identity: VMIdentity
    first_seen: timedelta
    timing: ReportTiming
    last_seen: timedelta | None = None
    report: LoadReport | None = None

    def live(self, now: timedelta) -> bool:
        """Return whether the last report arrived within the failure timeout."""
        return self.last_seen is not None and now - self.last_seen < self.timing.failure_timeout


class RegionRates:
    """Request rates in requests/s by region and service; services are keyed by short hash."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, int], float] = {}
        self._totals: dict[int, float] = {}

    def add(self, region: str, rate: ServiceRate) -> None:
        """Add the rate at which one VM of a region takes requests for a service."""
        key = (region, rate.service)
        self._rates[key] = self._rates.get(key, 0.0) + rate.rate
        self._totals[rate.service] = self._totals.get(rate.service, 0.0) + rate.rate

    def of(self, region: str, service: int) -> float:
        """Return the rate in requests/s for a service in a region."""
        return self._rates.get((region, service), 0.0)

    def total(self, service: int) -> float:
        """Return the rate in requests/s for a service over all regions."""
        return self._totals.get(service, 0.0)


@attrs.frozen
class Holder:
    """A VM that has applied the changes to the objects of one kind up to a revision.

    :param revision: the last applied store revision
    :param same_domain: whether it is in this VM's failure domain
    :param host: IP address of its listeners
    """

    revision: StoreRevision
    same_domain: bool
    host: str


@attrs.frozen
class NewestConfiguration:
    """The highest configuration version that other VMs have in force.

    :param hosts: IP addresses of VMs that have it
    """

    version: int
    hosts: tuple[str, ...]


class EntryPeers:
    """The known entry VMs, and the sums over their load reports.

    VMs of the same failure domain send load reports. VMs of other domains are covered by the
    summaries of their domains; a load report of theirs counts only while no fresh summary exists.
    """

    def __init__(self, own: VMIdentity) -> None:
        self._own = own
        self._peers: dict[str, Peer] = {}
        self._remote_domains = RemoteDomains(own)
        self._running: dict[int, int] = {}
        self._counted: dict[str, tuple[TargetCount, ...]] = {}
        self._newest: dict[int, StoreRevision] = {}
        self._sample_offset = 0

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    @property
    def remote_domains(self) -> RemoteDomains:
        """The other failure domains."""
        return self._remote_domains

    @property
    def domain_peers(self) -> list[Peer]:
        """The other known VMs of this VM's failure domain, live or not."""
        return [peer for peer in self._peers.values() if peer.identity.domain == self._own.domain]

    @property
    def known(self) -> int:
        """The number of known VMs, live or not, including this one."""
        return len(self.identities())

    def identities(self) -> dict[str, VMIdentity]:
        """Return all known VMs by name, live or not, including this one."""
        found = {member.name: member for member in self._remote_domains.members()}
        found.update((name, peer.identity) for name, peer in self._peers.items())
        found[self._own.name] = self._own
        return found

    def budget_sharers(self, domains: Iterable[str]) -> int:
        """Return the number of VMs among which a global budget is divided, including this one.

        A domain without any known VM counts as large as this VM's domain, so that a VM that has
        just started or is partitioned off does not use more than its share.

        :param domains: all failure domains, including this VM's
        """
        direct = Counter(peer.identity.domain for peer in self._peers.values())
        domain_size = direct[self._own.domain] + 1
        vm_count = domain_size
        for name in set(domains) - {self._own.domain}:
            domain = self._remote_domains.get(name)
            vms = domain.vms if domain is not None else 0
            vm_count += max(vms, direct[name]) or domain_size
        return vm_count

    def live_vms(self, now: timedelta) -> list[VMIdentity]:
        """Return the other VMs that are live and not leaving, by load reports and summaries."""
        found = {member.name: member for member in self._remote_domains.live_members(now)}
        for peer in self._peers.values():
            if peer.report is not None and peer.report.leaving:
                found.pop(peer.identity.name, None)
            elif peer.report is not None and peer.live(now):
                found[peer.identity.name] = peer.identity
        return list(found.values())

    def forwarding_vms(self, now: timedelta) -> list[VMIdentity]:
        """Return the live VMs that are neither leaving nor known to be cut off from targets."""
        return [vm for vm in self.live_vms(now) if not self._reports_cut_off(vm)]

    def _reports_cut_off(self, vm: VMIdentity) -> bool:
        peer = self._peers.get(vm.name)
        same_start = peer is not None and peer.identity.incarnation == vm.incarnation
        return same_start and peer.report is not None and peer.report.cut_off

    def get(self, name: str) -> Peer | None:
        """Return a VM by its name, or None."""
        return self._peers.get(name)

    def live(self, now: timedelta) -> list[Peer]:
        """Return the live VMs that send load reports here and are not leaving."""
        return [
            peer
            for peer in self._peers.values()
            if peer.live(now) and peer.report is not None and not peer.report.leaving
        ]

    def running(self, target: int) -> int:
        """Return the number of requests that the other VMs have in flight at a target."""
        return self._running.get(target, 0)

    def rates(self, now: timedelta) -> RegionRates:
        """Return the request rates of the other live VMs, by region and service."""
        found = RegionRates()
        for peer in self._peers.values():
            if peer.report is not None and peer.live(now) and not self._in_summary(peer, now):
                for rate in peer.report.rates:
                    found.add(peer.identity.region, rate)
        for domain in self._remote_domains:
            if domain.summary is not None and domain.live(now):
                for rate in domain.summary.rates:
                    found.add(domain.region, rate)
        return found

    def holders(self, index: int, now: timedelta) -> Iterator[Holder]:
        """Yield the live VMs with the revision of one kind of objects that each reported.

        :param index: the position of the kind in reported revisions
        """
        for peer in self._peers.values():
            if peer.report is not None and peer.live(now):
                revision = _reported_revision(peer.report, index)
                if revision is not None:
                    same_domain = peer.identity.domain == self._own.domain
                    yield Holder(revision, same_domain, peer.identity.host)
        for domain in self._remote_domains:
            if domain.summary is not None and domain.live(now):
                revision = _reported_revision(domain.summary, index)
                if revision is not None:
                    yield Holder(revision, False, domain.summary.sender.host)

    def newest_revision(self, index: int) -> StoreRevision:
        """Return the highest revision that any VM reported for a kind, ``NO_REVISION`` if none did.

        :param index: the position of the kind in reported revisions
        """
        return self._newest.get(index, NO_REVISION)

    def newest_configuration(self, now: timedelta) -> NewestConfiguration | None:
        """Return the highest configuration version of the live VMs, and those that have it.

        The VMs are those of the own domain if any of them has it. Return None if no VM reports a
        version.
        """
        own = [
            (peer.report.version, peer.identity.host)
            for peer in self._peers.values()
            if peer.report is not None and peer.live(now)
        ]
        others = [
            (domain.summary.version, domain.summary.sender.host)
            for domain in self._remote_domains
            if domain.summary is not None and domain.live(now)
        ]
        version = max((version for version, _ in (*own, *others)), default=0)
        if not version:
            return None
        found = [[host for it, host in group if it == version] for group in (own, others)]
        return NewestConfiguration(version, tuple(found[0] or found[1]))

    def learn(self, identity: VMIdentity, now: timedelta) -> None:
        """Add a VM that was learned from gossip; it is not live until it reports."""
        if identity.name == self._own.name:
            return
        if identity.domain != self._own.domain:
            self._remote_domains.learn(identity, now)
            return
        known = self._peers.get(identity.name)
        if known is None or identity.incarnation > known.identity.incarnation:
            self._forget_counts(identity.name)
            self._add(identity, now)

    def receive(self, report: LoadReport, now: timedelta) -> bool:
        """Apply a load report; return False if it is outdated.

        A VM whose clock went back restarts with a lower incarnation; its reports are accepted once
        the failure timeout of the earlier incarnation has passed.
        """
        name = report.sender.name
        if name == self._own.name:
            return False
        peer = self._peers.get(name)
        if peer is not None:
            older = report.sender.incarnation < peer.identity.incarnation
            if older and peer.live(now):
                return False
            last = peer.report
            same_start = report.sender.incarnation == peer.identity.incarnation
            if last is not None and same_start and report.sequence <= last.sequence:
                return False
        if peer is None or report.sender != peer.identity:
            peer = self._add(report.sender, now)
        peer.last_seen = now
        peer.report = report
        self._count(name, () if self._in_summary(peer, now) else report.targets)
        self._note_revisions(report)
        for member in report.members:
            self.learn(member, now)
        return True

    def receive_summary(self, summary: DomainSummary, now: timedelta) -> bool:
        """Apply a summary of another failure domain; return False if it is outdated."""
        if not self._remote_domains.receive(summary, now):
            return False
        domain = summary.sender.domain
        for peer in self._peers.values():
            if peer.identity.domain == domain:
                self._forget_counts(peer.identity.name)
        self._count(_summary_source(domain), summary.targets)
        self._note_revisions(summary)
        return True

    def domain_in_flight(self) -> dict[int, int]:
        """Return the in-flight requests of the other VMs of the same domain, by target."""
        found: dict[int, int] = {}
        for peer in self.domain_peers:
            for count in self._counted.get(peer.identity.name, ()):
                found[count.target] = found.get(count.target, 0) + count.running
        return found

    def domain_rates(self, now: timedelta) -> dict[int, float]:
        """Return the rates in requests/s of the other live VMs of the same domain, by service."""
        found: dict[int, float] = {}
        for peer in self.domain_peers:
            if peer.report is not None and peer.live(now):
                for rate in peer.report.rates:
                    found[rate.service] = found.get(rate.service, 0.0) + rate.rate
        return found

    def expire(self, now: timedelta) -> None:
        """Drop expired in-flight counts, and remove VMs that have not reported for a minute."""
        for peer in list(self._peers.values()):
            since = peer.first_seen if peer.last_seen is None else peer.last_seen
            if now - since > max(_COUNTS_LIFETIME, _COUNTS_INTERVALS * peer.timing.interval):
                self._forget_counts(peer.identity.name)
            if now - since > _FORGET_AFTER:
                del self._peers[peer.identity.name]
                self._update_timings()
        for domain in self._remote_domains:
            lifetime = max(_COUNTS_LIFETIME, _COUNTS_INTERVALS * domain.timing.interval)
            if domain.last_seen is not None and now - domain.last_seen > lifetime:
                self._forget_counts(_summary_source(domain.name))

    def sample_members(self, count: int, now: timedelta) -> tuple[VMIdentity, ...]:
        """Return up to *count* live VMs to gossip, rotating through all of them call by call."""
        live = [*(peer.identity for peer in self.domain_peers if peer.live(now))]
        live += self._remote_domains.live_members(now)
        if len(live) <= count:
            return tuple(live)
        start = self._sample_offset % len(live)
        self._sample_offset += count
        return tuple((live + live)[start : start + count])

    def _add(self, identity: VMIdentity, now: timedelta) -> Peer:
        """Add a VM, replacing an earlier incarnation of it."""
        timing = report_timing(distance(self._own, identity), 1)
        peer = self._peers[identity.name] = Peer(identity, now, timing)
        self._update_timings()
        return peer

    def _update_timings(self) -> None:
        """Set the timing of all VMs by the number of VMs at each distance."""
        by_distance: dict[Distance, list[Peer]] = {}
        for peer in self._peers.values():
            by_distance.setdefault(distance(self._own, peer.identity), []).append(peer)
        self._remote_domains.set_domain_peers(len(by_distance.get(Distance.DOMAIN, ())))
        for peer_distance, peers in by_distance.items():
            timing = report_timing(peer_distance, len(peers))
            for peer in peers:
                peer.timing = timing

    def _in_summary(self, peer: Peer, now: timedelta) -> bool:
        """Return whether a VM's counts are included in a fresh summary of its domain."""
        domain = self._remote_domains.get(peer.identity.domain)
        return domain is not None and domain.live(now)

    def _note_revisions(self, message: LoadReport | DomainSummary) -> None:
        for index in range(len(message.revisions)):
            revision = _reported_revision(message, index)
            if revision is not None:
                self._newest[index] = max(revision, self.newest_revision(index))

    def _count(self, source: str, counts: tuple[TargetCount, ...]) -> None:
        """Replace the in-flight counts of a source, which is a VM or a domain."""
        self._forget_counts(source)
        self._counted[source] = counts
        for count in counts:
            self._running[count.target] = self._running.get(count.target, 0) + count.running

    def _forget_counts(self, source: str) -> None:
        for count in self._counted.pop(source, ()):
            left = self._running.get(count.target, 0) - count.running
            if left > 0:
                self._running[count.target] = left
            else:
                self._running.pop(count.target, None)


def _reported_revision(message: LoadReport | DomainSummary, index: int) -> StoreRevision | None:
    """Return the revision that a message reports for a kind, or None if it reports none."""
    if index >= len(message.revisions) or not message.revisions[index]:
        return None
    return StoreRevision(message.era, message.revisions[index])


def _summary_source(domain: str) -> str:
    """Return the key under which a domain's counts are kept, distinct from every VM name."""
    return f"domain/{domain}"
