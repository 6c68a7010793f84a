"""Claims on idempotency keys, and what becomes of a request whose key is claimed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.claim_messages import ClaimRecord, ClaimState
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.requests import Forwarded

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["Claim", "NewClaim", "PendingClaim", "shard_unavailable"]

#: Memory of a claim without its answer.
CLAIM_BYTES = 512


@attrs.define(eq=False)
class Claim:
    """A claim as a holder of its shard keeps it.

    :param life: how long it is kept once its outcome is known
    :param acknowledged: the epoch in which the backup acknowledged the claim as it is now
    :param dispatched: whether this process sent the request on
    :param expires_at: the instant from which it is forgotten, or None before its outcome is known
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
        """Bytes of memory, roughly."""
        return CLAIM_BYTES + (len(self.answer.body) if self.answer else 0)

    def record(self, now: timedelta) -> ClaimRecord:
        """Return the claim as a message carries it."""
        left = self.life if self.expires_at is None else self.expires_at - now
        answer = self.answer or Forwarded(0, [], b"")
        return ClaimRecord(
            key=self.key,
            fingerprint=self.fingerprint,
            state=self.state,
            sequence=self.sequence,
            life_ms=max(0, int(left.total_seconds() * 1000)),
            status=answer.status,
            headers=list(answer.headers),
            body=answer.body,
            target=answer.target,
        )


@attrs.frozen
class NewClaim:
    """The key was claimed just now; its request may run once the backup acknowledged the claim."""

    claim: Claim


@attrs.frozen
class PendingClaim:
    """The key was claimed before, and its request has not ended."""

    claim: Claim


def shard_unavailable(attempt: int, detail: str) -> RequestError:
    """Return the refusal of a key whose shard cannot serve it.

    Only the caller's first attempt is certain not to have run through another holder.

    :param attempt: the caller's count of sending the booking, 0 if not said
    """
    kind = ErrorKind.SHARD_UNAVAILABLE if attempt == 1 else ErrorKind.SHARD_UNREACHABLE
    return RequestError(kind, detail)
