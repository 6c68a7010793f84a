"""Claims the idempotency key of each non-idempotent request, so that it runs at most once."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.claim_keys import parse_key
from carawayquay.claims import NewClaim, PendingClaim, shard_unavailable
from carawayquay.errors import ErrorKind, LinkError, RequestError
from carawayquay.request_fingerprints import booking_fingerprint
from carawayquay.requests import Forwarded, Purpose
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay.claim_keys import BookingKey
    from carawayquay.claims import Claim
    from carawayquay.membership import EntryVM
    from carawayquay.requests import Forward
    from carawayquay.shard_replicas import ShardReplica
    from carawayquay_wire.links import LinkPool
    from carawayquayd.claim_shards import ClaimShardManager
    from carawayquayd.state import NodeState
    from carawayquayd.steering import Steering

__all__ = ["BookingCoordinator"]

_log = EventLog("bookings")

#: Time after which an unanswered call is repeated, in case another VM became the primary.
_CALL_TIMEOUT = timedelta(seconds=1)

#: Longest time that a caller's answer waits for the backup to acknowledge the claim's end.
_BACKUP_ACK_TIMEOUT = timedelta(milliseconds=250)

_MIN_TIME_LEFT = timedelta(milliseconds=5)
_RETRY_SECONDS = 0.05

#: Refusals by one holder after which another holder may serve the key.
_RETRYABLE_KINDS = frozenset({ErrorKind.SHARD_UNAVAILABLE, ErrorKind.SHARD_UNREACHABLE})


class _ClaimedRun:
    """A claimed request that this process runs; *result* is set before the event *done*."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.result: Forwarded | RequestError | None = None


class BookingCoordinator:
    """Sends each booking to the primary of its key's shard, and runs those of shards held here."""

    def __init__(
        self, state: NodeState, shards: ClaimShardManager, steering: Steering, links: LinkPool
    ) -> None:
        self._state = state
        self._shards = shards
        self._steering = steering
        self._links = links
        self._runs: dict[Claim, _ClaimedRun] = {}

    @property
    def running(self) -> int:
        """The number of bookings in flight that this VM runs as a primary."""
        return len(self._runs)

    async def run(self, forward: Forward) -> Forwarded:
        """Run a booking through the primary of its key's shard, on this VM or another.

        Retries are safe, as the claim makes the booking idempotent. Once a call to a primary got no
        answer, a later refusal no longer proves that the request was not run.

        :raises RequestError: if the booking is refused, or its outcome is unknown
        """
        self._state.document(forward.service)
        key = self._parse_key(forward)
        deadline = self._deadline(forward)
        refusal = shard_unavailable(
            forward.attempt, f'shard "{key.shard}" has no reachable primary'
        )
        while (left := deadline - self._state.clock.now()) >= _MIN_TIME_LEFT:
            message = attrs.evolve(
                forward, purpose=Purpose.BOOK, deadline_ms=int(left.total_seconds() * 1000)
            )
            try:
                return await self._send_to_primary(key, message, left)
            except RequestError as error:
                if error.kind not in _RETRYABLE_KINDS:
                    raise
                refusal = error
            except LinkError as error:
                if error.sent:
                    forward = attrs.evolve(forward, attempt=0)
                refusal = shard_unavailable(
                    forward.attempt, f'primary of shard "{key.shard}": {error}'
                )
            left = deadline - self._state.clock.now()
            await self._shards.wait_for_change(min(_RETRY_SECONDS, left.total_seconds()))
        raise refusal

    async def book(self, forward: Forward) -> Forwarded:
        """Claim the key of a booking on this primary and return the booking's answer.

        :raises RequestError: if the key cannot be claimed, or the request fails or still runs at
            the deadline
        """
        key = self._parse_key(forward)
        replica = self._shards.replica(key.shard)
        if replica is None:
            raise shard_unavailable(
                forward.attempt, f'shard "{key.shard}" has no replica on this VM'
            )
        if self._state.stopping and replica.get(key.text) is None:
            raise shard_unavailable(forward.attempt, f'shard "{key.shard}" is being handed over')
        life = self._state.document(forward.service).document.key_life
        admitted = replica.admit(
            key,
            booking_fingerprint(forward),
            life,
            forward.attempt,
            self._shards.confirmed_age,
            self._state.clock.now(),
        )
        match admitted:
            case Forwarded():
                return admitted
            case NewClaim(claim):
                self._runs[claim] = _ClaimedRun()
                await curio.spawn(self._run_to_end, replica, key, claim, forward, daemon=True)
            case PendingClaim(claim):
                pass
        return await self._await_outcome(claim, forward)

    def _parse_key(self, forward: Forward) -> BookingKey:
        return parse_key(forward.key, self._state.directory.domains)

    def _deadline(self, forward: Forward) -> timedelta:
        return self._state.clock.now() + timedelta(milliseconds=forward.deadline_ms)

    async def _send_to_primary(
        self, key: BookingKey, forward: Forward, left: timedelta
    ) -> Forwarded:
        """Send a booking to the primary that the newest known map names, and return its answer.

        :raises RequestError: if the primary refuses it
        :raises LinkError: if the primary is unknown, unreachable or does not answer
        """
        primary = self._shards.primary(key.shard)
        if primary is None:
            raise LinkError("no primary is assigned yet", sent=False)
        if primary == self._shards.own_holder:
            return await self.book(forward)
        vm = self._find_vm(primary.vm)
        return await self._links.call(vm.peers, forward, min(left, _CALL_TIMEOUT))

    def _find_vm(self, name: str) -> EntryVM:
        vm = self._state.directory.find(name)
        if vm is None:
            raise LinkError(f'entry VM "{name}" is on no VM list', sent=False)
        return vm

    async def _await_outcome(self, claim: Claim, forward: Forward) -> Forwarded:
        """Wait for the result of a claimed request until the deadline.

        :raises RequestError: if the request failed, or still runs then
        """
        run = self._runs.get(claim)
        if run is not None:
            await curio.ignore_after(forward.deadline_ms / 1000, run.done.wait)
        match run and run.result:
            case Forwarded() as answer:
                return answer
            case RequestError() as error if error.kind in _RETRYABLE_KINDS:
                raise shard_unavailable(forward.attempt, error.detail)
            case RequestError() as error:
                raise error
        raise RequestError(ErrorKind.KEY_IN_PROGRESS, f'request of key "{claim.key}" still runs')

    async def _run_to_end(
        self, replica: ShardReplica, key: BookingKey, claim: Claim, forward: Forward
    ) -> None:
        """Run the request of a new claim to its end, even if the caller no longer waits."""
        run = self._runs[claim]
        try:
            run.result = await self._run_claimed(replica, key, claim, forward)
        except RequestError as error:
            run.result = error
        except Exception:
            _log.error(Event.HANDLER_FAILED, key=claim.key)
            replica.mark_undecided(claim, self._state.clock.now())
            run.result = RequestError(ErrorKind.INTERNAL, "internal error")
        finally:
            del self._runs[claim]
            await run.done.set()

    async def _run_claimed(
        self, replica: ShardReplica, key: BookingKey, claim: Claim, forward: Forward
    ) -> Forwarded:
        deadline = self._deadline(forward)
        await self._shards.replicate(replica, claim, deadline - _MIN_TIME_LEFT)
        now = self._state.clock.now()
        confirmed = replica.confirmed(key, claim.life, self._shards.confirmed_age)
        if not confirmed or not replica.may_dispatch(claim) or deadline - now < _MIN_TIME_LEFT:
            replica.release(claim, now)
            raise shard_unavailable(
                forward.attempt, f'claim in shard "{key.shard}" not replicated in time'
            )
        replica.dispatch(claim)
        left_ms = int((deadline - now).total_seconds() * 1000)
        try:
            answer = await self._steering.run(
                attrs.evolve(forward, purpose=Purpose.RUN, deadline_ms=left_ms)
            )
        except RequestError as error:
            raise await self._end_failed_claim(replica, claim, error) from error
        replica.finish(claim, answer, self._state.clock.now())
        await self._await_backup(replica, claim)
        return answer

    async def _end_failed_claim(
        self, replica: ShardReplica, claim: Claim, error: RequestError
    ) -> RequestError:
        """End a claim whose request gave no answer, and return the error for the caller."""
        if not error.not_run:
            replica.mark_undecided(claim, self._state.clock.now())
            await self._await_backup(replica, claim)
            return error
        replica.release(claim, self._state.clock.now())
        if await self._await_backup(replica, claim):
            return error
        return RequestError(
            ErrorKind.SHARD_UNREACHABLE, f"{error.detail}; claim not released on backup"
        )

    async def _await_backup(self, replica: ShardReplica, claim: Claim) -> bool:
        """Replicate the end of a claim; return whether the backup acknowledged it in time."""
        return await self._shards.replicate(
            replica, claim, self._state.clock.now() + _BACKUP_ACK_TIMEOUT
        )
