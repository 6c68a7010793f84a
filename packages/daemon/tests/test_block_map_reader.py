"""Checks how the block map is read from a store that is down or holds invalid objects."""

from __future__ import annotations

import curio
import pytest
from caller_builders import node_state

from carawayquay.errors import StoreError
from carawayquay_wire.store import StoreObject
from carawayquayd.block_map_reader import BlockMapReader


class FakeStore:
    """A store of objects by name that records reads and can be set to fail."""

    def __init__(self, **objects):
        self.objects = objects
        self.reads = []
        self.down = False

    async def get(self, kind, name):
        if self.down:
            raise StoreError("store is down")
        self.reads.append(name)
        value = self.objects.get(name)
        return None if value is None else StoreObject(kind, name, 1, value)


def chunk(region):
    return {"sites": {"lakewood": {"region": region}}, "blocks": {"10.0.0.0/8": "lakewood"}}


def read(state, store):
    curio.run(BlockMapReader(state, store).read)


def test_only_chunks_with_a_new_digest_are_read_again():
    state = node_state()
    store = FakeStore(index={"chunks": {"a": "1"}}, a=chunk("inland"))
    read(state, store)
    read(state, store)
    assert store.reads == ["index", "a", "index"]
    store.objects |= {"index": {"chunks": {"a": "2"}}, "a": chunk("puget")}
    read(state, store)
    assert state.blocks.find("10.0.0.1").region == "puget"


@pytest.mark.parametrize(
    "bad",
    [{"index": []}, {"index": {"chunks": {"a": "2"}}, "a": []}],
)
def test_bad_object_leaves_the_last_good_one_in_force(bad):
    state = node_state()
    store = FakeStore(index={"chunks": {"a": "1"}}, a=chunk("inland"))
    read(state, store)
    store.objects |= bad
    read(state, store)
    assert state.blocks.find("10.0.0.1").region == "inland"


def test_map_stays_in_force_while_the_store_is_down():
    state = node_state()
    store = FakeStore(index={"chunks": {"a": "1"}}, a=chunk("inland"))
    read(state, store)
    store.down = True
    with pytest.raises(StoreError):
        read(state, store)
    assert state.blocks.find("10.0.0.1").region == "inland"
