from __future__ import annotations

from steering_builders import seconds

from carawayquay.grant_pool import GrantPool
from carawayquay.grants import GrantOffer

SERVICE, OWNER = "sledway", "inland-a-1"


REQUESTED_AT = seconds(10)


def pool_with(count: int) -> GrantPool:
    pool = GrantPool()
    pool.mark_asking(SERVICE, OWNER)
    pool.add(
        SERVICE, OWNER, GrantOffer(5, count, 2000, 8), REQUESTED_AT, REQUESTED_AT + seconds(0.02)
    )
    return pool


def test_grant_limits_concurrent_requests_and_released_slots_are_reusable():
    pool = pool_with(2)
    first = pool.take(SERVICE, OWNER, seconds(10.05))
    assert pool.take(SERVICE, OWNER, seconds(10.05)) is not None
    assert pool.take(SERVICE, OWNER, seconds(10.05)) is None
    pool.give_back(first)
    assert pool.take(SERVICE, OWNER, seconds(10.2)) is first


def test_holder_stops_before_the_lifetime_counted_from_its_request():
    pool = pool_with(2)
    assert pool.take(SERVICE, OWNER, seconds(11.79)) is not None
    assert pool.take(SERVICE, OWNER, seconds(11.81)) is None


def test_owner_gets_one_request_at_a_time_and_none_right_after_an_empty_offer():
    pool = GrantPool()
    assert pool.may_ask(SERVICE, OWNER, seconds(1))
    pool.mark_asking(SERVICE, OWNER)
    assert not pool.may_ask(SERVICE, OWNER, seconds(1))
    pool.add(SERVICE, OWNER, GrantOffer(0, 0, 2000, 8), seconds(1), seconds(1.02))
    assert not pool.may_ask(SERVICE, OWNER, seconds(1.05))
    assert pool.may_ask(SERVICE, OWNER, seconds(1.2))


def test_renewal_requests_slots_in_use_and_slots_for_queued_requests():
    pool = pool_with(3)
    for _ in range(3):
        pool.take(SERVICE, OWNER, seconds(10.05))
    assert not pool.needs_renewal(SERVICE, OWNER, seconds(10.2))
    assert pool.wanted(SERVICE, OWNER, 2, seconds(10.2)) == 3
    assert pool.needs_renewal(SERVICE, OWNER, seconds(11.7))
    assert pool.wanted(SERVICE, OWNER, 2, seconds(11.7)) == 6


def test_owner_without_targets_is_distinguished_from_a_full_one():
    pool = GrantPool()
    assert not pool.reachable(SERVICE, OWNER)
    pool.add(SERVICE, OWNER, GrantOffer(0, 0, 2000, 8), REQUESTED_AT, REQUESTED_AT)
    assert pool.reachable(SERVICE, OWNER)
    pool.add(SERVICE, OWNER, GrantOffer(0, 0, 2000, 0), REQUESTED_AT, REQUESTED_AT)
    assert not pool.reachable(SERVICE, OWNER)
    pool.add(SERVICE, OWNER, GrantOffer(5, 1, 2000, 8), REQUESTED_AT, REQUESTED_AT)
    pool.record_failure(SERVICE, OWNER, REQUESTED_AT)
    assert not pool.reachable(SERVICE, OWNER)
