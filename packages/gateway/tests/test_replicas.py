"""A replica returns the changes since a revision, or None if its history is too short."""

from __future__ import annotations

import attrs
from gateway_builders import at, listing, stored
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_gateway.replicas import ObjectHandler, Replica
from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent, ObjectListing
from carawayquay_platform.objects import ObjectKind


def _replica(revision=10, *names):
    replica = Replica(ObjectKind.TARGETS, ObjectHandler(lambda _: None, lambda _: None))
    replica.apply_listing(listing(revision, *(stored(name, {}, revision) for name in names)))
    return replica


def _names(replica):
    return sorted(item.name for item in replica.objects)


def _put(replica, name, revision):
    event = ObjectEvent(stored(name, {}, revision), deleted=False)
    replica.apply_changes(ObjectChanges(at(revision), (event,)))


def _remove(replica, name, revision):
    event = ObjectEvent(stored(name, {}, 1), deleted=True)
    replica.apply_changes(ObjectChanges(at(revision), (event,)))


def test_changes_since_a_revision_are_returned_once():
    replica = _replica(10, "a", "b")
    _put(replica, "c", 12)
    _remove(replica, "a", 13)
    changes = replica.changes_since(at(10))
    assert [(e.object.name, e.deleted) for e in changes.events] == [("c", False), ("a", True)]
    assert [e.object.name for e in replica.changes_since(at(12)).events] == ["a"]
    assert replica.changes_since(at(13)).events == ()


def test_changes_from_before_the_first_listing_are_reported_as_unknown():
    follower = _replica(10, "a", "gone")
    fresh = _replica(20, "a")
    assert fresh.changes_since(follower.revision) is None


def test_deletion_found_by_a_listing_is_passed_to_followers():
    follower, leader = _replica(10, "a", "b"), _replica(10, "a", "b")
    leader.apply_listing(listing(15, stored("a", {}, 10)))
    assert leader.change_revision > follower.change_revision
    follower.apply_changes(leader.changes_since(follower.revision))
    assert _names(follower) == ["a"]


def test_history_is_bounded():
    replica = _replica(10)
    for revision in range(11, 1500):
        _put(replica, "a", revision)
    assert replica.changes_since(at(11)) is None
    assert len(replica.changes_since(at(1400)).events) == 99


@attrs.define
class _Pair:
    leader: Replica
    follower: Replica
    revision: int = 10


@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "remove", "follow", "restart"]), st.sampled_from("abc")),
        max_size=30,
    )
)
def test_follower_converges_to_the_objects_of_the_leader(steps):
    pair = _Pair(_replica(), _replica())
    for action, name in steps:
        pair.revision += 1
        if action == "put":
            _put(pair.leader, name, pair.revision)
        elif action == "remove":
            _remove(pair.leader, name, pair.revision)
        elif action == "restart":
            objects = pair.leader.objects
            pair.leader = Replica(ObjectKind.TARGETS, ObjectHandler(lambda _: None, lambda _: None))
            pair.leader.apply_listing(listing(pair.revision, *objects))
        else:
            _follow(pair)
    _follow(pair)
    assert _names(pair.follower) == _names(pair.leader)


def _follow(pair):
    changes = pair.leader.changes_since(pair.follower.revision)
    if changes is not None:
        pair.follower.apply_changes(changes)
        return
    objects = tuple(pair.leader.objects)
    revision = max(pair.leader.change_revision, pair.follower.revision)
    pair.follower.apply_listing(ObjectListing(revision, objects), from_peer=True)
