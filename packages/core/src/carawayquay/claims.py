"""Claims on idempotency keys and the results of admitting a request with a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.claim_messages import ClaimRecord, ClaimState
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.requests import Forwarded

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["Claim", "NewClaim", "PendingClaim", "shard_unavailable"]

#: Estimated memory of a claim without its answer, in bytes.
CLAIM_BYTES = 512


@attrs.define(eq=False)
class Claim:
    """A claim in the memory of a holder of its shard.

    :param fingerprint: hash of the request that made the claim
    :param life: retention time after the request has ended
    :param sequence: number of the claim's last change, increasing over all claims of the shard
    :param acknowledged: epoch in which the backup acknowledged the current state, or 0
    :param dispatched: whether this process has dispatched the request
    :param expires_at: end of the retention time, or None while the request has not ended
    :param answer: the answer to return to repeated requests, if the request ran
    """

    key: str
    fingerprint: bytes
    life: timedelta
    sequence: int
    state: ClaimState = ClaimState.CLAIMED
    acknowledged: int = 0
    dispatched: bool = False
    expires_at: timedelta | None = None
    answer: Forwarded | None = None

    @property
    def size(self) -> int:
        """Estimated memory in bytes."""
        return CLAIM_BYTES + (len(self.answer.body) if self.answer else 0)

    def record(self, now: timedelta) -> ClaimRecord:
        """Return the record that replicates the claim."""
        remaining = self.life if self.expires_at is None else self.expires_at - now
        answer = self.answer or Forwarded(0, [], b"")
        return ClaimRecord(
            key=self.key,
            fingerprint=self.fingerprint,
            state=self.state,
            sequence=self.sequence,
            life_ms=max(0, int(remaining.total_seconds() * 1000)),
            status=answer.status,
            headers=list(answer.headers),
            body=answer.body,
            target=answer.target,
        )


@attrs.frozen
class NewClaim:
    """The key was not claimed; its request may run after the backup has acknowledged the claim."""

    claim: Claim


@attrs.frozen
class PendingClaim:
    """The key is claimed by an earlier request that has not ended."""

    claim: Claim


def shard_unavailable(attempt: int, detail: str) -> RequestError:
    """Return the error for a key whose shard cannot serve it here.

    A first attempt cannot have run through another holder, so its error says that it has not run;
    that of a later or unnumbered attempt does not.

    :param attempt: attempt number that the caller sent, from 1, or 0 if it sent none
    """
    kind = ErrorKind.SHARD_UNAVAILABLE if attempt == 1 else ErrorKind.SHARD_UNREACHABLE
    return RequestError(kind, detail)
