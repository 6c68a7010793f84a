"""A simulated fleet whose VMs keep the limits of targets, with reports, summaries and faults."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from datetime import timedelta

import attrs

from carawayquay.discovery import RegisteredTarget, TargetState
from carawayquay.membership import Address
from carawayquay.report_timing import Distance, report_timing, summary_timing
from carawayquay.target_limits import FleetView, ServiceLoad, TargetLimits

_WORK = timedelta(seconds=0.3)
_TICK = timedelta(seconds=0.2)
_TOLD_AFTER = timedelta(seconds=0.5)


def new_target(name="t0", incarnation=1):
    """Return a registered target."""
    address = Address("127.0.0.1", 1)
    ready = TargetState.READY
    return RegisteredTarget(name, "s", address, "d0", "r0", 4, ready, timedelta(), incarnation)


@attrs.define
class SimulatedVM:
    """One VM and what it does not do at present.

    :param reports_limits: whether its version reports limits
    :param cut_off: whether reports from and to it are lost
    """

    name: str
    domain: str
    limits: TargetLimits
    reports_limits: bool = True
    cut_off: bool = False
    frozen: bool = False
    told_at: dict = attrs.field(factory=dict)


class LimitFleet:
    """VMs of several domains that ask for the same targets, in simulated time.

    :param rate: requests/s of all VMs for each target
    :param askers: fraction of the VMs that have any request
    :ivar limit: what the targets' answers name at present
    :ivar sent: time and target name of each request, and whether its VM had passed on an answer
        that names a limit half a second before
    """

    def __init__(self, vms, domains, rate, targets=1, askers=1.0, seed=1):
        self._random = random.Random(seed)
        self.vms = [
            SimulatedVM(f"vm{i}", f"d{i % domains}", TargetLimits(random.Random(seed * 1000 + i)))
            for i in range(vms)
        ]
        self.targets = [new_target(f"t{index}") for index in range(targets)]
        self.rate = rate
        self.limit = None
        self.sent = []
        self.refused = []
        self.report_bytes = 0
        self._askers = max(1, int(vms * askers))
        self._domains = sorted({vm.domain for vm in self.vms})
        peers = vms // domains
        self._report_interval = report_timing(Distance.DOMAIN, peers).interval
        counts = {Distance.REGION: 1, Distance.FAR: domains - 2}
        self._summary = summary_timing(Distance.FAR, counts, peers)
        self._now = timedelta(seconds=1)
        self._answers = []
        self._next_reports = self._next_summaries = self._now

    @property
    def now(self):
        """The simulated time."""
        return self._now

    def run(self, seconds):
        """Play some seconds."""
        end = self._now + timedelta(seconds=seconds)
        while self._now < end:
            self._exchange()
            self._play_until(min(end, self._now + _TICK))

    def restart(self, vm):
        """Replace a VM's process, which has lost all it knew."""
        vm.limits = TargetLimits(random.Random(self._random.random()))
        vm.told_at.clear()

    def most_in_window(self, since, seconds=4.0, target="t0", told_only=False):
        """Return the most requests in any window of some seconds that starts after a time."""
        times = [
            at
            for at, name, told in self.sent
            if at >= since and name == target and (told or not told_only)
        ]
        length = timedelta(seconds=seconds)
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] >= length:
                first += 1
            most = max(most, last - first + 1)
        return most

    def used(self, since, until=None, target="t0"):
        """Return the requests/s that a target got between two times."""
        until = until or self._now
        count = sum(since <= at < until and name == target for at, name, _ in self.sent)
        return count / (until - since).total_seconds()

    def _play_until(self, end):
        total = self.rate * len(self.targets)
        while True:
            gap = timedelta(seconds=self._random.expovariate(total)) if total else end
            if self._now + gap >= end:
                break
            self._now += gap
            self._take_answers()
            self._request()
        self._now = end
        self._take_answers()

    def _request(self):
        vm = self.vms[self._random.randrange(self._askers)]
        target = self._random.choice(self.targets)
        if vm.frozen:
            return
        reached = vm.limits.admit(target, self._service_load(vm), self._now)
        if reached is not None:
            self.refused.append(reached)
            return
        told_at = vm.told_at.get(target.name)
        told = told_at is not None and self._now - told_at >= _TOLD_AFTER
        self.sent.append((self._now, target.name, told))
        answer = (self._now + _WORK, len(self.sent), vm, target, self.limit, self._now)
        heapq.heappush(self._answers, answer)

    def _service_load(self, _):
        """Return the load of the service as a VM sees it."""
        return ServiceLoad(self.rate)

    def _take_answers(self):
        while self._answers and self._answers[0][0] <= self._now:
            at, _, vm, target, limit, sent_at = heapq.heappop(self._answers)
            if not vm.frozen:
                if limit is not None:
                    vm.told_at.setdefault(target.name, at)
                vm.limits.record(target, limit, sent_at, at)

    def _exchange(self):
        """Send what is due: reports in each domain, and summaries between domains."""
        now = self._now
        view = FleetView(len(self.vms), max(self._report_interval, self._summary.interval))
        awake = [vm for vm in self.vms if not vm.frozen]
        for vm in awake:
            vm.limits.update(view, now)
            vm.limits.expire(now)
        if now >= self._next_reports:
            self._next_reports = now + self._report_interval
            for vm in awake:
                self._report(vm, awake)
        if now >= self._next_summaries:
            self._next_summaries = now + self._summary.interval
            for domain in self._domains:
                self._summarize(domain, awake)

    def _report(self, sender, awake):
        if sender.cut_off or not sender.reports_limits:
            return
        reports = sender.limits.reports(self._now)
        self.report_bytes += 12 * len(reports)
        timeout = report_timing(Distance.DOMAIN, len(self.vms) // len(self._domains))
        for vm in awake:
            if vm is not sender and vm.domain == sender.domain and not vm.cut_off:
                self._merge(vm, reports)
                vm.limits.domain_demand.receive(
                    sender.name, 1, reports, self._now, timeout.failure_timeout
                )

    def _summarize(self, domain, awake):
        members = [vm for vm in awake if vm.domain == domain and not vm.cut_off]
        if not members or not members[0].reports_limits:
            return
        size = Counter(vm.domain for vm in self.vms)[domain]
        reports = members[0].limits.domain_reports(self._now)
        for vm in awake:
            if vm.domain != domain and not vm.cut_off:
                self._merge(vm, reports)
                vm.limits.remote_demand.receive(
                    domain, size, reports, self._now, self._summary.failure_timeout
                )

    def _merge(self, vm, reports):
        for report in reports:
            vm.limits.merge(report, self._now)
