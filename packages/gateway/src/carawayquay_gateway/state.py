"""State of a gateway: configuration, targets, peers and statistics."""

from __future__ import annotations

from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.cold_rates import ColdRateLimit, ColdRequestRates
from carawayquay.discovery import TargetRegistry
from carawayquay.entry_peers import EntryPeers
from carawayquay.evacuations import Evacuations
from carawayquay.idle_timeouts import IdleTimeouts
from carawayquay.load_reports import short_hash
from carawayquay.quotas import QuotaLedger
from carawayquay.store_revision import NO_REVISION
from carawayquay.store_watch import must_watch_store
from carawayquay.target_limits import FleetView, ServiceLoad, TargetLimits
from carawayquay.target_reach import TargetReach
from carawayquay.target_stats import TargetStats
from carawayquay.warm_objects import WarmObjects
from carawayquay_gateway.knowledge import StoreKnowledge
from carawayquay_gateway.limit_recorder import LimitRecorder
from carawayquay_gateway.object_applier import ObjectApplier
from carawayquay_gateway.region_loads import RegionLoads
from carawayquay_gateway.replicas import latest_era
from carawayquay_gateway.service_state import ServiceState
from carawayquay_gateway.store_history import StoreHistory
from carawayquay_gateway.ticker import Ticker
from carawayquay_platform.objects import ObjectKind
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.clock import Clock
    from carawayquay.discovery import RegisteredTarget
    from carawayquay.load_reports import VMIdentity, WarmObject
    from carawayquay.organisations import Organisation
    from carawayquay.planned_stop import PlannedStop
    from carawayquay.routes import Configuration
    from carawayquay.target_limits import LimitReached, TargetLimit
    from carawayquay_gateway.settings import GatewaySettings
    from carawayquay_wire.metrics import Metrics

__all__ = ["GatewayState"]

_log = EventLog("state")

#: Interval for pruning the statistics of removed targets.
_PRUNE_INTERVAL = timedelta(seconds=10)

#: Time between two updates, normally a fraction of a second, from which this VM was paused.
_PAUSE_THRESHOLD = timedelta(seconds=1.5)

#: Time after the start in which this VM discovers every reachable domain.
_DISCOVERY_TIME = timedelta(seconds=5)


class GatewayState:
    """State that is shared by the components of a gateway."""

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
        #: The course of the planned stop, None before it begins.
        self.planned_stop: PlannedStop | None = None
        self.ticker = Ticker(Random(identity.incarnation ^ short_hash(identity.name)))
        #: Set for a moment when a VM of the own domain reports changes that this VM does not have.
        self.changes_reported = curio.Event()
        #: Set when this VM took changes from the store that others wait for, until it tells them.
        self.changes_known = curio.Event()
        self._told_changes: object = None
        #: Whether the last store call succeeded, for each kind that this VM itself watches.
        self.store_answered: dict[ObjectKind, bool] = {}
        self.targets = TargetRegistry()
        self.evacuated = Evacuations()
        self.peers = EntryPeers(identity)
        self.reach = TargetReach(clock.now())
        self.cold_rates = ColdRequestRates()
        self.idle_timeouts = IdleTimeouts()
        self.warm_objects = WarmObjects()
        self.target_limits = TargetLimits(Random(identity.incarnation ^ short_hash(identity.name)))
        self.quotas = QuotaLedger(Random(identity.incarnation ^ short_hash(identity.name)))
        self._cold_rate_limits = ColdRateLimit(settings.cold_over, settings.cold_slack)
        self._services: dict[str, ServiceState] = {}
        self._stats: dict[str, TargetStats] = {}
        self._names: dict[int, str] = {}
        self._names_revision = -1
        self._region_loads = RegionLoads(
            self.peers,
            self.targets,
            self.evacuated,
            self.target_limits,
            self.service,
            self.in_flight_at,
        )
        self._prune_at = timedelta()
        self._updated_at: timedelta | None = None
        self._started_at = clock.now()
        #: Number of pauses of this VM, after each of which its replicas may be stale.
        self.pause_count = 0
        self.store_history = StoreHistory(clock, metrics)
        #: Whether a caller was refused because this VM had no configuration yet.
        self.refused_unconfigured = False
        self.limit_recorder = LimitRecorder(
            identity.domain, clock, metrics, self.peers, self.targets, self.target_limits
        )
        self.object_applier = ObjectApplier(
            clock,
            metrics,
            lambda: self.settings.regions,
            self.targets,
            self.evacuated,
            self.store_history,
            self._handle_restart,
            self.forget_target,
        )
        self.replicas = self.object_applier.new_replicas()
        self.knowledge = StoreKnowledge(
            identity.domain,
            clock,
            metrics,
            self.peers,
            self.replicas,
            lambda: self.settings.deadlines,
        )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None if there is none."""
        return self.object_applier.configuration

    @property
    def limited_organisations(self) -> tuple[Organisation, ...]:
        """The organisations that have a quota."""
        organisations = None if self.configuration is None else self.configuration.organisations
        return () if organisations is None else organisations.limited

    @property
    def ready(self) -> bool:
        """Whether this VM can serve: configuration and targets are known and it is not stopping."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.replicas[ObjectKind.TARGETS].revision is not None
        )

    @property
    def watching(self) -> bool:
        """Whether this VM watches the store for all kinds, and the store answers it."""
        answered = self.store_answered.values()
        return len(answered) == len(self.replicas) and all(answered) and self.knowledge.current

    @property
    def replica_era(self) -> int:
        """The latest era of the store that any of this VM's replicas has reached."""
        return latest_era(self.replicas.values())

    def reported_revisions(self) -> tuple[int, ...]:
        """Return the number of each replica's last change, 0 for those of an earlier era."""
        era = self.replica_era
        revisions = (replica.change_revision for replica in self.replicas.values())
        return tuple(revision.number if revision.era == era else 0 for revision in revisions)

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force, 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    def must_watch_store(self) -> bool:
        """Return whether this VM must watch the store, and does not only follow other VMs."""
        now, max_age = self.clock.now(), self.knowledge.longest_max_age
        return self.knowledge.overdue or must_watch_store(
            self.identity, self.peers, now, self.replica_era, max_age
        )

    async def announce_changes(self) -> None:
        """Have other VMs told if changes came since the last call that must be in force soon.

        Those are targets that left, evacuations, and configurations.
        """
        changes = (self.targets.departures, self.configuration_version, frozenset(self.evacuated))
        if changes != self._told_changes:
            self._told_changes = changes
            await self.changes_known.set()

    async def wake_followers(self) -> None:
        """Wake the tasks that wait for changes, if a VM of the own domain reports any."""
        now = self.clock.now()
        if any(self._is_behind_domain(index, now) for index in range(len(self.replicas))):
            await self.changes_reported.set()
            self.changes_reported.clear()

    def _is_behind_domain(self, index: int, now: timedelta) -> bool:
        """Return whether a VM of the own domain is ahead for one kind of objects.

        :param index: the position of the kind in reported revisions
        """
        known = list(self.replicas.values())[index].revision or NO_REVISION
        if self.peers.newest_revision(index) <= known:
            return False
        holders = self.peers.holders(index, now)
        return any(holder.same_domain and holder.revision > known for holder in holders)

    def service(self, name: str) -> ServiceState:
        """Return the statistics of a service, created on first use."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServiceState(self.settings)
        return found

    @property
    def services(self) -> dict[str, ServiceState]:
        """The statistics of each service in use, by name."""
        return self._services

    def stats(self, target: str) -> TargetStats:
        """Return the statistics of a target, created on first use."""
        found = self._stats.get(target)
        if found is None:
            found = self._stats[target] = TargetStats()
        return found

    def end_ejections(self) -> None:
        """Use the targets again that were ejected, since their failures were this VM's own."""
        for stats in self._stats.values():
            stats.end_ejection()

    def running(self, target: str) -> int:
        """Return the estimated requests in flight at a target from all VMs now."""
        return self.in_flight_at(target, self.clock.now())

    def in_flight_at(self, target: str, now: timedelta) -> int:
        """Return the estimated requests in flight at a target from all VMs at a time."""
        stats = self.stats(target)
        others = stats.other_requests(now)
        if others is None:
            others = self.peers.running(short_hash(target))
        return stats.running + others

    def own_in_flight(self) -> list[tuple[str, int]]:
        """Return this VM's requests in flight at each target that has any."""
        return [(name, stats.running) for name, stats in self._stats.items() if stats.running]

    def may_use(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Return whether a ready target is not evacuated, not ejected, and within its cold rate."""
        if target.domain in self.evacuated or not self.stats(target.name).usable(now):
            return False
        if not self.targets.cold(target.name, now):
            return True
        return self.cold_rates.has_room(target.name, self._cold_rate_share(target, now), now)

    def admit(self, target: RegisteredTarget, priority: int, now: timedelta) -> LimitReached | None:
        """Count a request for a target; return the target's limit if it must not be sent there.

        :param priority: that of the request's route, 0 the highest
        """
        if self.target_limits.usable_rate(target) is None:
            self.target_limits.count_request(target, now)
            return None
        fractions = self.service(target.service).priorities.fractions(priority, now)
        load = attrs.evolve(self._service_load(target.service, now), fractions=fractions)
        reached = self.target_limits.admit(target, load, now)
        if reached is not None:
            self.metrics.count("requests_limited_total", service=target.service)
        return reached

    def _handle_restart(self, target: str) -> None:
        """Forget what is known of the former process of a target."""
        self.stats(target).restarted()
        self.warm_objects.forget(target)

    def forget_target(self, name: str) -> None:
        """Forget a removed target, except its statistics while requests are in flight."""
        self.cold_rates.forget(name)
        self.idle_timeouts.forget(name)
        self.limit_recorder.forget(name)
        self.warm_objects.forget(name)
        stats = self._stats.get(name)
        if stats is not None and stats.running == 0:
            del self._stats[name]

    def update(self, now: timedelta) -> None:
        """Expire peers and targets, prune statistics and update the local shares."""
        self._detect_pause(now)
        self.peers.expire(now)
        self.target_limits.update(self._fleet_view(), now)
        self.object_applier.expire_grace_periods()
        self.knowledge.log_changes()
        if now >= self._prune_at:
            self._prune_at = now + _PRUNE_INTERVAL
            self._prune_removed_targets()
            self.target_limits.expire(now)
        if self.configuration is not None:
            self._region_loads.update(self.configuration, self.settings, now)

    def _detect_pause(self, now: timedelta) -> None:
        """Count a pause, if this VM was stopped or suspended since the last update."""
        before, self._updated_at = self._updated_at, now
        if before is not None and now - before > _PAUSE_THRESHOLD:
            self.pause_count += 1
            _log.warning(Event.WOKEN, paused_ms=int((now - before).total_seconds() * 1000))

    def _prune_removed_targets(self) -> None:
        """Drop data from answers that arrived after the removal of their target."""
        for name in [name for name in self._stats if self.targets.get(name) is None]:
            self.forget_target(name)

    def merge_warm_objects(self, warm_objects: Iterable[WarmObject]) -> None:
        """Merge another VM's report of the objects for which targets are warm."""
        names = self._target_names()
        for item in warm_objects:
            name = names.get(item.target)
            if name is not None:
                self.warm_objects.record(name, item.key)

    def _target_names(self) -> dict[int, str]:
        """Return the names of the registered targets by short hash, cached until they change."""
        if self._names_revision != self.targets.changes:
            self._names_revision = self.targets.changes
            self._names = {short_hash(target.name): target.name for target in self.targets}
        return self._names

    def _cold_rate_share(self, target: RegisteredTarget, now: timedelta) -> int:
        """Return this VM's share of the request rate of a cold target, in requests/s."""
        spec = self.configuration.service(target.service) if self.configuration else None
        rate = spec.cold_rate if spec is not None else 0.0
        return self._cold_rate_limits.share(
            rate, self._cold_rate_sharers(target, now), self.identity.name
        )

    def _cold_rate_sharers(self, target: RegisteredTarget, now: timedelta) -> tuple[str, ...]:
        """Return the VMs that share a cold target's rate limit: those of its domain.

        If its domain has none, the VMs of its region share it, or else all VMs. A VM of another
        domain takes a share only after the discovery time, when it knows the other sharers.
        """
        own = self.identity
        if target.domain == own.domain:
            return tuple(
                sorted([own.name, *(peer.identity.name for peer in self.peers.domain_peers)])
            )
        target_domain = self.peers.remote_domains.get(target.domain)
        if target_domain is not None and target_domain.vms:
            return ()
        if now - self._started_at < _DISCOVERY_TIME:
            return ()
        vms = self.peers.identities().values()
        near = sorted(vm.name for vm in vms if vm.domain == target.domain)
        if not near:
            near = sorted(vm.name for vm in vms if vm.region == target.region)
        return tuple(near or sorted(vm.name for vm in vms))

    def budget_sharers(self) -> int:
        """Return the number of VMs among which fleet-wide budgets are divided."""
        return self.peers.budget_sharers(self.settings.regions)

    def limit(self, target: RegisteredTarget, now: timedelta) -> TargetLimit | None:
        """Return the limit that a target named, with the mean share of this VM's requests."""
        return self.target_limits.limit(target, self._service_load(target.service, now), now)

    def _service_load(self, name: str, now: timedelta) -> ServiceLoad:
        service = self.service(name)
        rate = service.rate(now) + self._region_loads.rates.total(short_hash(name))
        return ServiceLoad(rate / max(1, len(self.targets.ready(name))), service.growth(now))

    def region_rate(self, service: str, now: timedelta) -> float:
        """Return the requests/s for a service from the callers of this VM's region."""
        others = self._region_loads.rates.of(self.settings.region, short_hash(service))
        return self.service(service).rate(now) + others

    def _fleet_view(self) -> FleetView:
        """Return the number of VMs and the longest interval of what they tell this VM."""
        intervals = [peer.timing.interval for peer in self.peers.domain_peers]
        intervals += [domain.timing.interval for domain in self.peers.remote_domains]
        return FleetView(self.budget_sharers(), max(intervals, default=timedelta()))
