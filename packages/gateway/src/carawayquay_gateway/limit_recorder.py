"""Records the limits that targets' answers and other VMs' reports state, and logs their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.forwarding import LimitAbsent, LimitNamed, LimitUnreadable
from carawayquay.load_reports import incarnation_hash
from carawayquay.named_limit import LimitChange
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.clock import Clock
    from carawayquay.discovery import RegisteredTarget, TargetRegistry
    from carawayquay.entry_peers import EntryPeers
    from carawayquay.forwarding import TargetAnswer
    from carawayquay.load_reports import DomainSummary, LoadReport, TargetLimitReport
    from carawayquay.target_limits import TargetLimits
    from carawayquay_wire.metrics import Metrics

__all__ = ["LimitRecorder"]

_log = EventLog("limits")

_SERVER_ERROR = 500


class LimitRecorder:
    """Applies what answers and reports say about the limits of targets.

    :param domain: this VM's failure domain
    """

    def __init__(
        self,
        domain: str,
        clock: Clock,
        metrics: Metrics,
        peers: EntryPeers,
        targets: TargetRegistry,
        limits: TargetLimits,
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._metrics = metrics
        self._peers = peers
        self._targets = targets
        self._limits = limits
        self._unreadable: dict[str, str] = {}

    def record(self, target: RegisteredTarget, answer: TargetAnswer, sent_at: timedelta) -> None:
        """Record what a target's answer says about its limit.

        An answer of another target at the same address says nothing about this one. A limit that
        cannot be read leaves the last one in force. Only an answer to a request that ran ends one.

        :param sent_at: when the request was sent
        """
        if answer.address_reused:
            return
        match answer.limit:
            case LimitNamed(rate):
                self._unreadable.pop(target.name, None)
                self._record(target, rate, sent_at)
            case LimitAbsent():
                if not answer.not_run and answer.status < _SERVER_ERROR:
                    self._record(target, None, sent_at)
            case LimitUnreadable(text):
                self._report_unreadable(target, text)

    def merge_report(self, report: LoadReport) -> None:
        """Apply the limits and the demand that a VM reports."""
        self._merge(report.limits or (), report.sender.name)
        if report.sender.domain != self._domain:
            return
        demand = self._limits.domain_demand
        peer = self._peers.get(report.sender.name)
        if report.limits is None or report.leaving or peer is None:
            demand.forget(report.sender.name)
            return
        timeout = peer.timing.failure_timeout
        demand.receive(report.sender.name, 1, report.limits, self._clock.now(), timeout)

    def merge_summary(self, summary: DomainSummary) -> None:
        """Apply the limits and the demand that a failure domain reports."""
        name = summary.sender.domain
        self._merge(summary.limits or (), name)
        demand = self._limits.remote_demand
        domain = self._peers.remote_domains.get(name)
        if summary.limits is None or domain is None:
            demand.forget(name)
            return
        timeout = domain.timing.failure_timeout
        demand.receive(name, summary.vms, summary.limits, self._clock.now(), timeout)

    def forget(self, target: str) -> None:
        """Forget what could not be read of a removed target."""
        self._unreadable.pop(target, None)

    def _record(self, target: RegisteredTarget, rate: float | None, sent_at: timedelta) -> None:
        now = self._clock.now()
        change = self._limits.record(target, rate, sent_at, now)
        self._log_change(change, target=target.name, limit=rate, source="answer")

    def _merge(self, reports: tuple[TargetLimitReport, ...], source: str) -> None:
        now = self._clock.now()
        for report in reports:
            change = self._limits.merge(report, now)
            if change is not None:
                self._log_change(
                    change,
                    target=self._target_name(report.target),
                    limit=report.rate,
                    source=source,
                )

    def _log_change(self, change: LimitChange | None, **fields: object) -> None:
        match change:
            case LimitChange.NAMED:
                _log.warning(Event.TARGET_LIMITED, **fields)
            case LimitChange.ENDED:
                _log.info(Event.TARGET_LIMIT_ENDED, **fields)

    def _target_name(self, key: int) -> str:
        """Return the name of the registered target that a report means, or else the hash."""
        names = (target.name for target in self._targets if incarnation_hash(target) == key)
        return next(names, f"{key:08x}")

    def _report_unreadable(self, target: RegisteredTarget, text: str) -> None:
        """Count an unreadable limit, and log it unless the target's last one was the same."""
        self._metrics.count("limits_not_understood_total", service=target.service)
        if self._unreadable.get(target.name) == text:
            return
        self._unreadable[target.name] = text
        _log.warning(Event.LIMIT_NOT_UNDERSTOOD, target=target.name, limit=text)
