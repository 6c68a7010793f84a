"""What a daemon knows of the targets in its failure domain, and the limits that follow."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.health import HealthTable
from carawayquay.loans import TargetWarmth
from carawayquay.membership import VMState
from carawayquay.retries import RetryBudget
from carawayquay.shares import candidates, owner
from carawayquay.slots import SlotTable
from carawayquay.warmth import WarmthTable

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.documents import Document, Target
    from carawayquay.fence import ClockReading
    from carawayquay.membership import EntryVM
    from carawayquayd.state import NodeState

__all__ = ["Capacity", "TargetState"]

#: Time for which a target that refused a request as draining gets no other, whatever probes say.
_DRAIN_REFUSAL_LIFETIME = timedelta(seconds=2)


@attrs.frozen
class Capacity:
    """The load that this VM may carry for a service now.

    :param limit: requests that may run at once
    :param running: requests that run
    """

    limit: int
    running: int


class TargetState:
    """Slots, health, warmth, drains and clocks of the targets in this VM's failure domain."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        now = state.clock.now()
        self.slots = SlotTable(state.settings.name, state.incarnation, now)
        self.health = HealthTable()
        self.warmth = WarmthTable()
        self.retries = RetryBudget()
        self.clocks: dict[str, ClockReading] = {}
        self._reported_draining: set[str] = set()
        self._refused_until: dict[str, timedelta] = {}
        self._versions: tuple[int, ...] = ()

    def targets(self, document: Document) -> list[Target]:
        """Return the targets of a service in this VM's failure domain."""
        domain = self._state.settings.domain
        return [target for target in document.targets if target.domain == domain]

    def all_targets(self) -> Iterator[tuple[Document, Target]]:
        """Yield every target in this VM's failure domain, with the document that names it."""
        for held in self._state.documents:
            for target in self.targets(held.document):
                yield held.document, target

    def may_own(self, vm: EntryVM) -> bool:
        """Return whether a VM of this failure domain may own targets, by all that is known."""
        if vm.state is not VMState.LIVE:
            return False
        if vm.name == self._state.settings.name:
            return not self._state.stopping
        peers = self._state.peers
        return peers.alive(vm.name, self._state.clock.now()) and not peers.leaving(vm.name)

    def is_owner(self, target: str) -> bool:
        """Return whether this VM is to run the requests of a target."""
        settings = self._state.settings
        listed = self._state.directory.domain(settings.domain)
        names = candidates(target, listed.names)
        if settings.name not in names:
            return False
        eligible = [name for name in names if self.may_own(listed.member(name))]
        return owner(target, eligible) == settings.name

    def draining(self, document: Document, target: Target) -> bool:
        """Return whether a target is to get no new work, by its document or by its own word."""
        if document.draining(target) or target.name in self._reported_draining:
            return True
        return self._state.clock.now() < self._refused_until.get(target.name, timedelta())

    def limit(self, document: Document, target: Target) -> int:
        """Return how many requests this VM may have running on a target."""
        if self.draining(document, target):
            return 0
        now = self._state.clock.now()
        slot_limit = self.slots.own(target.name, now)
        if target.name in self.clocks:
            slot_limit = self.slots.usable(target.name, now)
        warmth_limit = self.warmth.limit(target.name, target.slots, document.warm_up, now)
        return min(slot_limit, warmth_limit, self.health.limit(target.name, target.slots, now))

    def free(self, document: Document, target: Target) -> int:
        """Return how many more requests this VM may start on a target."""
        running = self.slots.running(target.name, self._state.clock.now())
        return max(0, self.limit(document, target) - running)

    def capacity(self, document: Document) -> Capacity:
        """Return the load that this VM may carry for a service, over all its targets."""
        now = self._state.clock.now()
        targets = self.targets(document)
        return Capacity(
            limit=sum(self.limit(document, target) for target in targets),
            running=sum(self.slots.running(target.name, now) for target in targets),
        )

    def warmth_reports(self) -> list[TargetWarmth]:
        """Return how warm the targets are by this VM's own traffic."""
        now = self._state.clock.now()
        reports = []
        for document, target in self.all_targets():
            warmth = self.warmth.warmth(target.name, target.slots, document.warm_up, now)
            if warmth > 0:
                boot = self.warmth.boot(target.name)
                reports.append(TargetWarmth(target.name, boot, int(warmth * 100)))
        return reports

    def dump(self) -> dict[str, Any]:
        """Return the targets and their use, as JSON takes it."""
        now = self._state.clock.now()
        return {
            target.name: {
                **self.slots.dump(target.name, now),
                "slots": target.slots,
                "limit": self.limit(document, target),
                "wanted": self.is_owner(target.name),
                "health": self.health.state(target.name, now).value,
                "warmth": round(
                    self.warmth.warmth(target.name, target.slots, document.warm_up, now), 2
                ),
                "draining": self.draining(document, target),
            }
            for document, target in self.all_targets()
        }

    def refresh(self) -> None:
        """Take the newest documents and VM list, and note that this process runs."""
        now = self._state.clock.now()
        versions = tuple(held.version for held in self._state.documents)
        if versions != self._versions:
            self._versions = versions
            longest = max(
                (held.document.timeout for held in self._state.documents), default=timedelta()
            )
            self.slots.configure([target for _, target in self.all_targets()], longest)
        self.slots.adopt(self._state.directory.domain(self._state.settings.domain), now)
        self.slots.tick(now)

    def learn_warmth(self, found: list[TargetWarmth]) -> None:
        """Take how warm another VM found targets."""
        now = self._state.clock.now()
        for item in found:
            self.warmth.learn(item.target, item.boot, item.percent / 100, now)

    def record_drain_report(self, target: str, *, draining: bool) -> None:
        """Take what a target's health endpoint says of a drain."""
        if draining:
            self._reported_draining.add(target)
        else:
            self._reported_draining.discard(target)

    def record_drain_refusal(self, target: str) -> None:
        """Note that a target refused a request because it drains."""
        self._refused_until[target] = self._state.clock.now() + _DRAIN_REFUSAL_LIFETIME
