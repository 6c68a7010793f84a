"""Tests of shard maps, their planning and the parsing of keys."""

from __future__ import annotations

from collections import Counter

import pytest

from carawayquay.claim_keys import SHARDS, parse_key
from carawayquay.claim_maps import Holder, MapPlanner, ShardMap, ShardMaps, parse_shard_map
from carawayquay.errors import RequestError
from carawayquay.store_versions import combine_version

HOLDERS = tuple(Holder(f"puget-a-{number}", number) for number in range(3))
NEIGHBOUR = Holder("puget-b-1", 9)


def planner(me, members=HOLDERS, neighbours=(), complete=True, refused=False, idle=True):
    alive = {*members, *neighbours, me}
    return MapPlanner(
        me,
        tuple(members),
        tuple(neighbours),
        lost=lambda holder: holder not in alive,
        complete=lambda shard: complete,
        refused=lambda shard: refused,
        idle=lambda shard: idle,
    )


def initial_map():
    return ShardMap("puget-a", 1, "c", planner(HOLDERS[0]).plan(ShardMap("puget-a")))


def test_first_map_spreads_primaries_and_backups_on_different_vms():
    held = initial_map()
    assert len(held.shards) == SHARDS
    assert all(item.primary.vm != item.backup.vm for item in held.shards)
    assert len(Counter(item.primary for item in held.shards)) == 3


def test_every_vm_plans_the_same_first_map_and_then_nothing_more():
    plans = [planner(me).plan(ShardMap("puget-a")) for me in HOLDERS]
    assert plans[0] == plans[1] == plans[2]
    assert all(planner(me).plan(initial_map()) is None for me in HOLDERS)


def test_one_vm_alone_assigns_nothing():
    assert planner(HOLDERS[0], HOLDERS[:1]).plan(ShardMap("puget-a")) is None


def test_neighbour_domain_provides_a_backup_only_while_a_domain_has_one_vm():
    alone = planner(HOLDERS[0], HOLDERS[:1], (NEIGHBOUR,))
    held = ShardMap("puget-a", 1, "c", alone.plan(ShardMap("puget-a")))
    assert {item.backup for item in held.shards} == {NEIGHBOUR}
    later = planner(HOLDERS[0], HOLDERS, (NEIGHBOUR,)).plan(held)
    assert all(item.backup in HOLDERS and item.complete_since == 1 for item in later)


@pytest.mark.parametrize("complete", [True, False])
def test_only_a_complete_backup_takes_over_without_loss(complete):
    me, lost = HOLDERS[1], HOLDERS[0]
    held = initial_map()
    planned = planner(me, HOLDERS[1:], complete=complete).plan(held)
    for before, after in zip(held.shards, planned, strict=True):
        if before.primary == lost and before.backup == me:
            assert after.epoch == before.epoch + 1
            assert after.complete_since == (1 if complete else 2)
            assert not complete or after.primary == me


def test_third_vm_leaves_a_lost_primary_to_its_backup():
    held = initial_map()
    planned = planner(HOLDERS[2], HOLDERS[1:]).plan(held) or held.shards
    for before, after in zip(held.shards, planned, strict=True):
        if (before.primary, before.backup) == (HOLDERS[0], HOLDERS[1]):
            assert after == before


def test_restarted_holder_counts_as_lost():
    again = Holder(HOLDERS[0].vm, 77)
    members = (again, *HOLDERS[1:])
    planned = planner(again, members).plan(initial_map())
    assert planned is None or all(
        item.primary != again or item.complete_since == item.epoch for item in planned
    )


def test_stopping_vm_hands_over_only_idle_shards():
    rest = HOLDERS[1:]
    held = initial_map()
    busy = planner(HOLDERS[0], rest, idle=False).plan(held) or held.shards
    handed = planner(HOLDERS[0], rest).plan(held)
    for before, still, after in zip(held.shards, busy, handed, strict=True):
        if before.primary == HOLDERS[0]:
            assert still.primary == HOLDERS[0]
            assert after.primary == before.backup
            assert after.complete_since == before.complete_since


def test_map_round_trips_through_the_store_and_its_version_only_increases():
    held = initial_map()
    assert parse_shard_map("puget-a", 1, held.dump()) == held
    maps = ShardMaps()
    assert maps.adopt(ShardMap("puget-a", 5, "x", held.shards))
    assert not maps.adopt(held)


@pytest.mark.parametrize("value", [None, {}, {"change": "", "shards": [1]}, {"shards": []}])
def test_broken_map_is_refused(value):
    with pytest.raises(ValueError, match="puget-a"):
        parse_shard_map("puget-a", 1, value)


@pytest.mark.parametrize("text", ["", "a b", "k" * 129, "sch\u00f6n"])
def test_key_that_is_not_short_visible_ascii_is_refused(text):
    with pytest.raises(RequestError):
        parse_key(text, ["puget-a"])


def test_caller_may_append_its_own_text_to_a_minted_key():
    key = "puget-a.3.7." + "0" * 24
    assert parse_key(key + "-2", ["puget-a"]).shard == parse_key(key, ["puget-a"]).shard
    assert not parse_key(key + "x", ["puget-a"]).minted


def test_map_with_an_earlier_epoch_is_not_adopted_although_its_version_is_higher():
    maps = ShardMaps()
    first = initial_map()
    later = tuple(item.successor(item.primary, item.backup) for item in first.shards)
    assert maps.adopt(ShardMap("puget-a", 9, "d", later))
    restored = ShardMap("puget-a", combine_version(2, 8), "c", first.shards)
    assert maps.is_behind(restored)
    assert not maps.adopt(restored)
    assert maps.get("puget-a").version == 9
    assert maps.adopt(ShardMap("puget-a", combine_version(2, 10), "d", later))
