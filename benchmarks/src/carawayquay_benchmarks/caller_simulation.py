"""Discrete-event simulation of the callers, entry VMs and targets of one service."""

from __future__ import annotations

import itertools
import random
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from carawayquay_benchmarks.scenario_simulation import EventScheduler, region_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from carawayquay_benchmarks.caller_policies import Policy

__all__ = [
    "Call",
    "CallerResult",
    "CallerSimulation",
    "SchedulerClock",
    "Site",
    "Target",
    "lightly_loaded_site",
    "overloaded_site",
]

#: Work of a request at a target that is warm for its object, as a fraction of the cold work.
_WARM_WORK_FRACTION = 0.3

#: Bound of the uniform random deviation of the work, as a fraction of it.
_WORK_JITTER = 0.15

#: Longest wait of a caller before its retry, as a fraction of its remaining time.
_MAX_RETRY_AFTER_FRACTION = 1 / 3


@attrs.frozen
class Site:
    """The sizes, rates and delays of one service with its callers, entry VMs and targets.

    :param targets: number of targets by failure domain
    :param vms: number of entry VMs in each failure domain
    :param rates: requests/s of the callers by failure domain
    :param slots: concurrency limit of one target
    :param queue_limit: maximum queue length of one target
    :param warm_capacity: number of objects for which one target stays warm (LRU)
    :param objects: number of objects that the callers of one failure domain request
    :param cold_work: seconds that a request takes at a target that is cold for its object
    :param target_latency: seconds within which an answer earns full credit
    :param timeout: seconds after which the route cancels an attempt
    :param deadline: seconds that a caller waits, including its retry
    :param late_credit: credit of an answer after the target latency, 0 to 1
    :param region_delay: one-way delay between regions in seconds
    :param domain_delay: one-way delay between failure domains of a region in seconds
    """

    targets: dict[str, int]
    vms: int
    rates: dict[str, float]
    slots: int
    queue_limit: int
    warm_capacity: int
    objects: int
    cold_work: float
    target_latency: float
    timeout: float
    deadline: float
    late_credit: float = 0.2
    region_delay: float = 0.02
    domain_delay: float = 0.0014

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        if source == target:
            return 0.0001
        same_region = region_of(source) == region_of(target)
        return self.domain_delay if same_region else self.region_delay


def lightly_loaded_site(factor: float = 1.0) -> Site:
    """Return a site with enough capacity even if some of the objects are cold.

    :param factor: factor on the request rates
    """
    domains = [
        f"{region}-{letter}" for region in ("puget", "willamette", "inland") for letter in "ab"
    ]
    return Site(
        targets=dict(zip(domains, (2, 2, 3, 3, 1, 1), strict=True)),
        vms=3,
        rates=dict.fromkeys(domains, 45.0 * factor),
        slots=9,
        queue_limit=27,
        warm_capacity=129,
        objects=123,
        cold_work=0.264,
        target_latency=0.2,
        timeout=1.2,
        deadline=1.2,
    )


def overloaded_site() -> Site:
    """Return a site with more load than its targets can serve while cold."""
    return lightly_loaded_site(factor=2.6)


@attrs.define(eq=False)
class Call:
    """One request of a caller, with its retries.

    :param arrived_at: time when the caller sent its first attempt, in seconds
    :param rejected_by: targets that rejected the current attempt
    :param attempt_started: time when the current attempt began, in seconds
    """

    key: str
    domain: str
    arrived_at: float
    retries_left: int = 1
    rejected_by: set[str] = attrs.field(factory=set)
    attempt_started: float = 0.0


@attrs.define
class CallerResult:
    """The outcomes of the calls.

    :param ended_calls: number of calls that ended, by failure domain of the caller
    :param credit: credit that the calls earned, by failure domain of the caller
    :param on_time: calls answered within the target latency
    :param late: calls answered after the target latency, but within the deadline
    :param refused: calls that ended with a refusal
    :param failed: calls that ended without an answer within the deadline
    :param refusals: refused attempts, also of calls that were retried
    """

    ended_calls: dict[str, int] = attrs.field(factory=dict)
    credit: dict[str, float] = attrs.field(factory=dict)
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0

    @property
    def credit_ratio(self) -> float:
        """The mean credit of a call, 0 to 1."""
        return sum(self.credit.values()) / max(1, sum(self.ended_calls.values()))

    @property
    def worst_domain(self) -> float:
        """The mean credit of a call in the failure domain where it is lowest."""
        return min(self.credit.get(name, 0.0) / count for name, count in self.ended_calls.items())

    def end(self, call: Call, credit: float) -> None:
        """Record the end of a call and the credit that it earned."""
        self.ended_calls[call.domain] = self.ended_calls.get(call.domain, 0) + 1
        self.credit[call.domain] = self.credit.get(call.domain, 0.0) + credit


class SchedulerClock:
    """Clock for decisions that returns the virtual time."""

    def __init__(self, scheduler: EventScheduler) -> None:
        self._scheduler = scheduler

    def now(self) -> timedelta:
        """Return the virtual time."""
        return self._scheduler.now


@attrs.define(eq=False)
class _TargetRequest:
    """One request that runs or waits at a target.

    :param on_end: called at the end of the request, with whether it completed
    """

    key: str
    on_end: Callable[[bool], None]
    cancelled: bool = False


class Target:
    """A target with slots, a queue and a set of objects for which it is warm."""

    def __init__(
        self, name: str, domain: str, site: Site, scheduler: EventScheduler, seed: int
    ) -> None:
        self.name = name
        self.domain = domain
        self.slowness = 1.0
        self._site = site
        self._scheduler = scheduler
        self._random = random.Random(seed)
        self._running = 0
        self._waiting: deque[_TargetRequest] = deque()
        self._warm: OrderedDict[str, None] = OrderedDict()

    @property
    def load(self) -> int:
        """The number of requests that run or wait."""
        return self._running + sum(not request.cancelled for request in self._waiting)

    def offer(self, key: str, on_end: Callable[[bool], None]) -> Callable[[], None] | None:
        """Run or queue a request and return a function that cancels it, or None if it is shed."""
        request = _TargetRequest(key, on_end)
        if self._running < self._site.slots:
            self._start(request)
        elif self.load - self._running < self._site.queue_limit:
            self._waiting.append(request)
        else:
            return None
        return lambda: self._cancel(request)

    def _start(self, request: _TargetRequest) -> None:
        self._running += 1
        work = (
            self._site.cold_work
            * self.slowness
            * (1 + self._random.uniform(-_WORK_JITTER, _WORK_JITTER))
        )
        work *= _WARM_WORK_FRACTION if request.key in self._warm else 1.0
        self._scheduler.at(self._scheduler.seconds + work, lambda: self._finish(request))

    def _finish(self, request: _TargetRequest) -> None:
        self._running -= 1
        if not request.cancelled:
            self._warm[request.key] = None
            self._warm.move_to_end(request.key)
            if len(self._warm) > self._site.warm_capacity:
                self._warm.popitem(last=False)
            request.on_end(True)
        while self._waiting and self._running < self._site.slots:
            waiting = self._waiting.popleft()
            if not waiting.cancelled:
                self._start(waiting)

    def _cancel(self, request: _TargetRequest) -> None:
        """Cancel a request; a running one holds its slot until its work would have ended."""
        request.cancelled = True


class CallerSimulation:
    """Simulates the callers of a site against a policy of the entry VMs.

    :param policy: returns the policy of one entry VM for its failure domain and number
    """

    def __init__(
        self, site: Site, policy: Callable[[CallerSimulation, str, int], Policy], seed: int = 1
    ) -> None:
        self.site = site
        self.scheduler = EventScheduler()
        self.result = CallerResult()
        self._random = random.Random(seed)
        numbers = itertools.count()
        self.targets = {
            f"t{number}": Target(f"t{number}", domain, site, self.scheduler, seed + number)
            for domain, count in site.targets.items()
            for number in itertools.islice(numbers, count)
        }
        self.vms = {
            domain: [policy(self, domain, number) for number in range(site.vms)]
            for domain in site.rates
        }

    def run(self, seconds: float) -> CallerResult:
        """Simulate calls that arrive within a number of seconds, and return their outcomes."""
        for domain, rate in self.site.rates.items():
            at = 0.0
            while (at := at + self._random.expovariate(rate)) < seconds:
                key = f"{domain}/{int(self.site.objects * self._random.random() ** 1.2)}"
                call = Call(key, domain, at)
                self.scheduler.at(at, lambda call=call: self._start_attempt(call))
        for policy in itertools.chain.from_iterable(self.vms.values()):
            policy.start(seconds)
        self.scheduler.run()
        return self.result

    def _start_attempt(self, call: Call) -> None:
        """Send an attempt of a call to a random entry VM of its failure domain."""
        call.attempt_started = self.scheduler.seconds
        call.rejected_by = set()
        policy = self._random.choice(self.vms[call.domain])
        policy.count(call)
        self._send(call, policy)

    def _send(self, call: Call, policy: Policy) -> None:
        now = self.scheduler.seconds
        remaining = min(
            self.site.timeout, call.arrived_at + self.site.deadline - call.attempt_started
        )
        remaining -= now - call.attempt_started
        name = policy.choose(call, now - call.attempt_started, remaining)
        if name is None:
            self._refuse(call, policy, remaining)
            return
        target = self.targets[name]
        delay = self.site.delay(call.domain, target.domain)
        self.scheduler.at(
            now + delay, lambda: self._arrive(call, policy, target, delay, now, remaining)
        )

    def _arrive(
        self,
        call: Call,
        policy: Policy,
        target: Target,
        delay: float,
        sent: float,
        remaining: float,
    ) -> None:
        """Offer a request to a target.

        :param delay: one-way delay to the target in seconds
        :param sent: time when the VM sent the request, in seconds
        :param remaining: seconds until the deadline of the request at that time
        """
        ended = False

        def end(answered: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            policy.answered(call, target, self.scheduler.seconds - sent, answered)
            self._finish(call, answered)

        def on_end(ran: bool) -> None:
            self.scheduler.at(self.scheduler.seconds + delay, lambda: end(ran))

        cancel = target.offer(call.key, on_end)
        if cancel is None:
            self.scheduler.at(
                self.scheduler.seconds + delay, lambda: self._shed(call, policy, target)
            )
            return

        def give_up() -> None:
            if not ended:
                cancel()
                end(False)

        self.scheduler.at(sent + remaining, give_up)

    def _shed(self, call: Call, policy: Policy, target: Target) -> None:
        policy.shed(call, target)
        call.rejected_by.add(target.name)
        if len(call.rejected_by) < 2:
            self._send(call, policy)
        else:
            remaining = call.arrived_at + self.site.deadline - self.scheduler.seconds
            self._refuse(call, policy, remaining)

    def _refuse(self, call: Call, policy: Policy, remaining: float) -> None:
        self.result.refusals += 1
        after = min(policy.retry_after(call, remaining), remaining * _MAX_RETRY_AFTER_FRACTION)
        if call.retries_left > 0 and remaining - after > 0:
            call.retries_left -= 1
            self.scheduler.at(self.scheduler.seconds + after, lambda: self._start_attempt(call))
            return
        self.result.refused += 1
        self.result.end(call, 0.0)

    def _finish(self, call: Call, answered: bool) -> None:
        elapsed = self.scheduler.seconds - call.arrived_at
        if not answered or elapsed > self.site.deadline:
            self.result.failed += 1
            self.result.end(call, 0.0)
        elif elapsed <= self.site.target_latency:
            self.result.on_time += 1
            self.result.end(call, 1.0)
        else:
            self.result.late += 1
            self.result.end(call, self.site.late_credit)
