"""Assignment of claim shards to primary and backup, and the planning of its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.claim_keys import SHARDS, ShardId
from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

__all__ = ["Assignment", "Holder", "MapPlanner", "ShardMap", "ShardMaps", "parse_shard_map"]


@attrs.frozen
class Holder:
    """One process of an entry VM; after a restart it is a different holder.

    :param incarnation: the number that identifies this start of the process
    """

    vm: str
    incarnation: int


@attrs.frozen
class Assignment:
    """Primary and backup of a shard in one epoch.

    :param epoch: incremented with each change of a holder
    :param backup: None while no other VM is reachable; the shard then accepts no new claims
    :param complete_since: first epoch after the last recorded loss of claims, or 1; claims of
        earlier epochs may be missing
    """

    epoch: int
    primary: Holder
    backup: Holder | None
    complete_since: int

    def successor(self, primary: Holder, backup: Holder | None) -> Assignment:
        """Return the assignment of the next epoch to a primary that has every claim."""
        return Assignment(self.epoch + 1, primary, backup, self.complete_since)

    def replacement(self, primary: Holder, backup: Holder | None) -> Assignment:
        """Return the next epoch's assignment after the loss of both holders and their claims."""
        return Assignment(self.epoch + 1, primary, backup, self.epoch + 1)


@attrs.frozen
class ShardMap:
    """The assignments of all shards of one failure domain.

    :param version: resource version of the object in the store, or 0 if there is none
    :param change: id of the change that wrote it
    """

    domain: str
    version: int = 0
    change: str = ""
    shards: tuple[Assignment, ...] = ()

    def dump(self) -> dict[str, Any]:
        """Return the value to store, for JSON."""
        return {"change": self.change, "shards": [_dump(item) for item in self.shards]}


class ShardMaps:
    """The newest shard map of each failure domain that this process has seen."""

    def __init__(self) -> None:
        self._maps: dict[str, ShardMap] = {}

    def __iter__(self) -> Iterator[ShardMap]:
        return iter(tuple(self._maps.values()))

    def get(self, domain: str) -> ShardMap:
        """Return the map of a failure domain, or an empty one with version 0."""
        return self._maps.get(domain) or ShardMap(domain)

    def assignment(self, shard: ShardId) -> Assignment | None:
        """Return the assignment of a shard, or None if it is unassigned."""
        shards = self.get(shard.domain).shards
        return shards[shard.number] if shards else None

    def adopt(self, shard_map: ShardMap) -> bool:
        """Adopt a map if it is newer than the current one; return whether it was adopted.

        A map with an earlier epoch of any shard is older, whatever its version: a restored store
        has it from an older copy.
        """
        if shard_map.version <= self.get(shard_map.domain).version or self.is_behind(shard_map):
            return False
        self._maps[shard_map.domain] = shard_map
        return True

    def is_behind(self, shard_map: ShardMap) -> bool:
        """Return whether a map has an earlier epoch of any shard than the current one."""
        current = self.get(shard_map.domain).shards
        pairs = zip(shard_map.shards, current, strict=False)
        return any(new.epoch < old.epoch for new, old in pairs)


def parse_shard_map(domain: str, version: int, value: object) -> ShardMap:
    """Parse a map received from the store or a peer.

    :raises ValueError: if the value is malformed or the number of shards is not ``SHARDS``
    """
    try:
        shards = tuple(_parse(item) for item in value["shards"])  # type: ignore[index]
        change = str(value["change"])  # type: ignore[index]
    except (KeyError, TypeError) as error:
        raise ValueError(f'claim map of failure domain "{domain}" is malformed: {error}') from error
    if len(shards) != SHARDS:
        raise ValueError(
            f'claim map of failure domain "{domain}" has {len(shards)} shards, expected {SHARDS}'
        )
    return ShardMap(domain, version, change, shards)


@attrs.frozen
class MapPlanner:
    """Plans the changes that one holder may make to the assignments of a failure domain.

    A primary may replace its backup. When it is stopping, or belongs to another failure domain, it
    hands idle shards over to the backup. A backup with every claim may take over from a lost
    primary. Any member may replace two lost holders; claims of earlier epochs are then lost.

    :param me: the holder that plans
    :param members: live VMs of the failure domain that the shards belong to
    :param neighbours: live VMs of the region's other failure domains, which hold a shard only
        while there are too few members
    :param lost: whether a holder is gone or has been unreachable long enough to be replaced
    :param complete: whether this holder has every claim of a shard in its current epoch
    :param refused: whether the backup refuses this primary's claims in the current epoch
    :param idle: whether this primary's backup has every claim and no claimed request is in flight
    """

    me: Holder
    members: tuple[Holder, ...]
    neighbours: tuple[Holder, ...]
    lost: Callable[[Holder], bool]
    complete: Callable[[ShardId], bool]
    refused: Callable[[ShardId], bool]
    idle: Callable[[ShardId], bool]

    def plan(self, held: ShardMap) -> tuple[Assignment, ...] | None:
        """Return the desired assignments, or None if no change is needed."""
        if not held.shards:
            return self._initial_assignments(held.domain)
        planned = tuple(
            self._next_assignment(ShardId(held.domain, number), assignment)
            for number, assignment in enumerate(held.shards)
        )
        return planned if planned != held.shards else None

    def _initial_assignments(self, domain: str) -> tuple[Assignment, ...] | None:
        if not self.members or len(self.members) + len(self.neighbours) < 2:
            return None
        return tuple(
            Assignment(1, *self._choose_holders(ShardId(domain, number)), 1)
            for number in range(SHARDS)
        )

    def _next_assignment(self, shard: ShardId, held: Assignment) -> Assignment:
        if held.primary == self.me:
            return self._next_as_primary(shard, held)
        if not self.lost(held.primary):
            return held
        if held.backup == self.me and self.complete(shard):
            return held.successor(self.me, self._choose_backup(shard, self.me))
        backup_gone = held.backup is None or held.backup == self.me or self.lost(held.backup)
        if backup_gone and self.me in self.members:
            return held.replacement(*self._choose_holders(shard))
        return held

    def _next_as_primary(self, shard: ShardId, held: Assignment) -> Assignment:
        if self.me not in self.members and self._can_take_over(held.backup) and self.idle(shard):
            return held.successor(held.backup, self._choose_backup(shard, held.backup))
        backup = self._choose_backup(shard, self.me)
        if backup is None or not self._should_replace_backup(shard, held.backup, backup):
            return held
        return held.successor(self.me, backup)

    def _can_take_over(self, backup: Holder | None) -> bool:
        return backup is not None and backup in (*self.members, *self.neighbours)

    def _should_replace_backup(self, shard: ShardId, held: Holder | None, backup: Holder) -> bool:
        """Return whether a new backup should replace the current one."""
        if held is None or self.lost(held) or self.refused(shard):
            return True
        return held not in self.members and backup in self.members

    def _choose_holders(self, shard: ShardId) -> tuple[Holder, Holder | None]:
        primary = self._candidates(shard)[0]
        return primary, self._choose_backup(shard, primary)

    def _choose_backup(self, shard: ShardId, primary: Holder) -> Holder | None:
        return next((holder for holder in self._candidates(shard) if holder.vm != primary.vm), None)

    def _candidates(self, shard: ShardId) -> Sequence[Holder]:
        return [*_ranked(shard, self.members), *_ranked(shard, self.neighbours)]


def _ranked(shard: ShardId, holders: tuple[Holder, ...]) -> list[Holder]:
    by_name = {holder.vm: holder for holder in holders}
    return [by_name[name] for name in ranked(str(shard), by_name)]


def _dump(assignment: Assignment) -> dict[str, Any]:
    return attrs.asdict(assignment)


def _parse(item: Any) -> Assignment:
    backup = item["backup"]
    return Assignment(
        epoch=int(item["epoch"]),
        primary=Holder(**item["primary"]),
        backup=None if backup is None else Holder(**backup),
        complete_since=int(item["complete_since"]),
    )
