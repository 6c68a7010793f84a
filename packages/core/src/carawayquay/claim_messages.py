"""Messages between the holders of claim shards."""

from __future__ import annotations

import enum

import attrs

from carawayquay.claim_maps import Assignment, Holder
from carawayquay.requests import Header  # noqa: TC001 - the codec resolves it

__all__ = [
    "NO_LOSS",
    "AssignmentEntry",
    "ClaimRecord",
    "ClaimState",
    "HolderAnswer",
    "HolderQuery",
    "Replicate",
    "Replicated",
    "Verdict",
]

#: Value of ``loss_age_ms`` for a shard that has never lost claims.
NO_LOSS = -1


class ClaimState(enum.Enum):
    """State of a claim.

    ``CLAIMED``: the request has not ended; ``DONE``: it ran; ``UNDECIDED``: it may have run;
    ``RELEASED``: it did not and will not run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNDECIDED = "undecided"
    RELEASED = "released"


@attrs.frozen
class ClaimRecord:
    """A claim in a replication message from the primary to the backup.

    :param fingerprint: hash of the request that made the claim
    :param sequence: number of the claim's last change, increasing over all claims of the shard
    :param life_ms: remaining retention time in milliseconds, or the whole one while the request has
        not ended
    :param status: HTTP status of the answer, or 0 if there is none or it was too large to keep
    """

    key: str
    fingerprint: bytes
    state: ClaimState
    sequence: int
    life_ms: int
    status: int
    headers: list[Header]
    body: bytes
    target: str


@attrs.frozen
class Replicate:
    """Replicates claims from a primary to its backup.

    :param filled: whether this message completes a refill, after which the backup has every claim
    :param complete_since: earliest epoch from which the primary has every claim
    :param loss_age_ms: time in milliseconds since claims were last lost, or -1 if they never were
    """

    domain: str
    shard: int
    epoch: int
    vm: str
    incarnation: int
    filled: bool
    complete_since: int
    loss_age_ms: int
    records: list[ClaimRecord]


class Verdict(enum.Enum):
    """A backup's response to replicated claims.

    ``NOT_READY``: it does not know the primary's epoch yet; ``REFUSED``: it knows a newer epoch,
    or the two are not primary and backup in this one.
    """

    ACCEPTED = "accepted"
    NOT_READY = "not-ready"
    REFUSED = "refused"


@attrs.frozen
class Replicated:
    """The reply to ``Replicate``.

    :param epoch: newest epoch of the shard that the backup knows
    """

    verdict: Verdict
    epoch: int


@attrs.frozen
class HolderQuery:
    """Probes the liveness of another entry VM and requests its newer claim map of a failure domain.

    :param version: version of the map that the asking VM has
    """

    domain: str
    version: int


@attrs.frozen
class AssignmentEntry:
    """Wire form of an ``Assignment``.

    :param backup: name of the backup's VM, or empty if there is none
    """

    epoch: int
    primary: str
    primary_incarnation: int
    backup: str
    backup_incarnation: int
    complete_since: int

    @classmethod
    def of(cls, held: Assignment) -> AssignmentEntry:
        """Build the entry for an assignment."""
        backup = held.backup or Holder("", 0)
        return cls(
            held.epoch,
            held.primary.vm,
            held.primary.incarnation,
            backup.vm,
            backup.incarnation,
            held.complete_since,
        )

    def assignment(self) -> Assignment:
        """Convert the entry back to an assignment."""
        backup = Holder(self.backup, self.backup_incarnation) if self.backup else None
        primary = Holder(self.primary, self.primary_incarnation)
        return Assignment(self.epoch, primary, backup, self.complete_since)


@attrs.frozen
class HolderAnswer:
    """The reply to ``HolderQuery``.

    :param incarnation: the number that identifies this start of the replying process
    :param leaving: whether its planned stop has begun
    :param version: version of its map
    :param change: id of the change that wrote that map
    :param shards: the assignments if its map is newer than the asking VM's, else empty
    """

    vm: str
    incarnation: int
    leaving: bool
    version: int
    change: str
    shards: list[AssignmentEntry]
