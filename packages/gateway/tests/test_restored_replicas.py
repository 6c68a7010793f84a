"""Replicas of a store that is restored from older copies converge, also through each other."""

from __future__ import annotations

import attrs
from gateway_builders import at, listing, stored
from hypothesis import given
from hypothesis import strategies as st

from carawayquay_gateway.replicas import ObjectHandler, Replica
from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent
from carawayquay_platform.objects import ObjectKind


@attrs.define
class _Store:
    """A store with a state for each revision of its era, which it can be restored to."""

    era: int = 1
    states: list[dict[str, tuple[int, int]]] = attrs.field(factory=lambda: [{}])
    events: list[ObjectEvent] = attrs.field(factory=list)
    writes: int = 0

    @property
    def number(self):
        return len(self.states) - 1

    @property
    def objects(self):
        """The number of the last change and the value of each object."""
        return self.states[-1]

    def put(self, name):
        self.writes += 1
        number = self.number + 1
        self.states.append({**self.objects, name: (number, self.writes)})
        self.events.append(ObjectEvent(self._object(name), deleted=False))

    def remove(self, name):
        if name in self.objects:
            number = self.number + 1
            gone = stored(name, {"n": 0}, number, self.era)
            self.states.append({n: v for n, v in self.objects.items() if n != name})
            self.events.append(ObjectEvent(gone, deleted=True))

    def restore(self, back):
        number = max(0, self.number - back)
        self.era += 1
        self.states = self.states[: number + 1]
        self.events = []

    def list(self):
        return listing(self.number, *map(self._object, self.objects), era=self.era)

    def changes_since(self, revision):
        """Return the changes since a revision, or None if a watch would not get them all."""
        if revision.era != self.era or revision.number < self._first_known():
            return None
        events = [e for e in self.events if e.object.revision > revision]
        return ObjectChanges(at(self.number, self.era), tuple(events))

    def _first_known(self):
        return self.number - len(self.events)

    def _object(self, name):
        number, value = self.objects[name]
        return stored(name, {"n": value}, number, self.era)


def _replica():
    return Replica(ObjectKind.TARGETS, ObjectHandler(lambda _: None, lambda _: None))


def _values(replica):
    return {item.name: (item.revision.number, item.value["n"]) for item in replica.objects}


def _watch(replica, store):
    changes = None if replica.revision is None else store.changes_since(replica.revision)
    if changes is None:
        assert replica.apply_listing(store.list())
    else:
        replica.apply_changes(changes)


def _pull(replica, source):
    """Pull from another VM as far as it is ahead, as a watcher does."""
    if source.revision is None or source.change_revision <= (replica.revision or at(0)):
        return
    changes = None if replica.revision is None else source.changes_since(replica.revision)
    if changes is None:
        objects = source.objects
        pulled = listing(source.change_revision.number, *objects, era=source.change_revision.era)
        replica.apply_listing(pulled, from_peer=True)
    elif changes.revision > replica.revision:
        replica.apply_changes(changes)


_STEPS = st.one_of(
    st.tuples(st.just("put"), st.sampled_from("abcd")),
    st.tuples(st.just("remove"), st.sampled_from("abcd")),
    st.tuples(st.just("restore"), st.integers(0, 6)),
    st.tuples(st.just("watch"), st.integers(0, 1)),
    st.tuples(st.just("pull"), st.tuples(st.integers(0, 3), st.integers(0, 3))),
    st.tuples(st.just("restart"), st.integers(0, 3)),
)


@given(st.lists(_STEPS, max_size=60))
def test_all_replicas_reach_the_state_of_a_store_that_is_restored_again_and_again(steps):
    store = _Store()
    replicas = [_replica() for _ in range(4)]
    for action, value in steps:
        match action:
            case "put":
                store.put(value)
            case "remove":
                store.remove(value)
            case "restore":
                store.restore(value)
            case "watch":
                _watch(replicas[value], store)
            case "pull":
                _pull(replicas[value[0]], replicas[value[1]])
            case "restart":
                replicas[value] = _replica()
    store.put("last")
    _watch(replicas[0], store)
    assert _values(replicas[0]) == store.objects
    for replica in replicas[1:]:
        _pull(replica, replicas[0])
        assert {n: v for n, (_, v) in _values(replica).items()} == {
            n: v for n, (_, v) in store.objects.items()
        }


def test_follower_gets_only_what_a_restore_changed():
    leader, follower = _replica(), _replica()
    objects = [stored(name, {"n": 1}, number, 1) for number, name in enumerate("abc", 5)]
    for replica in (leader, follower):
        replica.apply_listing(listing(9, *objects, era=1))
    kept = [stored(name, {"n": 1}, number, 2) for number, name in enumerate("ab", 5)]
    leader.apply_listing(listing(8, *kept, stored("d", {"n": 2}, 8, 2), era=2))
    changes = leader.changes_since(follower.revision)
    assert [event.object.name for event in changes.events if not event.deleted] == ["d"]
    follower.apply_changes(changes)
    assert _values(follower) == _values(leader)
    assert follower.revision == at(8, 2)


def test_follower_ahead_of_the_leader_before_a_restore_lists_all_objects():
    leader = _replica()
    leader.apply_listing(listing(9, stored("a", {"n": 1}, 5, 1), era=1))
    leader.apply_listing(listing(7, stored("a", {"n": 1}, 5, 2), era=2))
    assert leader.changes_since(at(10, 1)) is None
    assert leader.changes_since(at(9, 1)) is not None


def test_vm_that_listed_a_restored_store_earlier_gets_changes_from_one_that_listed_later():
    first, second = _replica(), _replica()
    objects = [stored("a", {"n": 1}, 5, 1), stored("b", {"n": 1}, 6, 1)]
    for replica in (first, second):
        replica.apply_listing(listing(9, *objects, era=1))
    first.apply_listing(
        listing(6, *(stored(n, {"n": 1}, i, 2) for n, i in (("a", 5), ("b", 6))), era=2)
    )
    second.apply_listing(listing(8, stored("a", {"n": 2}, 8, 2), era=2))
    first.apply_changes(second.changes_since(first.revision))
    assert _values(first) == _values(second)


def test_objects_that_a_restored_store_lacks_are_named_before_they_are_deleted():
    named = []
    handler = ObjectHandler(
        lambda _: None, lambda name: named.append(("delete", name)), lambda name: named.append(name)
    )
    replica = Replica(ObjectKind.TARGETS, handler)
    replica.apply_listing(listing(9, stored("a", {}, 5, 1), stored("b", {}, 6, 1), era=1))
    replica.apply_listing(listing(10, stored("a", {}, 5, 1), era=1))
    replica.apply_listing(listing(4, era=2))
    assert named == [("delete", "b"), "a", ("delete", "a")]


def test_kind_without_objects_is_known_in_the_era_of_its_listing():
    leader, follower = _replica(), _replica()
    leader.apply_listing(listing(22, era=1))
    assert leader.change_revision == at(0, 1)
    assert follower.apply_listing(listing(0, era=1), from_peer=True)
    event = ObjectEvent(stored("a", {"n": 1}, 23, 1), deleted=False)
    leader.apply_changes(ObjectChanges(at(23, 1), (event,)))
    follower.apply_changes(leader.changes_since(at(22, 1)))
    assert _values(follower) == _values(leader)
