"""Tests of the primary and the backup of a claim shard under single failures."""

from __future__ import annotations

from datetime import timedelta

import pytest
from claim_network import FINGERPRINT, LIFE, SHARD, ClaimNetwork, refusal

from carawayquay.claim_keys import BookingKey
from carawayquay.claim_messages import Verdict
from carawayquay.claims import PendingClaim
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.requests import Forwarded
from carawayquay.shard_replicas import (
    MAX_KEPT_BODY_BYTES,
    MAX_SHARD_BYTES,
    REFILL_RECORDS,
    ShardReplica,
)


def minted(epoch, text="key"):
    return BookingKey(text, SHARD, epoch)


PLAIN = BookingKey("plain", SHARD)


@pytest.fixture
def network():
    return ClaimNetwork(4)


def submit_and_dispatch(network, number, *, epoch=1, outcome="run"):
    """Submit a key to a VM, replicate and dispatch it as far as allowed; return its booking."""
    network.submit(number, "key", epoch)
    booking = network.bookings[-1]
    network.replicate(booking)
    if network.messages:
        network.deliver(0, keep=False, lose_reply=False)
    network.dispatch(booking, outcome)
    return booking


def take_over(network, number, suspects):
    """Let a VM take over the shard, read the map and refill its new backup."""
    network.propose(number, suspects)
    network.read_map(number)
    backup = network.replicas[number].assignment.backup
    if network.replicas[number].is_primary and backup is not None:
        network.read_map(network.index(backup))
        network.refill(number, lose=False)


def runs(network):
    return network.runs.get("key", [])


def test_request_is_not_dispatched_before_the_backup_has_the_claim(network):
    network.submit(0, "key", 1)
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == []
    network.replicate(network.bookings[0])
    network.deliver(0, keep=True, lose_reply=True)
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == []
    network.deliver(0, keep=False, lose_reply=False)
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == [1]


def test_acknowledgement_of_an_earlier_claim_does_not_count_for_a_later_one(network):
    network.submit(0, "key", 1)
    network.replicate(network.bookings[0])
    network.give_up(network.bookings[0])
    network.submit(0, "key", 1)
    network.deliver(0, keep=False, lose_reply=False)
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == []


def test_late_release_does_not_undo_a_later_claim(network):
    network.submit(0, "key", 1)
    replica = network.replicas[0]
    network.give_up(network.bookings[0])
    released = replica.message([replica.get("key").record(network.clock.now())], timedelta())
    submit_and_dispatch(network, 0)
    network.replicas[1].receive(released, network.clock.now())
    take_over(network, 1, {0})
    assert refusal(network, 1, minted(1), 3) is ErrorKind.KEY_UNDECIDED


def test_new_primary_refuses_the_claims_of_the_old_one(network):
    network.submit(0, "key", 1)
    network.replicate(network.bookings[0])
    take_over(network, 1, {0})
    network.deliver(0, keep=False, lose_reply=False)
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == []
    submit_and_dispatch(network, 1)
    assert runs(network) == [2]


def test_backup_refuses_a_sender_that_the_map_does_not_name(network):
    impostor = ShardReplica(SHARD, network.holders[2])
    impostor.adopt(network.map.shards[SHARD.number], timedelta())
    reply = network.replicas[1].receive(impostor.message([], timedelta()), timedelta())
    assert reply.verdict is Verdict.REFUSED


def test_claim_without_result_is_undecided_after_a_takeover(network):
    network.submit(0, "key", 1)
    network.replicate(network.bookings[0])
    network.deliver(0, keep=False, lose_reply=False)
    take_over(network, 1, {0})
    network.dispatch(network.bookings[0], "run")
    assert runs(network) == [1]
    assert refusal(network, 1, minted(1), 2) is ErrorKind.KEY_UNDECIDED


def test_result_is_answered_again_after_a_takeover(network):
    network.submit(0, "key", 1)
    booking = network.bookings[0]
    network.replicate(booking)
    network.deliver(0, keep=False, lose_reply=False)
    network.dispatch(booking, "run")
    network.replicate(booking)
    network.deliver(0, keep=False, lose_reply=False)
    take_over(network, 1, {0})
    network.submit(1, "key", 1)
    assert network.answers["key"] == {b"key run 1"}


def test_keys_older_than_lost_claims_are_never_claimed_again(network):
    submit_and_dispatch(network, 0)
    take_over(network, 2, {0, 1})
    held = network.map.shards[SHARD.number]
    primary = network.index(held.primary)
    network.read_map(primary)
    network.read_map(network.index(held.backup))
    network.refill(primary, lose=False)
    assert refusal(network, primary, minted(1), 2) is ErrorKind.KEY_UNDECIDED
    assert refusal(network, primary, minted(1), 1) is ErrorKind.SHARD_UNAVAILABLE
    assert refusal(network, primary, PLAIN, 0) is ErrorKind.KEY_UNDECIDED
    assert refusal(network, primary, minted(2, "new"), 0) is None
    network.clock.advance(LIFE)
    assert refusal(network, primary, PLAIN, 0) is None


def test_backup_that_was_never_refilled_does_not_count_as_complete(network):
    network.propose(0, {1})
    network.read_map(0)
    backup = network.index(network.map.shards[SHARD.number].backup)
    network.read_map(backup)
    take_over(network, backup, {0})
    assert network.map.shards[SHARD.number].complete_since == 3


def test_stale_primary_refuses_a_key_of_a_newer_epoch(network):
    assert refusal(network, 0, minted(2), 2) is ErrorKind.SHARD_UNREACHABLE
    assert refusal(network, 0, minted(2), 1) is ErrorKind.SHARD_UNAVAILABLE


def test_restarted_process_is_not_primary(network):
    network.replace_vm(0)
    network.read_map(0)
    assert refusal(network, 0, minted(1), 0) is ErrorKind.SHARD_UNREACHABLE


def test_plain_key_needs_a_recently_confirmed_epoch(network):
    replica = network.replicas[0]
    with pytest.raises(RequestError) as refused:
        replica.admit(PLAIN, FINGERPRINT, LIFE, 0, LIFE / 2, timedelta())
    assert refused.value.kind is ErrorKind.SHARD_UNREACHABLE
    replica.admit(minted(1), FINGERPRINT, LIFE, 0, LIFE / 2, timedelta())


def test_key_is_bound_to_one_request(network):
    network.submit(0, "key", 1)
    replica = network.replicas[0]
    with pytest.raises(RequestError) as refused:
        replica.admit(minted(1), b"other", LIFE, 2, timedelta(), timedelta())
    assert refused.value.kind is ErrorKind.KEY_REUSED
    assert isinstance(
        replica.admit(minted(1), FINGERPRINT, LIFE, 2, timedelta(), timedelta()), PendingClaim
    )


def test_ended_claim_expires_and_a_running_claim_does_not(network):
    submit_and_dispatch(network, 0, outcome="lose")
    network.submit(0, "running", 1)
    replica = network.replicas[0]
    replica.expire(network.clock.now() + LIFE)
    assert replica.get("key") is None
    assert replica.get("running") is not None


def test_memory_of_a_shard_is_bounded(network):
    replica = network.replicas[0]
    with pytest.raises(RequestError) as refused:
        for number in range(MAX_SHARD_BYTES):
            key = minted(1, f"key-{number}")
            admitted = replica.admit(key, FINGERPRINT, LIFE, 1, timedelta(), timedelta())
    assert refused.value.kind is ErrorKind.OVERLOADED
    replica.finish(admitted.claim, Forwarded(200, [], b"8 stones"), timedelta())
    with pytest.raises(RequestError) as refused:
        replica.admit(key := minted(1, admitted.claim.key), FINGERPRINT, LIFE, 1, LIFE, timedelta())
    assert refused.value.kind is ErrorKind.ANSWER_TOO_LARGE
    assert key.minted


def test_answer_that_is_too_large_to_keep_is_not_run_again(network):
    replica = network.replicas[0]
    admitted = replica.admit(minted(1), FINGERPRINT, LIFE, 1, timedelta(), timedelta())
    body = b"x" * (MAX_KEPT_BODY_BYTES + 1)
    replica.finish(admitted.claim, Forwarded(200, [], body), timedelta())
    assert refusal(network, 0, minted(1), 2) is ErrorKind.ANSWER_TOO_LARGE


def test_refill_ends_when_the_epoch_changes(network):
    replica = network.replicas[0]
    for number in range(REFILL_RECORDS + 1):
        key = minted(1, f"key-{number}")
        replica.admit(key, FINGERPRINT, LIFE, 1, timedelta(), timedelta())
    messages = replica.refill(network.clock)
    assert len(next(messages).records) == REFILL_RECORDS
    network.propose(0, {1})
    network.read_map(0)
    assert list(messages) == []
