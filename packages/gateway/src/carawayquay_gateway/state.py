"""What one gateway knows: configuration, targets, evacuations, peers and what it measured."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayquay.cold_rates import ColdRates, ColdRights
from carawayquay.discovery import TargetRegistry
from carawayquay.entry_peers import EntryPeers
from carawayquay.errors import ObjectError
from carawayquay.kept_share import KeptShare, RegionLoad
from carawayquay.load_reports import VMIdentity, short_hash
from carawayquay.retry_budget import RetryBudget
from carawayquay.target_stats import ServiceTimes, TargetStats
from carawayquay_gateway.replicas import Adopter, Replica
from carawayquay_platform.configuration import CONFIGURATION_NAME, parse_configuration
from carawayquay_platform.objects import ObjectKind, StoredObject, parse_target
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.clock import Clock
    from carawayquay.discovery import RegisteredTarget, TargetChange
    from carawayquay.load_reports import WarmObject
    from carawayquay.routes import Configuration
    from carawayquay_gateway.settings import GatewaySettings
    from carawayquay_wire.metrics import Metrics

__all__ = ["GatewayState", "ServiceState"]

_log = EventLog("state")

#: Span over which the rate of a service's requests is measured.
_RATE_WINDOW = timedelta(seconds=3)

#: Weight of the present among the requests at a region's targets, as it is looked at.
_BUSY_WEIGHT = 0.2

#: Share of a region's requests below which their number at its targets tells nothing.
_LEAST_SHARE = 0.2

#: Seconds of work that are assumed before a service has answered.
_ASSUMED_LATENCY = 0.3


class ServiceState:
    """What is measured and counted for one service."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.times = ServiceTimes()
        self.kept = KeptShare()
        self.retries = RetryBudget(
            settings.retry_window, settings.retry_ratio, settings.retry_allowance
        )
        self._arrivals: deque[timedelta] = deque()
        self._refusals: deque[timedelta] = deque()
        self._busy = 0.0

    def count_request(self, now: timedelta) -> None:
        """Count a caller's request."""
        self._arrivals.append(now)
        self.retries.count_request(now)

    def count_refusal(self, now: timedelta) -> None:
        """Count a request that was refused for lack of room."""
        self._refusals.append(now)

    def refused_part(self, now: timedelta) -> float:
        """Return the part of the requests of late that were refused for lack of room."""
        _expire(self._refusals, now)
        _expire(self._arrivals, now)
        return min(1.0, len(self._refusals) / max(1, len(self._arrivals)))

    def observe_busy(self, requests: int) -> float:
        """Take the requests at the region's targets now, and return their number of late."""
        self._busy += _BUSY_WEIGHT * (requests - self._busy)
        return self._busy

    def rate(self, now: timedelta) -> float:
        """Return the requests/s of late."""
        _expire(self._arrivals, now)
        return len(self._arrivals) / _RATE_WINDOW.total_seconds()


class GatewayState:
    """The state that the parts of a gateway share."""

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        metrics: Metrics,
        identity: VMIdentity,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.identity = identity
        self.stopping = False
        self.answered: dict[ObjectKind, bool] = {}
        self.configuration: Configuration | None = None
        self.targets = TargetRegistry()
        self.evacuated: set[str] = set()
        self.peers = EntryPeers(identity)
        self.cold_rates = ColdRates()
        self._cold_rights = ColdRights(settings.cold_over, settings.cold_slack)
        self._services: dict[str, ServiceState] = {}
        self._stats: dict[str, TargetStats] = {}
        self._names: dict[int, str] = {}
        self.replicas = {
            ObjectKind.CONFIGURATION: Replica(
                ObjectKind.CONFIGURATION, Adopter(self._adopt_configuration, _ignore)
            ),
            ObjectKind.TARGETS: Replica(
                ObjectKind.TARGETS, Adopter(self._adopt_target, self._drop_target)
            ),
            ObjectKind.EVACUATIONS: Replica(
                ObjectKind.EVACUATIONS, Adopter(self._adopt_evacuation, self._drop_evacuation)
            ),
        }

    @property
    def ready(self) -> bool:
        """Whether requests can be carried: what is in force is known and no stop has begun."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.replicas[ObjectKind.TARGETS].revision is not None
        )

    @property
    def watching(self) -> bool:
        """Whether this VM watches the store and its last calls were answered."""
        return len(self.answered) == len(self.replicas) and all(self.answered.values())

    def service(self, name: str) -> ServiceState:
        """Return what is measured of a service."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServiceState(self.settings)
        return found

    @property
    def services(self) -> dict[str, ServiceState]:
        """What is measured of each service that was asked for."""
        return self._services

    def stats(self, target: str) -> TargetStats:
        """Return what is measured of a target."""
        found = self._stats.get(target)
        if found is None:
            found = self._stats[target] = TargetStats()
        return found

    def running(self, target: str) -> int:
        """Return the requests in flight at a target from all VMs, as far as known."""
        stats = self.stats(target)
        others = stats.others(self.clock.now())
        if others is None:
            others = self.peers.running(short_hash(target))
        return stats.running + others

    def running_here(self) -> list[tuple[str, int]]:
        """Return the targets at which this VM has requests in flight, and how many."""
        return [(name, stats.running) for name, stats in self._stats.items() if stats.running]

    def usable(self, service: str, now: timedelta) -> list[RegisteredTarget]:
        """Return the targets of a service to which a request may go now."""
        return [target for target in self.targets.ready(service) if self.may_use(target, now)]

    def may_use(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Return whether a request may go to a ready target now."""
        if target.domain in self.evacuated or not self.stats(target.name).usable(now):
            return False
        if not self.targets.cold(target.name, now):
            return True
        return self.cold_rates.room(target.name, self._cold_share(target, now), now)

    def update_shares(self, now: timedelta) -> None:
        """Move the shares of requests that stay in their region."""
        self.peers.expire(now)
        if self.configuration is None:
            return
        for name in self.configuration.service_names:
            service = self.service(name)
            service.kept.update(self._region_load(name, service, now), now)

    def _region_load(self, name: str, service: ServiceState, now: timedelta) -> RegionLoad:
        usable = [
            target for target in self.targets.ready(name) if target.domain not in self.evacuated
        ]
        region = self.settings.region
        near = [target for target in usable if target.region == region]
        code = short_hash(name)
        own_rate = service.rate(now)
        work = service.times.mean(_ASSUMED_LATENCY)
        demand = work * (own_rate + self.peers.rate(code, region, now))
        busy = service.observe_busy(sum(self.running(target.name) for target in near))
        if demand > 0:
            # What keeps the targets busy is known better than the work that was estimated.
            demand = max(demand, busy / max(_LEAST_SHARE, service.kept.share))
        return RegionLoad(
            demand=demand,
            capacity=sum(target.slots for target in near),
            all_demand=work * (own_rate + self.peers.rate(code, None, now)),
            all_capacity=sum(target.slots for target in usable),
            regions=len(set(self.settings.regions.values())),
        )

    def learn_warm(self, news: Iterable[WarmObject]) -> None:
        """Take which targets handled which objects, from another VM."""
        names = self._target_names()
        for item in news:
            name = names.get(item.target)
            if name is not None:
                self.stats(name).note_warm(item.key)

    def _target_names(self) -> dict[int, str]:
        """Return the names of the registered targets by their short hashes."""
        if len(self._names) != len(self.targets):
            self._names = {short_hash(target.name): target.name for target in self.targets}
        return self._names

    def _cold_share(self, target: RegisteredTarget, now: timedelta) -> int:
        """Return the requests in a second that this VM may send to a cold target."""
        spec = self.configuration.service(target.service) if self.configuration else None
        rate = spec.cold_rate if spec is not None else 0.0
        return self._cold_rights.share(rate, self._cold_holders(target, now), self.identity.name)

    def _cold_holders(self, target: RegisteredTarget, now: timedelta) -> tuple[str, ...]:
        """Return the VMs that share the right to send to a cold target: those beside it."""
        vms = [self.identity, *(peer.identity for peer in self.peers)]
        near = sorted(vm.name for vm in vms if vm.domain == target.domain)
        if not near:
            near = sorted(vm.name for vm in vms if vm.region == target.region)
        return tuple(near or sorted(vm.name for vm in vms))

    def _adopt_configuration(self, stored: StoredObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            configuration = parse_configuration(stored.value)
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)
            return
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        _log.info(
            Event.OBJECT_ADOPTED,
            kind="configuration",
            version=configuration.version,
            revision=stored.revision,
            routes=len(configuration.routes),
        )

    def _adopt_target(self, stored: StoredObject) -> None:
        try:
            target = parse_target(stored, self.settings.regions)
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)
            return
        self._note(self.targets.register(target, self.clock.now()), stored.revision)

    def _drop_target(self, name: str) -> None:
        self._note(self.targets.remove(name), 0)

    def _note(self, change: TargetChange | None, revision: int) -> None:
        match change:
            case None:
                return
            case _ if change.after is None:
                _log.info(Event.TARGET_LOST, target=change.before.name)
                self.cold_rates.forget(change.before.name)
                stats = self._stats.get(change.before.name)
                if stats is not None and stats.running == 0:
                    del self._stats[change.before.name]
            case _:
                before, after = change.before, change.after
                if before is not None and before.incarnation != after.incarnation:
                    self.stats(after.name).restarted()
                if before is None or before.state is not after.state or after.cold_for:
                    _log.info(
                        Event.TARGET_FOUND,
                        target=after.name,
                        service=after.service,
                        state=after.state.value,
                        domain=after.domain,
                        cold_ms=int(after.cold_for.total_seconds() * 1000),
                        revision=revision,
                    )

    def _adopt_evacuation(self, stored: StoredObject) -> None:
        self.evacuated.add(stored.name)
        _log.info(Event.EVACUATION_STARTED, domain=stored.name, revision=stored.revision)

    def _drop_evacuation(self, name: str) -> None:
        self.evacuated.discard(name)
        _log.info(Event.EVACUATION_ENDED, domain=name)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON takes it."""
        now = self.clock.now()
        return {
            "vm": self.identity.name,
            "stopping": self.stopping,
            "configuration": self.configuration.version if self.configuration else None,
            "revisions": {k.name: replica.revision for k, replica in self.replicas.items()},
            "evacuated": sorted(self.evacuated),
            "peers": {
                peer.identity.name: {"live": peer.live(now), "domain": peer.identity.domain}
                for peer in self.peers
            },
            "targets": {
                target.name: {
                    "service": target.service,
                    "domain": target.domain,
                    "state": target.state.value,
                    "cold": self.targets.cold(target.name, now),
                    "running": self.running(target.name),
                    "slots": target.slots,
                    "slowness": round(self.stats(target.name).slowness, 2),
                    "failure_rate": round(self.stats(target.name).failure_rate, 2),
                }
                for target in self.targets
            },
            "services": {
                name: {
                    "rate": round(service.rate(now), 1),
                    "warm_ms": round(service.times.warm(_ASSUMED_LATENCY) * 1000, 1),
                    "cold_ms": round(service.times.cold(_ASSUMED_LATENCY) * 1000, 1),
                    "bytes": round(service.times.mean_bytes),
                    "kept_share": round(service.kept.share, 3),
                }
                for name, service in self._services.items()
            },
        }


def _expire(times: deque[timedelta], now: timedelta) -> None:
    while times and now - times[0] > _RATE_WINDOW:
        times.popleft()


def _ignore(_: str) -> None:
    """Keep an object that is gone in force."""
