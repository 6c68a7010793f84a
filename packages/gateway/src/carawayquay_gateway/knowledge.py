"""How old a gateway's knowledge of the store's objects is, by kind."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import curio

from carawayquay.freshness import UNCONFIRMED_MS, Freshness
from carawayquay.report_timing import Distance, report_timing
from carawayquay.store_revision import StoreRevision
from carawayquay_gateway.replicas import latest_era
from carawayquay_platform.objects import ObjectKind
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayquay.clock import Clock
    from carawayquay.deadlines import Deadlines
    from carawayquay.entry_peers import EntryPeers
    from carawayquay.load_reports import LoadReport
    from carawayquay_gateway.replicas import Replica
    from carawayquay_wire.metrics import Metrics

__all__ = ["StoreKnowledge"]

_log = EventLog("knowledge")

_MILLISECOND = timedelta(milliseconds=1)

#: Part of a deadline after which a VM that watches the store asks whether its watch missed a
#: change; the rest is for the answer, and for telling the other VMs of the domain.
_CHECK_SHARE = 0.64


class StoreKnowledge:
    """Tracks up to when this VM knows all changes of each kind that the store has confirmed.

    An answer of the store confirms this, or a report of a VM of the own domain whose last change
    of the kind this VM has too. That nothing was heard of a change confirms nothing.

    :param domain: this VM's failure domain
    :param deadlines: returns the deadlines in force
    """

    def __init__(
        self,
        domain: str,
        clock: Clock,
        metrics: Metrics,
        peers: EntryPeers,
        replicas: Mapping[ObjectKind, Replica],
        deadlines: Callable[[], Deadlines],
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._replicas = replicas
        self._deadlines = deadlines
        self._freshness = Freshness()
        self._started_at = clock.now()
        self._outdated: set[ObjectKind] = set()
        #: Held during a check, since the answer about one kind mostly confirms the others too.
        self.checking = curio.Lock()
        for kind in replicas:
            self._freshness.track(kind.name)

    @property
    def current(self) -> bool:
        """Whether the knowledge of every kind is within its maximum age."""
        return not any(self._exceeds_max_age(kind) for kind in self._replicas)

    @property
    def longest_max_age(self) -> timedelta:
        """The longest maximum age of any kind."""
        return max(self.max_age(kind) for kind in self._replicas)

    @property
    def overdue(self) -> bool:
        """Whether no confirmation of some kind arrived within its maximum age, or since the start.

        This VM has to ask the store itself then, whatever other VMs report.
        """
        running = self._clock.now() - self._started_at
        kinds = self._replicas
        return any(running > self.max_age(kind) and self._exceeds_max_age(kind) for kind in kinds)

    def age(self, kind: ObjectKind) -> timedelta | None:
        """Return the age of the knowledge of a kind, or None if it was never confirmed."""
        return self._freshness.age_of(kind.name, self._clock.now())

    def age_ms(self) -> int | None:
        """Return the age of the oldest knowledge in milliseconds, None if a kind is unconfirmed."""
        age = self._freshness.age(self._clock.now())
        return None if age is None else age // _MILLISECOND

    def max_age(self, kind: ObjectKind) -> timedelta:
        """Return the age that the knowledge of a kind does not exceed while the store answers.

        A VM has to keep a deadline only after the contact time, and hears in reports, of which one
        may be lost, what another VM has confirmed.
        """
        vms = len(self._peers.domain_peers)
        interval = report_timing(Distance.DOMAIN, vms).interval
        return max(self._deadlines().contact, self._deadline(kind)) + 2 * interval

    def check_due(self, kind: ObjectKind) -> bool:
        """Return whether the store should be asked about a kind that this VM watches."""
        age = self.age(kind)
        return age is None or age >= _CHECK_SHARE * self._deadline(kind)

    def confirm(self, kind: ObjectKind, at: timedelta) -> None:
        """Record that this VM knows all changes of a kind up to a time."""
        self._freshness.confirm(kind.name, at)

    def confirm_revision(self, revision: StoreRevision, at: timedelta) -> None:
        """Record that the store was at a revision at a time, for the kinds that have reached it."""
        for kind, replica in self._replicas.items():
            if replica.revision is not None and replica.revision >= revision:
                self.confirm(kind, at)

    def confirm_by_report(self, report: LoadReport, now: timedelta) -> None:
        """Apply the ages that a VM of the own domain reports, for kinds whose changes this VM has.

        :param now: when the report arrived
        """
        if report.sender.domain != self._domain:
            return
        kinds = self._replicas.items()
        reported = zip(kinds, report.revisions, report.confirmed_ms, strict=False)
        for (kind, replica), number, age_ms in reported:
            theirs = StoreRevision(report.era, number)
            ours = replica.change_revision
            known = replica.revision is not None and ours.era == theirs.era and ours >= theirs
            if known and age_ms != UNCONFIRMED_MS:
                self.confirm(kind, now - age_ms * _MILLISECOND)

    def reported_ages(self) -> tuple[int, ...]:
        """Return the age of each kind in milliseconds for reports, or ``UNCONFIRMED_MS``."""
        now, era = self._clock.now(), latest_era(self._replicas.values())
        return tuple(
            (
                self._freshness.age_ms_of(kind.name, now)
                if replica.change_revision.era == era
                else UNCONFIRMED_MS
            )
            for kind, replica in self._replicas.items()
        )

    def log_changes(self) -> None:
        """Log and count the kinds that exceeded their maximum age, and those confirmed again."""
        for kind in self._replicas:
            outdated = self._is_outdated(kind)
            if outdated == (kind in self._outdated):
                continue
            age = self.age(kind)
            fields = {
                "kind": kind.name,
                "age_ms": None if age is None else age // _MILLISECOND,
                "max_age_ms": self.max_age(kind) // _MILLISECOND,
            }
            if outdated:
                self._outdated.add(kind)
                self._metrics.count("knowledge_outdated_total", kind=kind.name)
                _log.warning(Event.KNOWLEDGE_OUTDATED, **fields)
            else:
                self._outdated.discard(kind)
                _log.info(Event.KNOWLEDGE_CONFIRMED, **fields)

    def _is_outdated(self, kind: ObjectKind) -> bool:
        """Return whether the objects of a kind are known, but not confirmed lately."""
        return self._replicas[kind].revision is not None and self._exceeds_max_age(kind)

    def _exceeds_max_age(self, kind: ObjectKind) -> bool:
        age = self.age(kind)
        return age is None or age > self.max_age(kind)

    def _deadline(self, kind: ObjectKind) -> timedelta:
        """Return the time in which a change of a kind has to be in force."""
        deadlines = self._deadlines()
        match kind:
            case ObjectKind.CONFIGURATION:
                return deadlines.configuration
            case ObjectKind.EVACUATIONS:
                return deadlines.evacuation
            case _:
                return deadlines.departure
