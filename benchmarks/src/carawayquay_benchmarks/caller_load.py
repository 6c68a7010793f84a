"""Callers, targets and entry VMs of one service on a virtual clock, without a network."""

from __future__ import annotations

import itertools
import random
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from carawayquay_benchmarks.scenario_world import Agenda, region_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from carawayquay_benchmarks.caller_policies import Policy

__all__ = ["AgendaClock", "Call", "CallerLoad", "LoadResult", "Site", "Target", "heavy", "quiet"]

#: Part of the cold work that a request takes at a target that handled the object lately.
_WARM_PART = 0.3

#: Random part of the work, evenly to both sides.
_SPREAD = 0.15

#: Part of its remaining time for which a caller waits at most before it comes back.
_RETURN_PART = 1 / 3


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
    :param late_worth: worth of an answer after the aim, of 1
    :param between_regions: one-way delay in seconds
    :param between_domains: one-way delay in seconds inside a region
    """

    targets: dict[str, int]
    vms: int
    rates: dict[str, float]
    slots: int
    queue: int
    kept: int
    objects: int
    work: float
    aim: float
    timeout: float
    deadline: float
    late_worth: float = 0.2
    between_regions: float = 0.02
    between_domains: float = 0.0014

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        if source == target:
            return 0.0001
        same = region_of(source) == region_of(target)
        return self.between_domains if same else self.between_regions


def quiet(factor: float = 1.0) -> Site:
    """Return a site that has room for its callers even if a part of the objects is cold."""
    domains = [
        f"{region}-{letter}" for region in ("puget", "willamette", "inland") for letter in "ab"
    ]
    return Site(
        targets=dict(zip(domains, (2, 2, 3, 3, 1, 1), strict=True)),
        vms=3,
        rates=dict.fromkeys(domains, 45.0 * factor),
        slots=9,
        queue=27,
        kept=129,
        objects=123,
        work=0.264,
        aim=0.2,
        timeout=1.2,
        deadline=1.2,
    )


def heavy() -> Site:
    """Return a site that its callers press beyond what its targets carry cold."""
    return quiet(factor=2.6)


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    :param asked: when the caller began to wait
    :param tried: targets that did not run it in this attempt
    """

    key: str
    domain: str
    asked: float
    retries: int = 1
    tried: set[str] = attrs.field(factory=set)
    attempt_started: float = 0.0


@attrs.define
class LoadResult:
    """What callers got."""

    asked: dict[str, int] = attrs.field(factory=dict)
    credit: dict[str, float] = attrs.field(factory=dict)
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0

    @property
    def worth(self) -> float:
        """The credit earned of the credit owed, over all callers."""
        return sum(self.credit.values()) / max(1, sum(self.asked.values()))

    @property
    def worst_domain(self) -> float:
        """The same for the callers of the worst-served failure domain."""
        return min(self.credit.get(name, 0.0) / count for name, count in self.asked.items())

    def end(self, call: Call, credit: float) -> None:
        """Take the end of a call."""
        self.asked[call.domain] = self.asked.get(call.domain, 0) + 1
        self.credit[call.domain] = self.credit.get(call.domain, 0.0) + credit


class AgendaClock:
    """The virtual time as decisions read it."""

    def __init__(self, agenda: Agenda) -> None:
        self._agenda = agenda

    def now(self) -> timedelta:
        """Return the virtual time."""
        return self._agenda.now


@attrs.define(eq=False)
class _Job:
    """One request at one target.

    :param done: told whether it ran to its end
    """

    key: str
    done: Callable[[bool], None]
    cancelled: bool = False


class Target:
    """One target: slots, a queue, and the objects that it is warm for."""

    def __init__(self, name: str, domain: str, site: Site, agenda: Agenda, seed: int) -> None:
        self.name = name
        self.domain = domain
        self.slowness = 1.0
        self._site = site
        self._agenda = agenda
        self._random = random.Random(seed)
        self._running = 0
        self._waiting: deque[_Job] = deque()
        self._warm: OrderedDict[str, None] = OrderedDict()

    @property
    def load(self) -> int:
        """The requests that run or wait."""
        return self._running + sum(not job.cancelled for job in self._waiting)

    def offer(self, key: str, done: Callable[[bool], None]) -> Callable[[], None] | None:
        """Take a request; return what cancels it, or None if it is shed."""
        job = _Job(key, done)
        if self._running < self._site.slots:
            self._start(job)
        elif self.load - self._running < self._site.queue:
            self._waiting.append(job)
        else:
            return None
        return lambda: self._cancel(job)

    def _start(self, job: _Job) -> None:
        self._running += 1
        work = self._site.work * self.slowness * (1 + self._random.uniform(-_SPREAD, _SPREAD))
        work *= _WARM_PART if job.key in self._warm else 1.0
        self._agenda.at(self._agenda.seconds + work, lambda: self._finish(job))

    def _finish(self, job: _Job) -> None:
        self._running -= 1
        if not job.cancelled:
            self._warm[job.key] = None
            self._warm.move_to_end(job.key)
            if len(self._warm) > self._site.kept:
                self._warm.popitem(last=False)
            job.done(True)
        while self._waiting and self._running < self._site.slots:
            waiting = self._waiting.popleft()
            if not waiting.cancelled:
                self._start(waiting)

    def _cancel(self, job: _Job) -> None:
        """Give a request up; a slot that it holds is free when its work would have ended."""
        job.cancelled = True


class CallerLoad:
    """Plays the callers of a site against a policy.

    :param policy: makes the policy of one entry VM, from its failure domain and its number
    """

    def __init__(
        self, site: Site, policy: Callable[[CallerLoad, str, int], Policy], seed: int = 1
    ) -> None:
        self.site = site
        self.agenda = Agenda()
        self.result = LoadResult()
        self._random = random.Random(seed)
        numbers = itertools.count()
        self.targets = {
            f"t{number}": Target(f"t{number}", domain, site, self.agenda, seed + number)
            for domain, count in site.targets.items()
            for number in itertools.islice(numbers, count)
        }
        self.vms = {
            domain: [policy(self, domain, number) for number in range(site.vms)]
            for domain in site.rates
        }

    def run(self, seconds: float) -> LoadResult:
        """Let callers ask for a time, and return what they got."""
        for domain, rate in self.site.rates.items():
            at = 0.0
            while (at := at + self._random.expovariate(rate)) < seconds:
                key = f"{domain}/{int(self.site.objects * self._random.random() ** 1.2)}"
                call = Call(key, domain, at)
                self.agenda.at(at, lambda call=call: self._ask(call))
        for policy in itertools.chain.from_iterable(self.vms.values()):
            policy.start(seconds)
        self.agenda.run()
        return self.result

    def _ask(self, call: Call) -> None:
        """Let a caller ask one of the entry VMs of its failure domain."""
        call.attempt_started = self.agenda.seconds
        call.tried = set()
        policy = self._random.choice(self.vms[call.domain])
        policy.count(call)
        self._send(call, policy)

    def _send(self, call: Call, policy: Policy) -> None:
        now = self.agenda.seconds
        left = min(self.site.timeout, call.asked + self.site.deadline - call.attempt_started)
        left -= now - call.attempt_started
        name = policy.choose(call, now - call.attempt_started, left)
        if name is None:
            self._refuse(call, policy, left)
            return
        target = self.targets[name]
        way = self.site.delay(call.domain, target.domain)
        self.agenda.at(now + way, lambda: self._arrive(call, policy, target, way, now, left))

    def _arrive(
        self, call: Call, policy: Policy, target: Target, way: float, sent: float, left: float
    ) -> None:
        """Offer a request to a target; sent is when it left its VM, left what it had then."""
        ended = False

        def end(answered: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            policy.answered(call, target, self.agenda.seconds - sent, answered)
            self._finish(call, answered)

        def done(ran: bool) -> None:
            self.agenda.at(self.agenda.seconds + way, lambda: end(ran))

        cancel = target.offer(call.key, done)
        if cancel is None:
            self.agenda.at(self.agenda.seconds + way, lambda: self._shed(call, policy, target))
            return

        def give_up() -> None:
            if not ended:
                cancel()
                end(False)

        self.agenda.at(sent + left, give_up)

    def _shed(self, call: Call, policy: Policy, target: Target) -> None:
        policy.shed(call, target)
        call.tried.add(target.name)
        if len(call.tried) < 2:
            self._send(call, policy)
        else:
            left = call.asked + self.site.deadline - self.agenda.seconds
            self._refuse(call, policy, left)

    def _refuse(self, call: Call, policy: Policy, left: float) -> None:
        self.result.refusals += 1
        after = min(policy.retry_after(call, left), left * _RETURN_PART)
        if call.retries > 0 and left - after > 0:
            call.retries -= 1
            self.agenda.at(self.agenda.seconds + after, lambda: self._ask(call))
            return
        self.result.refused += 1
        self.result.end(call, 0.0)

    def _finish(self, call: Call, answered: bool) -> None:
        waited = self.agenda.seconds - call.asked
        if not answered or waited > self.site.deadline:
            self.result.failed += 1
            self.result.end(call, 0.0)
        elif waited <= self.site.aim:
            self.result.in_aim += 1
            self.result.end(call, 1.0)
        else:
            self.result.late += 1
            self.result.end(call, self.site.late_worth)
