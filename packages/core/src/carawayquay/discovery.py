"""The registry of targets, with pools of ready targets by failure domain and region."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.target_pools import TargetPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.membership import Address

__all__ = ["RegisteredTarget", "TargetChange", "TargetRegistry", "TargetState"]


class TargetState(enum.Enum):
    """The state that a target registers."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class RegisteredTarget:
    """The registration of one target.

    :param slots: number of requests that it runs at once
    :param cold_for: remaining time for which the target is cold, from the registration on
    :param incarnation: number of the start, which grows with each restart under the same name
    :param sequence: number of the registration within the incarnation
    """

    name: str
    service: str
    address: Address
    domain: str
    region: str
    slots: int
    state: TargetState
    cold_for: timedelta
    incarnation: int
    sequence: int = 0


@attrs.frozen
class TargetChange:
    """A change of the registry.

    :param before: the previous registration, or None if there was none
    :param after: the new registration, or None if the target was removed
    """

    before: RegisteredTarget | None
    after: RegisteredTarget | None


class TargetRegistry:
    """The registered targets by name, and the time until which each of them is cold."""

    def __init__(self) -> None:
        self._targets: dict[str, RegisteredTarget] = {}
        self._cold_until: dict[str, timedelta] = {}
        self._by_service: dict[str, tuple[RegisteredTarget, ...]] = {}
        self._pools: dict[tuple[str, str, str], TargetPool] = {}
        self._changes = 0
        self._departures = 0

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterable[RegisteredTarget]:
        return iter(self._targets.values())

    @property
    def changes(self) -> int:
        """The number of changes since the start."""
        return self._changes

    @property
    def departures(self) -> int:
        """The number of times that a ready target was removed or began to drain."""
        return self._departures

    def get(self, name: str) -> RegisteredTarget | None:
        """Return a target by its name, or None."""
        return self._targets.get(name)

    def ready(self, service: str) -> tuple[RegisteredTarget, ...]:
        """Return the targets of a service that accept new requests, in order of their names."""
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = tuple(
                target
                for _, target in sorted(self._targets.items())
                if target.service == service and target.state is TargetState.READY
            )
        return found

    def in_domain(self, service: str, domain: str) -> TargetPool:
        """Return the ready targets of a service in a failure domain."""
        return self._pool(service, "domain", domain, lambda target: target.domain == domain)

    def in_region(self, service: str, region: str) -> TargetPool:
        """Return the ready targets of a service in a region."""
        return self._pool(service, "region", region, lambda target: target.region == region)

    def outside_region(self, service: str, region: str) -> TargetPool:
        """Return the ready targets of a service in all other regions."""
        return self._pool(service, "outside", region, lambda target: target.region != region)

    def _pool(
        self, service: str, scope: str, name: str, matches: Callable[[RegisteredTarget], bool]
    ) -> TargetPool:
        found = self._pools.get((service, scope, name))
        if found is None:
            targets = tuple(target for target in self.ready(service) if matches(target))
            found = self._pools[(service, scope, name)] = TargetPool(targets)
        return found

    def cold(self, name: str, now: timedelta) -> bool:
        """Return whether a target is cold."""
        until = self._cold_until.get(name)
        return until is not None and now < until

    def mark_cold(self, name: str, duration: timedelta, now: timedelta) -> None:
        """Mark a registered target as cold for at least a duration."""
        if name in self._targets and duration > timedelta():
            self._cold_until[name] = max(now + duration, self._cold_until.get(name, now))

    def register(self, target: RegisteredTarget, now: timedelta) -> TargetChange | None:
        """Apply a registration; return the change, or None if the registration is outdated."""
        before = self._targets.get(target.name)
        if before is not None and _outdated(target, before):
            return None
        self._targets[target.name] = target
        if before is None or before.incarnation != target.incarnation:
            self._cold_until.pop(target.name, None)
        self.mark_cold(target.name, target.cold_for, now)
        return self._noted(TargetChange(before, target))

    def remove(self, name: str) -> TargetChange | None:
        """Remove a target; return the change, or None if it was not registered."""
        before = self._targets.pop(name, None)
        self._cold_until.pop(name, None)
        if before is None:
            return None
        return self._noted(TargetChange(before, None))

    def _noted(self, change: TargetChange) -> TargetChange:
        """Count a change, drop what was derived from the targets before it, and return it."""
        self._by_service.clear()
        self._pools.clear()
        self._changes += 1
        if _ready(change.before) and not _ready(change.after):
            self._departures += 1
        return change


def _ready(target: RegisteredTarget | None) -> bool:
    return target is not None and target.state is TargetState.READY


def _outdated(target: RegisteredTarget, known: RegisteredTarget) -> bool:
    """Return whether a registration is older than the known one under the same name."""
    if target.incarnation != known.incarnation:
        return target.incarnation < known.incarnation
    return target.sequence < known.sequence
