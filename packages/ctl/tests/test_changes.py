"""Tests the reported outcome of writes with lost answers and concurrent writers."""

from __future__ import annotations

import curio
import pytest
from change_builders import drainable_document
from fake_store import FakeStore

from carawayquay.changes import DrainEdit
from carawayquay.errors import DocumentError, UnconfirmedWriteError
from carawayquayctl.changes import ConcurrentChangeError, DocumentStore

DRAIN = DrainEdit("puget-a", drained=True)


def apply(store, document=None, replaces=None):
    return curio.run(DocumentStore(store).apply, document or drainable_document(), replaces)


def drain(store, edit=DRAIN):
    return curio.run(DocumentStore(store).drain, "sledway", edit)


def inject_writes(store, *documents):
    """Before each of the next writes, write one of the documents as another writer."""
    pending = list(documents)

    def write():
        if pending:
            change = f"theirs-{len(pending)}"
            store.write("sledway", {"change": change, "document": pending.pop(0)})

    store.before_put = write


def stored(store):
    return store.objects["sledway"].value["document"]


def test_write_names_the_version_that_it_replaced():
    store = FakeStore()
    assert apply(store).replaced == 0
    second = apply(store, drainable_document(timeout=1), replaces=1)
    assert (second.replaced, second.version) == (1, 2)


def test_write_of_an_outdated_version_is_refused_and_names_the_winning_change():
    store = FakeStore()
    apply(store)
    second = apply(store, drainable_document(timeout=1))
    with pytest.raises(ConcurrentChangeError, match=f'"{second.change}" is stored as version 2'):
        apply(store, replaces=1)
    assert stored(store)["timeout"] == 1


def test_lost_answer_of_an_applied_write_is_confirmed_by_read_back():
    store = FakeStore(lose_responses=1)
    applied = apply(store)
    assert applied.confirmed_by == "read-back"
    assert store.objects["sledway"].value["change"] == applied.change


def test_write_lost_before_it_reached_the_store_is_retried():
    store = FakeStore(lose_requests=2)
    assert apply(store).version == 1
    assert store.revision == 1


def test_lost_write_followed_by_another_change_has_an_unknown_outcome():
    store = FakeStore()
    apply(store)
    store.lose_requests = 1
    inject_writes(store, drainable_document(timeout=3))
    with pytest.raises(
        ConcurrentChangeError, match=r'"theirs-1" is stored as version 2; it is unknown whether'
    ):
        apply(store, drainable_document(timeout=1))


def test_write_is_unconfirmed_while_the_store_does_not_answer():
    store = FakeStore(lose_requests=9, fail_reads=0)
    store.before_put = lambda: setattr(store, "fail_reads", 9)
    with pytest.raises(UnconfirmedWriteError, match="may have taken effect"):
        apply(store)


def test_invalid_document_is_refused_before_the_write():
    store = FakeStore()
    with pytest.raises(DocumentError, match="timeout"):
        apply(store, drainable_document(timeout="soon"))
    assert store.objects == {}


def test_drain_is_rebased_on_a_change_that_does_not_conflict():
    store = FakeStore()
    apply(store)
    inject_writes(store, drainable_document(timeout=3), drainable_document(timeout=4))
    drain(store)
    assert stored(store)["drains"] == ["puget-a"]
    assert stored(store)["timeout"] == 4


def test_drain_concurrent_with_another_drain_is_refused():
    store = FakeStore()
    apply(store)
    inject_writes(store, drainable_document(drains=["puget-b"]))
    with pytest.raises(ConcurrentChangeError, match=r'"theirs-1".*it changed key "drains"'):
        drain(store)
    assert stored(store)["drains"] == ["puget-b"]


def test_drain_that_is_already_set_writes_nothing():
    store = FakeStore()
    apply(store)
    assert drain(store).written
    assert not drain(store).written
    assert store.revision == 2


def test_drain_of_an_unknown_place_is_refused():
    store = FakeStore()
    apply(store)
    with pytest.raises(DocumentError, match='unknown place "atlantis"'):
        drain(store, DrainEdit("atlantis", drained=True))
