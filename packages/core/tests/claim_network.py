"""Simulated network of shard replicas that can lose, delay, duplicate and reorder messages."""

from __future__ import annotations

from datetime import timedelta

import attrs

from carawayquay.claim_keys import SHARDS, BookingKey, ShardId
from carawayquay.claim_maps import Assignment, Holder, MapPlanner, ShardMap
from carawayquay.claim_messages import Replicate, Verdict
from carawayquay.claims import Claim, NewClaim
from carawayquay.clock import ManualClock
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.requests import Forwarded
from carawayquay.shard_replicas import ShardReplica

SHARD = ShardId("puget-a", 0)
LIFE = timedelta(seconds=600)
FINGERPRINT = b"fingerprint"


def shard_map(primary: Holder, backup: Holder) -> ShardMap:
    return ShardMap("puget-a", 1, "test", (Assignment(1, primary, backup, 1),) * SHARDS)


@attrs.define(eq=False)
class Booking:
    """One attempt of a booking and its claim at the primary."""

    attempt: int
    holder: Holder
    replica: ShardReplica
    claim: Claim
    key: BookingKey
    releasing: bool = False


class ClaimNetwork:
    """Simulates replicas of one shard on several VMs, the stored map, a target and a caller."""

    def __init__(self, vms: int) -> None:
        self.clock = ManualClock()
        self.holders = [Holder(f"vm-{number}", 0) for number in range(vms)]
        self.replicas = [ShardReplica(SHARD, holder) for holder in self.holders]
        self.map = shard_map(self.holders[0], self.holders[1])
        self.bookings: list[Booking] = []
        self.messages: list[tuple[int, Replicate]] = []
        self.runs: dict[str, list[int]] = {}
        self.attempts: dict[str, int] = {}
        self.not_run: dict[str, list[int]] = {}
        self.answers: dict[str, set[bytes]] = {}
        for number in range(2):
            self.read_map(number)
        self.refill(0, lose=False)

    def read_map(self, number: int) -> None:
        held = self.map.shards[SHARD.number]
        replica = self.replicas[number]
        if replica.epoch or self.holders[number] in (held.primary, held.backup):
            replica.adopt(held, self.clock.now())

    def propose(self, number: int, suspects: set[int]) -> None:
        """Write the map that a VM plans if others seem lost; the VM is not told the result."""
        me = self.holders[number]
        replica = self.replicas[number]
        if replica.epoch not in (0, self.map.shards[SHARD.number].epoch):
            return
        members = [h for index, h in enumerate(self.holders) if index not in suspects - {number}]
        planner = MapPlanner(
            me=me,
            members=tuple(members),
            neighbours=(),
            lost=lambda holder: holder not in members,
            complete=lambda shard: shard == SHARD and replica.complete,
            refused=lambda shard: shard == SHARD and replica.refused,
            idle=lambda shard: shard == SHARD and replica.idle,
        )
        planned = planner.plan(self.map)
        if planned is not None:
            self.map = ShardMap("puget-a", self.map.version + 1, "test", planned)

    def replace_vm(self, number: int) -> None:
        old = self.holders[number]
        self.holders[number] = Holder(old.vm, old.incarnation + 1)
        self.replicas[number] = ShardReplica(SHARD, self.holders[number])
        self.bookings = [booking for booking in self.bookings if booking.holder != old]

    def submit(self, number: int, text: str, epoch: int | None) -> None:
        """Submit the next attempt of a key to a VM."""
        attempt = self.attempts[text] = self.attempts.get(text, 0) + 1
        key = BookingKey(text, SHARD, epoch)
        replica = self.replicas[number]
        try:
            admitted = replica.admit(key, FINGERPRINT, LIFE, attempt, timedelta(), self.clock.now())
        except RequestError as error:
            if error.not_run:
                self.not_run.setdefault(text, []).append(attempt)
            return
        match admitted:
            case NewClaim(claim):
                self.bookings.append(Booking(attempt, self.holders[number], replica, claim, key))
            case Forwarded():
                self.answers.setdefault(text, set()).add(admitted.body)

    def replicate(self, booking: Booking) -> None:
        """Send the current state of a claim to the backup."""
        replica = booking.replica
        if replica.is_primary and replica.get(booking.claim.key) is booking.claim:
            records = [booking.claim.record(self.clock.now())]
            self._post(replica, replica.message(records, self.clock.now()))

    def deliver(self, index: int, *, keep: bool, lose_reply: bool) -> None:
        """Deliver a message in transit.

        :param keep: whether the message stays in transit, to be delivered again
        :param lose_reply: whether its reply is lost
        """
        receiver, message = self.messages[index]
        if not keep:
            del self.messages[index]
        self._exchange(receiver, message, lose_reply=lose_reply)

    def refill(self, number: int, *, lose: bool) -> None:
        replica = self.replicas[number]
        if not replica.is_primary or replica.assignment.backup is None:
            return
        epoch = replica.epoch
        for message in replica.refill(self.clock):
            receiver = self.index(replica.assignment.backup)
            if receiver is None or lose or not self._exchange(receiver, message):
                return
        replica.mark_filled(epoch)

    def dispatch(self, booking: Booking, outcome: str) -> None:
        """Dispatch a claimed request to the target if allowed.

        :param outcome: result at the target: ``run``, ``lose`` (it runs, but the answer is lost) or
            ``refuse``
        """
        replica, claim = booking.replica, booking.claim
        if not replica.may_dispatch(claim):
            return
        replica.dispatch(claim)
        now = self.clock.now()
        if outcome == "refuse":
            replica.release(claim, now)
            booking.releasing = True
            return
        runs = self.runs.setdefault(claim.key, [])
        runs.append(booking.attempt)
        self.bookings.remove(booking)
        if outcome == "lose":
            replica.mark_undecided(claim, now)
            return
        body = f"{claim.key} run {len(runs)}".encode()
        self.answers.setdefault(claim.key, set()).add(body)
        replica.finish(claim, Forwarded(200, [], body), now)

    def give_up(self, booking: Booking) -> None:
        """End an attempt whose claim is released, or release a claim that was not dispatched."""
        replica, claim = booking.replica, booking.claim
        self.bookings.remove(booking)
        if booking.releasing:
            reports_not_run = replica.ready and claim.acknowledged == replica.epoch
            reports_not_run = reports_not_run and replica.get(claim.key) is claim
        else:
            replica.release(claim, self.clock.now())
            reports_not_run = booking.attempt == 1
        if reports_not_run:
            self.not_run.setdefault(claim.key, []).append(booking.attempt)

    def _post(self, replica: ShardReplica, message: Replicate) -> None:
        backup = replica.assignment.backup
        receiver = self.index(backup) if backup else None
        if receiver is not None:
            self.messages.append((receiver, message))

    def _exchange(self, receiver: int, message: Replicate, *, lose_reply: bool = False) -> bool:
        reply = self.replicas[receiver].receive(message, self.clock.now())
        sender = self.index(Holder(message.vm, message.incarnation))
        if sender is None or lose_reply:
            return False
        if reply.verdict is Verdict.ACCEPTED:
            self.replicas[sender].acknowledge(message.epoch, message.records)
        elif reply.verdict is Verdict.REFUSED:
            self.replicas[sender].record_refusal(message.epoch)
        return reply.verdict is Verdict.ACCEPTED

    def index(self, holder: Holder) -> int | None:
        return self.holders.index(holder) if holder in self.holders else None


def refusal(network: ClaimNetwork, number: int, key: BookingKey, attempt: int) -> ErrorKind | None:
    """Return the error kind with which a VM refuses a key, or None if it admits the key."""
    replica = network.replicas[number]
    try:
        replica.admit(key, FINGERPRINT, LIFE, attempt, timedelta(), network.clock.now())
    except RequestError as error:
        return error.kind
    return None
