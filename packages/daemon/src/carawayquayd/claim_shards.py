"""Manages an entry VM's claim shards: their maps, replication, takeover and handover."""

from __future__ import annotations

import itertools
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.claim_keys import ShardId
from carawayquay.claim_maps import Holder, MapPlanner, ShardMap, ShardMaps, parse_shard_map
from carawayquay.claim_messages import (
    AssignmentEntry,
    HolderAnswer,
    HolderQuery,
    Replicate,
    Replicated,
    Verdict,
)
from carawayquay.errors import LinkError, RequestError, StoreError
from carawayquay.heartbeats import HEARTBEAT_INTERVAL
from carawayquay.shard_replicas import ShardReplica
from carawayquay_wire.events import Event, EventLog
from carawayquayd.holders import STARTUP_GRACE_PERIOD, HolderView
from carawayquayd.key_mint import KeyMint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.claim_maps import Assignment
    from carawayquay.claim_messages import ClaimRecord
    from carawayquay.claims import Claim
    from carawayquay.membership import EntryVM
    from carawayquay_wire.links import LinkPool
    from carawayquay_wire.store import StoreClient
    from carawayquayd.state import NodeState

__all__ = ["ClaimShardManager"]

_log = EventLog("claims")

_KIND = "claims"
_UPKEEP_INTERVAL = timedelta(milliseconds=100)

#: Gap between upkeep rounds that is taken for a pause of this process. The times since which
#: holders are unreachable are discarded then, as it could not hear from them meanwhile.
_PAUSE_THRESHOLD = timedelta(milliseconds=800)

_WATCH_TIMEOUT = timedelta(seconds=2)
_RETRY_SECONDS = 0.5
_CALL_TIMEOUT = timedelta(milliseconds=500)
_CHANGE_WAIT_SECONDS = 0.05


class ClaimShardManager:
    """The shard maps that one daemon knows and the shard replicas that it holds."""

    def __init__(self, state: NodeState, store: StoreClient, links: LinkPool) -> None:
        self._state = state
        self._store = store
        self._links = links
        self._own_holder = Holder(state.settings.name, state.incarnation)
        self._holders = HolderView(state, self._own_holder)
        self._maps = ShardMaps()
        #: The version of each map in the store, and the domains whose map there is an older one.
        self._stored_versions: dict[str, int] = {}
        self._lost_maps: set[str] = set()
        self._replicas: dict[ShardId, ShardReplica] = {}
        self._running_jobs: set[tuple[str, object]] = set()
        self._change_notifier = _ChangeNotifier()
        self._change_counter = itertools.count(1)
        self._last_upkeep_at = state.clock.now()
        self._confirmed_at: timedelta | None = None
        self._key_mint = KeyMint(state, self._maps, self._holders)

    @property
    def own_holder(self) -> Holder:
        """The holder that identifies this process: VM name and incarnation."""
        return self._own_holder

    @property
    def confirmed_age(self) -> timedelta:
        """Time since the store last confirmed the maps; ``timedelta.max`` if it never did."""
        if self._confirmed_at is None:
            return timedelta.max
        return self._state.clock.now() - self._confirmed_at

    @property
    def holding(self) -> bool:
        """Whether this VM still holds shards that another live VM could take over."""
        others = self._holders.live(self._handover_candidates(self._state.settings.domain))
        return bool(others) and any(
            replica.is_primary or replica.is_backup for replica in self._replicas.values()
        )

    def replica(self, shard: ShardId) -> ShardReplica | None:
        """Return this process's replica of a shard, or None if it never held the shard."""
        return self._replicas.get(shard)

    def primary(self, shard: ShardId) -> Holder | None:
        """Return the primary of a shard in the newest known map, or None if there is none."""
        assignment = self._maps.assignment(shard)
        return assignment.primary if assignment else None

    def mint_key(self) -> str | None:
        """Return a new key of a shard that can serve it now, or None without such a shard."""
        return self._key_mint.mint()

    def dump(self) -> dict[str, Any]:
        """Return the shard maps and the shards held here, ready for JSON."""
        age = self.confirmed_age
        return {
            "confirmed_seconds": None if age == timedelta.max else round(age.total_seconds(), 3),
            "maps": {held.domain: {"version": held.version, **held.dump()} for held in self._maps},
            "held": {
                str(shard): {
                    "epoch": replica.epoch,
                    "role": "primary" if replica.is_primary else "backup",
                    "ready": replica.ready if replica.is_primary else replica.complete,
                    "claims": replica.claims,
                }
                for shard, replica in self._replicas.items()
                if replica.is_primary or replica.is_backup
            },
        }

    async def run(self) -> None:
        """Watch the maps, probe other holders and maintain the shards until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._watch_maps)
            await group.spawn(self._run_probes)
            await group.spawn(self._run_upkeep)

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until a map or a replica changes, for at most *seconds*."""
        await self._change_notifier.wait(seconds)

    async def receive(self, message: Replicate) -> Replicated:
        """Store replicated claims from the primary of a shard and return the verdict."""
        replica = self._replicas.get(ShardId(message.domain, message.shard))
        if replica is None:
            return Replicated(Verdict.NOT_READY, 0)
        complete = replica.complete
        reply = replica.receive(message, self._state.clock.now())
        if replica.complete and not complete:
            _log.info(Event.SHARD_REFILLED, shard=replica.shard, epoch=replica.epoch)
        return reply

    async def answer(self, query: HolderQuery) -> HolderAnswer:
        """Answer another VM's liveness query, with this VM's shard map if that is newer."""
        held = self._maps.get(query.domain)
        newer = held.version > query.version
        return HolderAnswer(
            vm=self._own_holder.vm,
            incarnation=self._own_holder.incarnation,
            leaving=self._state.stopping,
            version=held.version,
            change=held.change,
            shards=[AssignmentEntry.of(item) for item in held.shards] if newer else [],
        )

    async def replicate(self, replica: ShardReplica, claim: Claim, deadline: timedelta) -> bool:
        """Replicate a claim; return whether the backup acknowledged it in the current epoch.

        :param deadline: instant after which to give up
        """
        while replica.is_primary and replica.get(claim.key) is claim:
            if replica.ready and claim.acknowledged == replica.epoch:
                return True
            now = self._state.clock.now()
            if now >= deadline:
                return False
            accepted = replica.ready and await self._replicate_records(replica, [claim.record(now)])
            if not accepted:
                await self._change_notifier.wait(
                    min(_CHANGE_WAIT_SECONDS, (deadline - now).total_seconds())
                )
        return False

    async def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        await self._change_notifier.notify()

    # Shard maps

    async def _watch_maps(self) -> None:
        revision = 0
        while True:
            started = self._state.clock.now()
            try:
                if revision == 0:
                    listing = await self._store.list(_KIND)
                    self._note_missing_maps({item.name for item in listing.objects})
                else:
                    listing = await self._store.watch(_KIND, revision, _WATCH_TIMEOUT)
            except StoreError:
                revision = 0
                await curio.sleep(_RETRY_SECONDS)
                continue
            for item in listing.objects:
                await self._adopt_stored_map(item.name, item.version, item.value)
            self._confirmed_at = started
            revision = max(revision, listing.revision)

    def _note_missing_maps(self, names: set[str]) -> None:
        """Note the known maps that the store lacks, since it was restored from an older copy."""
        for held in self._maps:
            if held.version and held.domain not in names:
                self._stored_versions[held.domain] = 0
                self._lost_maps.add(held.domain)

    async def _adopt_stored_map(self, domain: str, version: int, value: object) -> None:
        try:
            shard_map = parse_shard_map(domain, version, value)
        except ValueError as error:
            _log.warning(Event.SHARD_MAP_REFUSED, domain=domain, version=version, reason=error)
            return
        self._stored_versions[domain] = version
        if self._maps.is_behind(shard_map):
            self._lost_maps.add(domain)
            reason = "an epoch is older than the known one"
            _log.warning(Event.SHARD_MAP_REFUSED, domain=domain, version=version, reason=reason)
            return
        self._lost_maps.discard(domain)
        await self._adopt(shard_map)

    async def _adopt(self, shard_map: ShardMap) -> None:
        if not self._maps.adopt(shard_map):
            return
        now = self._state.clock.now()
        for number, assignment in enumerate(shard_map.shards):
            self._adopt_shard(ShardId(shard_map.domain, number), assignment, now)
        await self._change_notifier.notify()

    def _adopt_shard(self, shard: ShardId, assignment: Assignment, now: timedelta) -> None:
        replica = self._replicas.get(shard)
        if replica is None:
            if self._own_holder not in (assignment.primary, assignment.backup):
                return
            replica = self._replicas[shard] = ShardReplica(shard, self._own_holder)
        was_primary = replica.is_primary
        replica.adopt(assignment, now)
        if replica.is_primary and not was_primary:
            _log.info(Event.SHARD_TAKEN, shard=shard, epoch=assignment.epoch)
        elif was_primary and not replica.is_primary:
            _log.info(Event.SHARD_SEALED, shard=shard, epoch=assignment.epoch)

    def _handover_candidates(self, domain: str) -> list[EntryVM]:
        members = self._state.directory.domain(domain).members
        return [
            vm for vm in (*members, *self._neighbours(domain)) if vm.name != self._own_holder.vm
        ]

    def _neighbours(self, domain: str) -> list[EntryVM]:
        """Return the VMs of the other failure domains in the region of a failure domain."""
        directory = self._state.directory
        region = directory.region(domain)
        return [
            vm
            for listed in directory
            if listed.domain != domain and directory.region(listed.domain) == region
            for vm in listed.members
        ]

    async def _run_probes(self) -> None:
        while True:
            for vm in self._vms_to_probe():
                await self._start_once("probe", vm.name, self._probe_vm, vm)
            await curio.sleep(HEARTBEAT_INTERVAL.total_seconds())

    def _vms_to_probe(self) -> list[EntryVM]:
        """Return the VMs outside the own domain whose liveness matters to a shard held here.

        While the store does not confirm the maps, the VMs of the own domain are included, to
        learn newer maps from them.
        """
        own = self._state.settings.domain
        names = set()
        for domain in self._relevant_domains():
            members = self._state.directory.domain(domain).members
            if domain != own:
                names.update(vm.name for vm in members)
            if domain != own or len(self._holders.live(members)) < 2:
                names.update(vm.name for vm in self._neighbours(domain))
            for assignment in self._maps.get(domain).shards:
                names.update(
                    holder.vm for holder in (assignment.primary, assignment.backup) if holder
                )
        if self.confirmed_age <= STARTUP_GRACE_PERIOD:
            names -= set(self._state.directory.domain(own).names)
        else:
            names |= set(self._state.directory.domain(own).names)
        found = (self._state.directory.find(name) for name in names - {self._own_holder.vm})
        return [vm for vm in found if vm is not None]

    async def _probe_vm(self, vm: EntryVM) -> None:
        own = self._state.settings.domain
        query = HolderQuery(own, self._maps.get(own).version)
        asked_at = self._state.clock.now()
        try:
            answer = await self._links.call(vm.peers, query, _CALL_TIMEOUT)
        except (LinkError, RequestError):
            return
        self._holders.record(answer, asked_at)
        if answer.shards:
            shards = tuple(entry.assignment() for entry in answer.shards)
            await self._adopt(ShardMap(own, answer.version, answer.change, shards))

    # Upkeep

    async def _run_upkeep(self) -> None:
        while True:
            now = self._state.clock.now()
            if now - self._last_upkeep_at > _PAUSE_THRESHOLD:
                self._holders.clear_missing()
            self._last_upkeep_at = now
            for domain in self._relevant_domains():
                if domain in self._lost_maps or self._plan(domain) is not None:
                    await self._start_once("propose", domain, self._propose, domain)
            for replica in list(self._replicas.values()):
                await self._maintain_replica(replica, now)
            await curio.sleep(_UPKEEP_INTERVAL.total_seconds())

    async def _maintain_replica(self, replica: ShardReplica, now: timedelta) -> None:
        replica.expire(now)
        if not replica.is_primary or replica.assignment.backup is None:
            return
        if not replica.ready and not replica.refused:
            await self._start_once("refill", replica.shard, self._refill, replica)
        elif replica.ready:
            records = replica.unacknowledged(now)
            if records:
                await self._start_once(
                    "resend", replica.shard, self._replicate_records, replica, records
                )

    def _relevant_domains(self) -> list[str]:
        """Return the own failure domain and the domains of the shards that this process holds."""
        held = {
            replica.shard.domain
            for replica in self._replicas.values()
            if replica.is_primary or replica.is_backup
        }
        return sorted(held | {self._state.settings.domain})

    def _plan(self, domain: str) -> tuple[Assignment, ...] | None:
        members = self._state.directory.domain(domain).members
        held = self._maps.get(domain)
        if not held.shards and not self._all_members_seen(members):
            return None
        return MapPlanner(
            me=self._own_holder,
            members=self._holders.live(members),
            neighbours=self._holders.live(self._neighbours(domain)),
            lost=self._holders.lost,
            complete=lambda shard: self._replica(shard).complete,
            refused=lambda shard: self._replica(shard).refused,
            idle=lambda shard: self._replica(shard).idle,
        ).plan(held)

    def _all_members_seen(self, members: Iterable[EntryVM]) -> bool:
        """Return whether every VM has a known holder, or the start-up grace period is over."""
        if self._holders.startup_grace_over:
            return True
        return all(self._holders.current_holder(vm.name) is not None for vm in members)

    def _replica(self, shard: ShardId) -> ShardReplica:
        held = self._replicas.get(shard)
        return ShardReplica(shard, self._own_holder) if held is None else held

    async def _propose(self, domain: str) -> None:
        """Write the planned map to the store; reading it again resolves a lost answer."""
        try:
            found = await self._store.get(_KIND, domain)
            if found is not None:
                await self._adopt_stored_map(domain, found.version, found.value)
            held = self._maps.get(domain)
            lost = domain in self._lost_maps
            planned = self._plan(domain) or (held.shards if lost else None)
            if planned is None:
                return
            replaces = self._stored_versions[domain] if lost else held.version
            change = (
                f"{self._own_holder.vm}.{self._own_holder.incarnation}.{next(self._change_counter)}"
            )
            value = ShardMap(domain, 0, change, planned).dump()
            version = await self._store.put(_KIND, domain, value, replaces=replaces)
            self._lost_maps.discard(domain)
            await self._adopt(ShardMap(domain, version, change, planned))
        except StoreError as error:
            _log.info(Event.SHARD_MAP_UNWRITTEN, domain=domain, reason=error)
            await curio.sleep(secrets.randbelow(100) / 1000)

    async def _refill(self, replica: ShardReplica) -> None:
        epoch = replica.epoch
        for message in replica.refill(self._state.clock):
            if not await self._send_to_backup(replica, message):
                return
        if replica.epoch == epoch:
            replica.mark_filled(epoch)
            await self._change_notifier.notify()

    async def _replicate_records(self, replica: ShardReplica, records: list[ClaimRecord]) -> bool:
        return await self._send_to_backup(
            replica, replica.message(records, self._state.clock.now())
        )

    async def _send_to_backup(self, replica: ShardReplica, message: Replicate) -> bool:
        """Send a message to the backup; return whether the backup accepted it."""
        backup = replica.assignment.backup
        vm = self._state.directory.find(backup.vm) if backup else None
        if vm is None:
            return False
        try:
            reply = await self._links.call(vm.peers, message, _CALL_TIMEOUT)
        except (LinkError, RequestError):
            return False
        match reply.verdict:
            case Verdict.ACCEPTED:
                replica.acknowledge(message.epoch, message.records)
                return True
            case Verdict.REFUSED:
                replica.record_refusal(message.epoch)
        return False

    async def _start_once(self, job_kind: str, name: object, job: Any, *args: Any) -> None:
        """Start a job as a background task unless the same job still runs."""
        if (job_kind, name) in self._running_jobs:
            return
        self._running_jobs.add((job_kind, name))
        await curio.spawn(self._run_job, (job_kind, name), job, args, daemon=True)

    async def _run_job(self, entry: tuple[str, object], job: Any, args: tuple[Any, ...]) -> None:
        try:
            await job(*args)
        finally:
            self._running_jobs.discard(entry)


class _ChangeNotifier:
    """Wakes all tasks that wait for the next change."""

    def __init__(self) -> None:
        self._event = curio.Event()

    async def notify(self) -> None:
        event, self._event = self._event, curio.Event()
        await event.set()

    async def wait(self, seconds: float) -> None:
        await curio.ignore_after(max(0.0, seconds), self._event.wait)
