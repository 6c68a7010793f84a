"""State of the targets in a daemon's failure domain, and the concurrency limits derived from it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.health import HealthTable
from carawayquay.loans import TargetWarmth
from carawayquay.membership import VMState
from carawayquay.retry_tokens import RetryTokenBucket
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

#: Time for which a target that refused a request as draining gets no requests, whatever its probes
#: report.
_DRAIN_REFUSAL_LIFETIME = timedelta(seconds=2)


@attrs.frozen
class Capacity:
    """The capacity of this VM for a service.

    :param limit: requests that may run at once
    :param running: requests that run now
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
        self.retries = RetryTokenBucket()
        self.clocks: dict[str, ClockReading] = {}
        self._reported_draining: set[str] = set()
        self._drain_refused_until: dict[str, timedelta] = {}
        self._versions: tuple[int, ...] = ()

    def targets(self, document: Document) -> list[Target]:
        """Return the targets of a service in this VM's failure domain."""
        domain = self._state.settings.domain
        return [target for target in document.targets if target.domain == domain]

    def all_targets(self) -> Iterator[tuple[Document, Target]]:
        """Yield every target in this VM's failure domain, with its service's document."""
        for held in self._state.documents:
            for target in self.targets(held.document):
                yield held.document, target

    def may_own(self, vm: EntryVM) -> bool:
        """Return whether a VM of this failure domain is eligible to own targets."""
        if vm.state is not VMState.LIVE:
            return False
        if vm.name == self._state.settings.name:
            return not self._state.stopping
        peers = self._state.peers
        return peers.alive(vm.name, self._state.clock.now()) and not peers.leaving(vm.name)

    def is_owner(self, target: str) -> bool:
        """Return whether this VM owns a target, as the first eligible of its candidates."""
        settings = self._state.settings
        listed = self._state.directory.domain(settings.domain)
        names = candidates(target, listed.names)
        if settings.name not in names:
            return False
        eligible = [name for name in names if self.may_own(listed.member(name))]
        return owner(target, eligible) == settings.name

    def draining(self, document: Document, target: Target) -> bool:
        """Return whether a target drains, by its document, its probes or a recent refusal."""
        if document.draining(target) or target.name in self._reported_draining:
            return True
        return self._state.clock.now() < self._drain_refused_until.get(target.name, timedelta())

    def limit(self, document: Document, target: Target) -> int:
        """Return how many requests this VM may have in flight to a target.

        The limit is the number of own slots, or of all usable slots including borrowed ones if the
        target's clock is known, capped by the target's warmth and health.
        """
        if self.draining(document, target):
            return 0
        now = self._state.clock.now()
        slot_limit = self.slots.own_slots(target.name, now)
        if target.name in self.clocks:
            slot_limit = self.slots.usable(target.name, now)
        warmth_limit = self.warmth.limit(target.name, target.slots, document.warm_up, now)
        return min(slot_limit, warmth_limit, self.health.limit(target.name, target.slots, now))

    def free(self, document: Document, target: Target) -> int:
        """Return how many more requests this VM may start on a target now."""
        running = self.slots.running(target.name, self._state.clock.now())
        return max(0, self.limit(document, target) - running)

    def capacity(self, document: Document) -> Capacity:
        """Return the capacity of this VM for a service, summed over the service's targets."""
        now = self._state.clock.now()
        targets = self.targets(document)
        return Capacity(
            limit=sum(self.limit(document, target) for target in targets),
            running=sum(self.slots.running(target.name, now) for target in targets),
        )

    def warmth_reports(self) -> list[TargetWarmth]:
        """Return the warmth of each target that is not cold, for exchange with other VMs."""
        now = self._state.clock.now()
        reports = []
        for document, target in self.all_targets():
            warmth = self.warmth.warmth(target.name, target.slots, document.warm_up, now)
            if warmth > 0:
                boot = self.warmth.boot(target.name)
                reports.append(TargetWarmth(target.name, boot, int(warmth * 100)))
        return reports

    def dump(self) -> dict[str, Any]:
        """Return the slots, limit, health and warmth of each target, ready for JSON."""
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
        """Apply the newest documents and VM list to the slot table, and advance its time."""
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
        """Merge the warmth of targets that another VM reported."""
        now = self._state.clock.now()
        for item in found:
            self.warmth.learn(item.target, item.boot, item.percent / 100, now)

    def record_drain_report(self, target: str, *, draining: bool) -> None:
        """Record whether a target's health report says that it drains."""
        if draining:
            self._reported_draining.add(target)
        else:
            self._reported_draining.discard(target)

    def record_drain_refusal(self, target: str) -> None:
        """Record that a target refused a request because it drains."""
        self._drain_refused_until[target] = self._state.clock.now() + _DRAIN_REFUSAL_LIFETIME
