"""Callers, targets and entry VMs of one service on a virtual clock, without a network."""

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

#: Part of the cold work that a request takes at a target that handled the object lately.
_WARM_WORK_FRACTION = 0.3

#: Random part of the work, evenly to both sides.
_WORK_JITTER = 0.15

#: Part of its remaining time for which a caller waits at most before it comes back.
_MAX_RETRY_AFTER_FRACTION = 1 / 3


@attrs.frozen
class Site:
    """One service with its targets, its callers and the entry VMs between them.

    :param targets: number of targets by failure domain
    :param vms: entry VMs of each failure domain
    :param rates: callers' requests/s by failure domain
    :param slots: requests that one target works on at once
    :param queue: requests that one target lets wait
    :param kept: objects for which one target stays warm
    :param objects: objects that the callers of one failure domain ask for
    :param work: seconds that a cold request takes
    :param aim: seconds within which an answer has its full worth
    :param timeout: seconds after which the route gives up
    :param deadline: seconds that a caller waits, its second try included
    :param late_credit: worth of an answer after the aim, of 1
    :param region_delay: one-way delay in seconds
    :param domain_delay: one-way delay in seconds inside a region
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
        same = region_of(source) == region_of(target)
        return self.domain_delay if same else self.region_delay


def lightly_loaded_site(factor: float = 1.0) -> Site:
    """Return a site that has room for its callers even if a part of the objects is cold."""
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
    """Return a site that its callers press beyond what its targets carry cold."""
    return lightly_loaded_site(factor=2.6)


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    :param asked: when the caller began to wait
    :param tried: targets that did not run it in this attempt
    """

    key: str
    domain: str
    arrived_at: float
    retries_left: int = 1
    rejected_by: set[str] = attrs.field(factory=set)
    attempt_started: float = 0.0


@attrs.define
class CallerResult:
    """What callers got."""

    ended_calls: dict[str, int] = attrs.field(factory=dict)
    credit: dict[str, float] = attrs.field(factory=dict)
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0

    @property
    def credit_ratio(self) -> float:
        """The credit earned of the credit owed, over all callers."""
        return sum(self.credit.values()) / max(1, sum(self.ended_calls.values()))

    @property
    def worst_domain(self) -> float:
        """The same for the callers of the worst-served failure domain."""
        return min(self.credit.get(name, 0.0) / count for name, count in self.ended_calls.items())

    def end(self, call: Call, credit: float) -> None:
        """Take the end of a call."""
        self.ended_calls[call.domain] = self.ended_calls.get(call.domain, 0) + 1
        self.credit[call.domain] = self.credit.get(call.domain, 0.0) + credit


class SchedulerClock:
    """The virtual time as decisions read it."""

    def __init__(self, scheduler: EventScheduler) -> None:
        self._scheduler = scheduler

    def now(self) -> timedelta:
        """Return the virtual time."""
        return self._scheduler.now


@attrs.define(eq=False)
class _TargetRequest:
    """One request at one target.

    :param done: told whether it ran to its end
    """

    key: str
    on_end: Callable[[bool], None]
    cancelled: bool = False


class Target:
    """One target: slots, a queue, and the objects that it is warm for."""

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
        """The requests that run or wait."""
        return self._running + sum(not request.cancelled for request in self._waiting)

    def offer(self, key: str, on_end: Callable[[bool], None]) -> Callable[[], None] | None:
        """Take a request; return what cancels it, or None if it is shed."""
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
        """Give a request up; a slot that it holds is free when its work would have ended."""
        request.cancelled = True


class CallerSimulation:
    """Plays the callers of a site against a policy.

    :param policy: makes the policy of one entry VM, from its failure domain and its number
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
        """Let callers ask for a time, and return what they got."""
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
        """Let a caller ask one of the entry VMs of its failure domain."""
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
        """Offer a request to a target; sent is when it left its VM, left what it had then."""
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
