"""Primary and backup replicas of a claim shard."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.claim_maps import Assignment, Holder
from carawayquay.claim_messages import (
    NO_LOSS,
    ClaimRecord,
    ClaimState,
    Replicate,
    Replicated,
    Verdict,
)
from carawayquay.claims import CLAIM_BYTES, Claim, NewClaim, PendingClaim, shard_unavailable
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.requests import Forwarded

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.claim_keys import BookingKey, ShardId
    from carawayquay.clock import Clock

__all__ = ["ShardReplica"]

#: Maximum body size in bytes of an answer kept for repeated requests.
MAX_KEPT_BODY_BYTES = 64 * 1024

#: Memory limit in bytes for the claims of one shard.
MAX_SHARD_BYTES = 1024 * 1024

#: Time for which a released claim is kept, so that delayed messages cannot reinstate it.
RELEASED_RETENTION = timedelta(seconds=30)

#: Maximum number of records in one replication message of a refill.
REFILL_RECORDS = 64

#: A primary refuses plain keys if its epoch was last confirmed longer ago than the key's lifetime
#: divided by this number.
_CONFIRM_DIVISOR = 4


class ShardReplica:
    """The replica of a claim shard at one of its holders.

    :param me: the holder that this replica belongs to
    """

    def __init__(self, shard: ShardId, me: Holder) -> None:
        self._shard = shard
        self._me = me
        self._assignment: Assignment | None = None
        self._claims: dict[str, Claim] = {}
        self._size = 0
        self._sequence = 0
        self._complete = False
        self._complete_since = 0
        self._lost_at: timedelta | None = None
        self._filled = False
        self._refused = False

    @property
    def shard(self) -> ShardId:
        """The shard that this replica belongs to."""
        return self._shard

    @property
    def epoch(self) -> int:
        """The newest known epoch, or 0."""
        return self._assignment.epoch if self._assignment else 0

    @property
    def assignment(self) -> Assignment | None:
        """The assignment of the newest known epoch, or None."""
        return self._assignment

    @property
    def is_primary(self) -> bool:
        """Whether this holder is the primary of the newest known epoch."""
        return self._assignment is not None and self._assignment.primary == self._me

    @property
    def is_backup(self) -> bool:
        """Whether this holder is the backup of the newest known epoch."""
        return self._assignment is not None and self._assignment.backup == self._me

    @property
    def complete(self) -> bool:
        """Whether this holder has every claim dispatched since the epoch ``complete_since``."""
        return self._complete

    @property
    def claims(self) -> int:
        """The number of claims in this replica."""
        return len(self._claims)

    @property
    def idle(self) -> bool:
        """Whether this primary's backup has every claim and no claimed request is in flight."""
        states = (claim.state for claim in self._claims.values())
        return self.ready and ClaimState.CLAIMED not in states

    @property
    def ready(self) -> bool:
        """Whether this holder is the primary and its backup has every claim."""
        return self.is_primary and self._filled

    @property
    def refused(self) -> bool:
        """Whether the backup refuses this primary's claims."""
        return self.is_primary and self._refused

    def get(self, key: str) -> Claim | None:
        """Return the claim on a key, or None."""
        return self._claims.get(key)

    def may_dispatch(self, claim: Claim) -> bool:
        """Return whether the request of a claim may be dispatched now.

        The backup must have acknowledged the claim in the current epoch, and this holder must still
        be its primary.
        """
        return (
            self.ready
            and self._claims.get(claim.key) is claim
            and claim.state is ClaimState.CLAIMED
            and not claim.dispatched
            and claim.acknowledged == self.epoch
        )

    def confirmed(self, key: BookingKey, life: timedelta, age: timedelta) -> bool:
        """Return whether the epoch was confirmed recently enough to serve a key.

        :param life: retention time of keys in the service's document
        :param age: time since the epoch was last confirmed by the store
        """
        return key.minted or age <= life / _CONFIRM_DIVISOR

    # Methods of both roles

    def adopt(self, assignment: Assignment, now: timedelta) -> None:
        """Adopt an assignment and its role if its epoch is newer; ignore it otherwise.

        Claims of earlier epochs count as lost unless this holder was complete in the preceding
        epoch and the assignment does not declare a loss. Who wrote the map is irrelevant.
        A new primary marks pending claims as undecided; any other holder discards its claims.
        """
        held = self._assignment
        if held is not None and assignment.epoch <= held.epoch:
            return
        continuous = (
            self._complete and assignment.epoch == self.epoch + 1
        ) and assignment.complete_since < assignment.epoch
        was_primary = self.is_primary
        self._assignment = assignment
        self._filled = False
        self._refused = False
        if not self.is_primary:
            self._complete = False
            self._clear()
            return
        self._complete = True
        if not was_primary:
            self._mark_all_undecided(now)
        if not continuous:
            self._complete_since = assignment.epoch
            self._lost_at = now if assignment.epoch > 1 else None

    def expire(self, now: timedelta) -> None:
        """Remove expired claims."""
        claims = self._claims.values()
        expired = [c for c in claims if c.expires_at is not None and c.expires_at <= now]
        for claim in expired:
            self._remove(claim)

    # Methods of the backup

    def receive(self, message: Replicate, now: timedelta) -> Replicated:
        """Apply a replication message if its sender is the primary of the newest known epoch.

        A backup that has taken over has a newer epoch and thereby fences off the old primary.
        """
        return Replicated(self._receive(message, now), self.epoch)

    def _receive(self, message: Replicate, now: timedelta) -> Verdict:
        if message.epoch > self.epoch:
            return Verdict.NOT_READY
        sender = Holder(message.vm, message.incarnation)
        from_primary = self._assignment is not None and self._assignment.primary == sender
        if message.epoch < self.epoch or not from_primary or not self.is_backup:
            return Verdict.REFUSED
        for record in message.records:
            self._apply(record, now)
        self._complete_since = message.complete_since
        self._lost_at = None
        if message.loss_age_ms != NO_LOSS:
            self._lost_at = now - timedelta(milliseconds=message.loss_age_ms)
        self._complete = self._complete or message.filled
        return Verdict.ACCEPTED

    def _apply(self, record: ClaimRecord, now: timedelta) -> None:
        held = self._claims.get(record.key)
        self._sequence = max(self._sequence, record.sequence)
        if held is not None and held.sequence >= record.sequence:
            return
        life = timedelta(milliseconds=record.life_ms)
        claim = Claim(record.key, record.fingerprint, life, record.sequence, record.state)
        if record.state is not ClaimState.CLAIMED:
            claim.expires_at = now + life
        if record.state is ClaimState.DONE:
            claim.answer = Forwarded(record.status, record.headers, record.body, record.target)
        self._put(claim)

    # Methods of the primary

    def admit(
        self,
        key: BookingKey,
        fingerprint: bytes,
        life: timedelta,
        attempt: int,
        age: timedelta,
        now: timedelta,
    ) -> NewClaim | PendingClaim | Forwarded:
        """Claim a key, or return its pending claim or the answer of its completed request.

        :param fingerprint: hash of the request
        :param life: retention time of keys in the service's document
        :param attempt: attempt number that the caller sent, from 1, or 0 if it sent none
        :param age: time since the epoch was last confirmed by the store
        :raises RequestError: if the key cannot be claimed or the outcome of its request is unknown
        """
        if not self.is_primary:
            raise shard_unavailable(attempt, f'shard "{self._shard}" has another primary')
        claim = self._claims.get(key.text)
        if claim is not None and claim.state is not ClaimState.RELEASED:
            return _resolve_existing(claim, fingerprint)
        self._check_claimable(key, life, attempt, age, now)
        claim = Claim(key.text, fingerprint, life, self._next_sequence())
        self._put(claim)
        return NewClaim(claim)

    def acknowledge(self, epoch: int, records: list[ClaimRecord]) -> None:
        """Record that the backup accepted records in an epoch."""
        for record in records:
            claim = self._claims.get(record.key)
            if claim is not None and claim.sequence == record.sequence:
                claim.acknowledged = epoch

    def dispatch(self, claim: Claim) -> None:
        """Record the dispatch of a claim's request."""
        claim.dispatched = True

    def finish(self, claim: Claim, answer: Forwarded, now: timedelta) -> None:
        """Record the completion of a claim's request and keep the answer for repeated requests.

        Only the fact of completion is kept if the answer exceeds a size limit.
        """
        size = len(answer.body)
        if size > MAX_KEPT_BODY_BYTES or self._size + size > MAX_SHARD_BYTES:
            answer = Forwarded(0, [], b"", answer.target)
        self._end_claim(claim, ClaimState.DONE, now + claim.life, answer)

    def mark_undecided(self, claim: Claim, now: timedelta) -> None:
        """Mark a claim as undecided: whether its request ran is unknown."""
        self._end_claim(claim, ClaimState.UNDECIDED, now + claim.life)

    def release(self, claim: Claim, now: timedelta) -> None:
        """Release a claim whose request certainly did not run and will not run."""
        self._end_claim(claim, ClaimState.RELEASED, now + min(claim.life, RELEASED_RETENTION))

    def mark_filled(self, epoch: int) -> None:
        """Record that the backup has every claim in an epoch."""
        self._filled = self._filled or epoch == self.epoch

    def record_refusal(self, epoch: int) -> None:
        """Record that the backup refused this primary's claims in an epoch."""
        self._refused = self._refused or epoch == self.epoch

    def message(
        self, records: list[ClaimRecord], now: timedelta, *, filled: bool = False
    ) -> Replicate:
        """Build the message that replicates records to the backup."""
        age = NO_LOSS
        if self._lost_at is not None:
            age = int((now - self._lost_at).total_seconds() * 1000)
        return Replicate(
            domain=self._shard.domain,
            shard=self._shard.number,
            epoch=self.epoch,
            vm=self._me.vm,
            incarnation=self._me.incarnation,
            filled=filled,
            complete_since=self._complete_since,
            loss_age_ms=age,
            records=records,
        )

    def refill(self, clock: Clock) -> Iterator[Replicate]:
        """Yield the messages that replicate every claim to a backup, the last one with ``filled``.

        Stops early if the epoch changes.
        """
        epoch = self.epoch
        keys = list(self._claims)
        for start in range(0, len(keys), REFILL_RECORDS):
            if self.epoch != epoch:
                return
            now = clock.now()
            claims = [self._claims.get(key) for key in keys[start : start + REFILL_RECORDS]]
            yield self.message([claim.record(now) for claim in claims if claim], now)
        if self.epoch == epoch:
            yield self.message([], clock.now(), filled=True)

    def unacknowledged(self, now: timedelta) -> list[ClaimRecord]:
        """Return records of unacknowledged ended claims, at most ``REFILL_RECORDS``."""
        claims = [
            claim
            for claim in self._claims.values()
            if claim.state is not ClaimState.CLAIMED and claim.acknowledged != self.epoch
        ]
        return [claim.record(now) for claim in claims[:REFILL_RECORDS]]

    def _check_claimable(
        self, key: BookingKey, life: timedelta, attempt: int, age: timedelta, now: timedelta
    ) -> None:
        """Check that a new key cannot have been claimed elsewhere or in a lost claim.

        :raises RequestError: if it can have been, or if the shard is full
        """
        if key.epoch is not None and key.epoch > self.epoch:
            detail = (
                f'shard "{self._shard}" is in epoch {self.epoch}, the key is of epoch {key.epoch}'
            )
            raise shard_unavailable(attempt, detail)
        if not self.confirmed(key, life, age):
            raise shard_unavailable(
                attempt, f'epoch of shard "{self._shard}" was last confirmed too long ago'
            )
        if key.epoch is not None:
            lost = key.epoch < self._complete_since
        else:
            lost = self._lost_at is not None and now - self._lost_at < life
        if lost and attempt == 1:
            raise shard_unavailable(
                attempt, f'shard "{self._shard}" lost claims that may include this key'
            )
        if lost:
            detail = f'shard "{self._shard}" lost claims that may include this key'
            raise RequestError(ErrorKind.KEY_UNDECIDED, detail)
        if self._size + CLAIM_BYTES > MAX_SHARD_BYTES:
            raise _shard_full(attempt, self._shard)

    def _end_claim(
        self,
        claim: Claim,
        state: ClaimState,
        expires_at: timedelta,
        answer: Forwarded | None = None,
    ) -> None:
        held = self._claims.get(claim.key) is claim
        if held:
            self._remove(claim)
        claim.state = state
        claim.sequence = self._next_sequence()
        claim.acknowledged = 0
        claim.expires_at = expires_at
        claim.answer = answer
        if held:
            self._put(claim)

    def _mark_all_undecided(self, now: timedelta) -> None:
        for claim in list(self._claims.values()):
            if claim.state is ClaimState.CLAIMED:
                self.mark_undecided(claim, now)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _put(self, claim: Claim) -> None:
        held = self._claims.get(claim.key)
        if held is not None:
            self._remove(held)
        self._claims[claim.key] = claim
        self._size += claim.size

    def _remove(self, claim: Claim) -> None:
        del self._claims[claim.key]
        self._size -= claim.size

    def _clear(self) -> None:
        self._claims.clear()
        self._size = 0


def _resolve_existing(claim: Claim, fingerprint: bytes) -> PendingClaim | Forwarded:
    """Return the pending claim or the answer for a key that is already claimed.

    :raises RequestError: if the key was used for another request, its outcome is unknown, or its
        answer was not kept
    """
    if claim.fingerprint != fingerprint:
        raise RequestError(ErrorKind.KEY_REUSED, f'key "{claim.key}" was used for another request')
    match claim.state:
        case ClaimState.CLAIMED:
            return PendingClaim(claim)
        case ClaimState.DONE if claim.answer is not None and claim.answer.status:
            return claim.answer
        case ClaimState.DONE:
            detail = f'request with key "{claim.key}" ran, but its answer was too large to keep'
            raise RequestError(ErrorKind.ANSWER_TOO_LARGE, detail)
    raise RequestError(ErrorKind.KEY_UNDECIDED, f'request with key "{claim.key}" may have run')


def _shard_full(attempt: int, shard: ShardId) -> RequestError:
    if attempt == 1:
        return RequestError(
            ErrorKind.OVERLOADED, f'shard "{shard}" is at its memory limit for claims'
        )
    return shard_unavailable(attempt, f'shard "{shard}" is at its memory limit for claims')
