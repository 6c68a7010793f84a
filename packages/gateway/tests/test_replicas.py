"""A replica returns the changes since a revision, or None if its history is too short."""

from __future__ import annotations

import json
import tracemalloc

import attrs
import pytest
from gateway_builders import at, listing, stored
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_gateway.object_history import MAX_HISTORY_BYTES
from carawayquay_gateway.replicas import ObjectHandler, Replica
from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent, ObjectListing
from carawayquay_platform.objects import ObjectKind, parse_object

_LARGE_VALUE_BYTES = 100_000


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


def test_history_of_deletions_is_bounded_in_bytes():
    replica = _replica(10)
    for revision in range(11, 9011, 2):
        _put(replica, f"a{revision}", revision)
        _remove(replica, f"a{revision}", revision + 1)
        assert replica.history_bytes <= MAX_HISTORY_BYTES
    assert replica.changes_since(at(11)) is None
    assert len(replica.changes_since(at(8900)).events) == 55


def test_deletions_have_no_value():
    replica = _replica()
    event = ObjectEvent(stored("a", {"much": "x" * 1000}, 11), deleted=False)
    replica.apply_changes(ObjectChanges(at(11), (event,)))
    _remove(replica, "a", 12)
    [event] = replica.changes_since(at(10)).events
    assert event.deleted
    assert "x" * 1000 not in json.dumps(event.object.raw)
    assert parse_object(event.object.raw).name == "a"
    assert replica.history_bytes < 2000


# Guards against a VM that keeps every version of a configuration that changes often.
def test_former_versions_of_an_object_are_not_kept():
    replica = _replica()
    tracemalloc.start()
    for revision in range(11, 311):
        event = ObjectEvent(stored("main", _large_value(revision), revision), deleted=False)
        replica.apply_changes(ObjectChanges(at(revision), (event,)))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used < 4 * _LARGE_VALUE_BYTES
    assert [e.object.revision.number for e in replica.changes_since(at(11)).events] == [310]
    assert replica.history_bytes == 0


def _large_value(number):
    return {"version": number, "text": f"{number}" + "x" * _LARGE_VALUE_BYTES}


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


class _User:
    """Takes objects into use unless they are refused, as the handlers of a VM do.

    :ivar in_use: the revision in use of each object
    """

    def __init__(self, kind, *, keeps_deleted):
        self.in_use = {}
        self._keeps_deleted = keeps_deleted
        handler = ObjectHandler(self._put, self._delete, keeps_deleted=keeps_deleted)
        self.replica = Replica(kind, handler)
        self.replica.apply_listing(listing(10))

    def _put(self, item):
        if item.value["refused"]:
            return False
        self.in_use[item.name] = item.revision
        return True

    def _delete(self, name):
        if not self._keeps_deleted:
            self.in_use.pop(name, None)


# Guards against a follower that misses the last version in use, since a refused one follows it.
@pytest.mark.parametrize("keeps_deleted", [True, False])
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "refused", "remove", "follow", "again"]), st.sampled_from("abc")
        ),
        max_size=30,
    )
)
def test_followers_use_the_versions_that_the_leader_uses(keeps_deleted, steps):
    leader, second, third = (
        _User(ObjectKind.CONFIGURATION, keeps_deleted=keeps_deleted) for _ in range(3)
    )
    for revision, (action, name) in enumerate(steps, 11):
        if action in ("put", "refused"):
            item = stored(name, {"refused": action == "refused"}, revision)
            leader.replica.apply_changes(ObjectChanges(at(revision), (ObjectEvent(item, False),)))
        elif action == "remove":
            if name in _names(leader.replica):
                _remove(leader.replica, name, revision)
        elif action == "follow":
            _catch_up(second.replica, leader.replica)
        else:
            _catch_up(third.replica, second.replica)
    _catch_up(second.replica, leader.replica)
    _catch_up(third.replica, second.replica)
    assert second.in_use == third.in_use == leader.in_use
    assert second.replica.change_revision == third.replica.change_revision
    assert second.replica.change_revision == leader.replica.change_revision
    assert _names(third.replica) == _names(leader.replica)


def _catch_up(follower, leader):
    follower.apply_changes(leader.changes_since(follower.revision))
