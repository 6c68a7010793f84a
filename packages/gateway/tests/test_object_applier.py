"""Targets whose registration expired in a store outage stay in use until they can register."""

from __future__ import annotations

from datetime import timedelta

import pytest
from gateway_builders import at, configuration, listing, new_state, route, stored, target

from carawayquay.clock import ManualClock
from carawayquay.load_reports import WarmObject, short_hash
from carawayquay_gateway.state_dump import dump_state
from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent
from carawayquay_platform.objects import ObjectKind


def _state(**changes):
    clock = ManualClock(timedelta(seconds=100))
    state = new_state(clock=clock, targets=[("t1", target(**changes))])
    return state, clock


def _list(state, revision, *names):
    objects = (stored(name, target(), revision) for name in names)
    state.replicas[ObjectKind.TARGETS].apply_listing(listing(revision, *objects))


def test_removed_target_is_not_used():
    state, _ = _state()
    _list(state, 30)
    assert state.targets.get("t1") is None


def test_target_that_expired_in_an_outage_is_used_until_it_registers_again():
    state, clock = _state()
    state.store_history.failed_at = clock.now()
    clock.advance(timedelta(seconds=1))
    _list(state, 30)
    assert state.targets.ready("granite")
    clock.advance(timedelta(seconds=1.5))
    _list(state, 31, "t1")
    clock.advance(timedelta(seconds=5))
    state.update(clock.now())
    assert state.targets.get("t1") is not None


def test_target_missing_two_seconds_after_an_outage_is_removed():
    state, clock = _state()
    state.store_history.failed_at = clock.now()
    _list(state, 30)
    clock.advance(timedelta(seconds=1.9))
    state.update(clock.now())
    assert state.targets.get("t1") is not None
    clock.advance(timedelta(seconds=0.1))
    state.update(clock.now())
    assert state.targets.get("t1") is None


@pytest.mark.parametrize("seconds", [2.0, 2.5, 2.7])
def test_target_that_leaves_after_an_outage_is_held_until_all_could_have_registered(seconds):
    state, clock = _state()
    state.store_history.failed_at = clock.now()
    clock.advance(timedelta(seconds=seconds))
    _list(state, 30)
    assert state.targets.get("t1") is not None
    clock.advance(timedelta(seconds=2.8 - seconds))
    state.update(clock.now())
    assert state.targets.get("t1") is None


def test_no_target_is_held_once_a_vm_that_was_cut_off_counts_as_in_touch_again():
    """Guards against a hold that outlasts the time since the cut, by which requests count."""
    contact, tick = timedelta(seconds=3), timedelta(seconds=0.2)
    state, clock = _state()
    # The last call that failed began just before the cut ended.
    state.store_history.failed_at = clock.now()
    clock.advance(timedelta(seconds=1.8))
    _list(state, 30)
    clock.advance(contact - tick - timedelta(seconds=1.8))
    state.update(clock.now())
    assert state.targets.get("t1") is None


def test_drained_target_is_removed_at_once_even_after_an_outage():
    state, clock = _state(state="draining")
    state.store_history.failed_at = clock.now()
    _list(state, 30)
    assert state.targets.get("t1") is None


def test_nothing_is_left_of_a_target_whose_last_answer_came_after_its_removal():
    state, clock = _state()
    state.stats("t1").running = 1
    _list(state, 30)
    assert state.own_in_flight() == [("t1", 1)]
    state.stats("t1").running = 0
    state.warm_objects.record("t1", 7)
    clock.advance(timedelta(seconds=11))
    state.update(clock.now())
    assert not state.warm_objects.targets(7)
    assert "t1" not in dump_state(state)["targets"]


def test_warm_objects_of_a_replacement_target_are_merged():
    state, _ = _state()
    state.merge_warm_objects([WarmObject(short_hash("t1"), 7)])
    assert state.warm_objects.warm("t1", 7)
    _list(state, 30, "t2")
    state.merge_warm_objects([WarmObject(short_hash("t2"), 7)])
    assert state.warm_objects.warm("t2", 7)


# Guards against a follower that stays at an older version, since a refused one or a deletion
# follows the one in force.
@pytest.mark.parametrize(
    "then", ["refused", "not understood", "older", "deleted", "refused and deleted"]
)
def test_vm_that_follows_puts_the_version_in_force_into_force(then):
    leader, follower = new_state(), new_state()
    _change_configuration(leader, 31, configuration(route(service="sledway"), version=5))
    if "refused" in then:
        _change_configuration(leader, 32, "no configuration")
    if then == "not understood":
        _change_configuration(leader, 32, configuration({"path_prefix": "/reports/"}, version=6))
    if then == "older":
        _change_configuration(leader, 32, configuration(version=4))
    if "deleted" in then:
        _change_configuration(leader, 33, {}, deleted=True)
    replica = follower.replicas[ObjectKind.CONFIGURATION]
    changes = leader.replicas[ObjectKind.CONFIGURATION].changes_since(replica.revision)
    replica.apply_changes(changes)
    version = 6 if then == "not understood" else 5
    assert leader.configuration.version == follower.configuration.version == version
    moved = [
        state.configuration.find("stones.example", "/reports/7") for state in (leader, follower)
    ]
    assert [found.services[0].service for found in moved] == ["sledway"] * 2
    assert replica.changes_since(at(20)).events == changes.events


def _change_configuration(state, revision, spec, *, deleted=False):
    event = ObjectEvent(stored("main", spec, revision), deleted=deleted)
    changes = ObjectChanges(at(revision), (event,))
    state.replicas[ObjectKind.CONFIGURATION].apply_changes(changes)
