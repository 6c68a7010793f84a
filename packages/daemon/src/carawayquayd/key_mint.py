"""Mints idempotency keys in claim shards that can serve them now."""

from __future__ import annotations

import secrets
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.claim_keys import ShardId, mint_key

if TYPE_CHECKING:
    from carawayquay.claim_maps import Assignment, ShardMaps
    from carawayquayd.holders import HolderView
    from carawayquayd.state import NodeState

__all__ = ["KeyMint"]

#: Time for which the list of candidate shards is reused.
_CANDIDATE_LIFETIME = timedelta(milliseconds=100)


class KeyMint:
    """Mints keys in the shards of the nearest failure domain that can serve claims."""

    def __init__(self, state: NodeState, maps: ShardMaps, holders: HolderView) -> None:
        self._state = state
        self._maps = maps
        self._holders = holders
        self._candidates: list[tuple[ShardId, int]] = []
        self._candidates_expiry = timedelta()

    def mint(self) -> str | None:
        """Return a new key of a shard that can serve it now, or None without such a shard."""
        now = self._state.clock.now()
        if now >= self._candidates_expiry:
            self._candidates = self._find_candidates()
            self._candidates_expiry = now + _CANDIDATE_LIFETIME
        while self._candidates:
            shard, epoch = candidate = secrets.choice(self._candidates)
            assignment = self._maps.get(shard.domain).shards[shard.number]
            if assignment.epoch == epoch and self._can_serve(shard.domain, assignment):
                return mint_key(shard, epoch)
            self._candidates.remove(candidate)
        return None

    def _find_candidates(self) -> list[tuple[ShardId, int]]:
        """Return the shards of the nearest domain that has any able to serve, with epochs."""
        for domain in sorted(self._state.directory.domains, key=self._distance):
            shards = [
                (ShardId(domain, number), assignment.epoch)
                for number, assignment in enumerate(self._maps.get(domain).shards)
                if self._can_serve(domain, assignment)
            ]
            if shards:
                return shards
        return []

    def _can_serve(self, domain: str, assignment: Assignment) -> bool:
        """Return whether a shard can serve claims: both of its holders are alive.

        In another failure domain liveness is not known, so an assigned backup is enough.
        """
        if domain != self._state.settings.domain:
            return assignment.backup is not None
        holders = (assignment.primary, assignment.backup)
        return all(
            holder and self._holders.current_holder(holder.vm) == holder for holder in holders
        )

    def _distance(self, domain: str) -> tuple[bool, bool, str]:
        settings = self._state.settings
        region = self._state.directory.region(domain)
        return (domain != settings.domain, region != settings.region, domain)
