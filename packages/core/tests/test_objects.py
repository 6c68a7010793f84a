"""Tests that versions of objects only increase and that tables converge by pulls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from object_builders import BAD, object_table, offer, pull_all, stored

from carawayquay.errors import ObjectError
from carawayquay.objects import MAX_PULL_BYTES, Digest, Pull, StoredObject

NAMES = ("sledway", "pebblecal")

#: Versions are unique in the store, so a version determines the name and the validity.
VERSIONS = st.lists(st.integers(1, 12), max_size=12)


def item_of(version):
    return stored(version, BAD if version % 3 == 0 else version, NAMES[version % 2])


def in_force(table):
    return {name: table.digest("documents", name).in_force for name in NAMES}


@given(VERSIONS)
def test_version_in_force_never_goes_down_whatever_the_order_of_offers(versions):
    table = object_table()
    for version in versions:
        before = in_force(table)
        offer(table, item_of(version))
        assert all(in_force(table)[name] >= before[name] for name in NAMES)


@given(VERSIONS)
def test_result_does_not_depend_on_the_order_of_offers(versions):
    forward, backward = object_table(), object_table()
    for version in versions:
        offer(forward, item_of(version))
    for version in reversed(versions):
        offer(backward, item_of(version))
    assert in_force(forward) == in_force(backward)
    assert forward.summary == backward.summary


@given(VERSIONS, VERSIONS)
def test_tables_that_pull_from_each_other_converge(ours, theirs):
    one, other = object_table(*map(item_of, ours)), object_table(*map(item_of, theirs))
    pull_all(one, other)
    pull_all(other, one)
    assert one.summary == other.summary
    assert sorted(one.digests(), key=str) == sorted(other.digests(), key=str)


def test_fresh_table_gets_the_last_good_object_while_the_newest_is_bad():
    old = object_table(stored(5, "good"), stored(9, BAD))
    fresh = object_table(stored(9, BAD))
    pull_all(fresh, old)
    assert fresh.digest("documents", "sledway") == Digest("documents", "sledway", 9, 5)


def test_refused_object_raises_an_error_only_once():
    table = object_table()
    with pytest.raises(ObjectError):
        table.offer(stored(2, BAD))
    assert not table.offer(stored(2, BAD))


def test_object_of_an_unknown_kind_is_not_held():
    table = object_table()
    assert not table.offer(stored(1, kind="claims"))
    assert table.digests() == []


def test_answer_covers_only_the_given_digests_unless_they_are_complete():
    table = object_table(stored(1, name="sledway"), stored(2, name="pebblecal"))
    asked = [Digest("documents", "sledway", 0, 0)]
    assert [item.version for item in table.answer(Pull(asked, complete=False)).objects] == [1]
    assert [item.version for item in table.answer(Pull(asked, complete=True)).objects] == [1, 2]


def test_answer_is_bounded_and_marked_as_partial():
    big = [
        StoredObject("documents", f"service-{n}", n + 1, b"1" * (MAX_PULL_BYTES // 2 + 1))
        for n in range(5)
    ]
    ahead, outdated = object_table(*big), object_table()
    first = ahead.answer(Pull([], complete=True))
    assert (len(first.objects), first.more) == (2, True)
    pull_all(outdated, ahead)
    assert outdated.summary == ahead.summary


def test_only_objects_of_registered_kinds_with_newer_digests_are_outdated():
    table = object_table(stored(5), stored(6, BAD))
    ours = Digest("documents", "sledway", 6, 5)
    assert table.outdated([ours]) == []
    assert table.outdated([Digest("documents", "sledway", 7, 5)]) == [ours]
    assert table.outdated([Digest("documents", "sledway", 6, 6)]) == [ours]
    assert table.outdated([Digest("claims", "sledway", 9, 9)]) == []
