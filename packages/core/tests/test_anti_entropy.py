"""Tests of when objects are pulled from a peer."""

from __future__ import annotations

import attrs
from object_builders import heartbeat, object_table, stored

from carawayquay.anti_entropy import AntiEntropy
from carawayquay.objects import Digest, Pull


def heartbeat_of(table, **changes):
    return heartbeat(
        "vm-2", summary=table.summary, newest=table.newest, recent=table.recent, **changes
    )


def test_peer_in_sync_is_not_pulled_from():
    table = object_table(stored(1))
    assert AntiEntropy(table).plan(heartbeat_of(object_table(stored(1)))) is None


def test_recent_change_of_a_peer_is_pulled_by_name():
    ahead = object_table(stored(1), stored(2))
    plan = AntiEntropy(object_table(stored(1))).plan(heartbeat_of(ahead))
    assert plan == Pull([Digest("documents", "sledway", 1, 1)], complete=False)


def test_higher_version_that_is_not_recent_makes_all_digests_compared():
    ahead = attrs.evolve(heartbeat_of(object_table(stored(2))), recent=[])
    assert AntiEntropy(object_table(stored(1))).plan(ahead) == Pull(
        [Digest("documents", "sledway", 1, 1)], complete=True
    )


def test_persistent_difference_makes_all_digests_compared():
    ours = object_table(stored(9, name="pebblecal"))
    theirs = attrs.evolve(heartbeat_of(object_table(stored(2))), recent=[])
    anti_entropy = AntiEntropy(ours)
    assert anti_entropy.plan(theirs) is None
    assert anti_entropy.plan(theirs).complete
