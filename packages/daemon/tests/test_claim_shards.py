"""Keys are minted only in shards whose holders are alive, by heartbeats or by holder answers."""

from __future__ import annotations

from datetime import timedelta

import attrs
import curio
from fleet_builders import Fleet
from object_builders import heartbeat

from carawayquay.claim_keys import SHARDS
from carawayquay.claim_maps import Assignment, Holder, ShardMap
from carawayquay.claim_messages import HolderAnswer, HolderQuery
from carawayquay.errors import ConflictError, StoreError
from carawayquay.store_versions import combine_version
from carawayquay_wire.store import StoreListing, StoreObject
from carawayquayd.claim_shards import ClaimShardManager

DOMAIN = "puget-a"
OWN, PRIMARY, BACKUP = (f"{DOMAIN}-{number}" for number in (1, 2, 3))


class OneListing:
    """A store that answers one listing and fails every later call."""

    def __init__(self, *objects):
        self._listing = StoreListing(1, objects)

    async def list(self, kind):
        listing, self._listing = self._listing, None
        if listing is None:
            raise StoreError("down")
        return listing

    async def watch(self, kind, revision, wait):
        raise StoreError("down")


@attrs.define
class Links:
    """A link pool in which every entry VM answers holder queries."""

    vms: dict
    incarnations: dict
    asked: list = attrs.field(factory=list)

    async def call(self, address, message, timeout):
        assert isinstance(message, HolderQuery)
        vm = self.vms[address.port]
        self.asked.append(vm)
        return HolderAnswer(vm, self.incarnations[vm], False, 0, "", [])


async def wait_until(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.01)


def test_holder_answer_renews_liveness_for_key_minting_and_peer_table():
    fleet = Fleet(vms=3)
    state = fleet.nodes[OWN].state
    members = state.directory.domain(DOMAIN).members
    incarnations = {vm.name: vm.peers.port for listed in state.directory for vm in listed.members}
    links = Links({port: name for name, port in incarnations.items()}, incarnations)
    holders = [Holder(name, incarnations[name]) for name in (PRIMARY, BACKUP)]
    shards = ShardMap(DOMAIN, 1, "c", tuple(Assignment(1, *holders, 1) for _ in range(SHARDS)))
    listed = StoreObject("claims", DOMAIN, 1, shards.dump())

    async def scenario():
        claims = ClaimShardManager(state, OneListing(listed), links)
        for vm in members:
            beat = heartbeat(vm.name, incarnation=incarnations[vm.name])
            state.peers.record(beat, fleet.clock.now())
        task = await curio.spawn(claims.run)
        await wait_until(lambda: claims.dump()["maps"])
        assert claims.mint_key() is not None
        fleet.clock.advance(timedelta(seconds=3.5))
        links.asked.clear()
        await wait_until(lambda: {PRIMARY, BACKUP} <= set(links.asked))
        assert claims.mint_key() is not None
        assert state.peers.alive(PRIMARY, fleet.clock.now())
        fleet.clock.advance(timedelta(seconds=2.1))
        await task.cancel()
        assert claims.mint_key() is None
        assert not state.peers.alive(PRIMARY, fleet.clock.now())

    curio.run(scenario)


class RestoredStore:
    """A store that has lost the last write of a map, and takes conditional writes."""

    def __init__(self, lost, copy):
        self._listings = [[lost], [copy]]
        self._stored = copy
        self.written = []

    async def list(self, kind):
        objects = self._listings.pop(0)
        return StoreListing(objects[0].version, tuple(objects))

    async def watch(self, kind, revision, wait):
        if self._listings:
            raise StoreError("the store was restored")
        await curio.sleep(60)

    async def get(self, kind, name):
        return self._stored

    async def put(self, kind, name, value, *, replaces):
        if replaces != self._stored.version:
            raise ConflictError("not the stored version")
        self.written.append(value)
        self._stored = StoreObject(kind, name, replaces + 1, value)
        return self._stored.version


def test_lost_shard_map_is_written_again_and_the_older_copy_is_not_adopted():
    fleet = Fleet(vms=3)
    state = fleet.nodes[OWN].state
    incarnations = {vm.name: vm.peers.port for listed in state.directory for vm in listed.members}
    links = Links({port: name for name, port in incarnations.items()}, incarnations)
    holders = [Holder(name, incarnations[name]) for name in (PRIMARY, BACKUP)]
    maps = [
        ShardMap(DOMAIN, 0, "c", tuple(Assignment(epoch, *holders, 1) for _ in range(SHARDS)))
        for epoch in (1, 2)
    ]
    store = RestoredStore(
        StoreObject("claims", DOMAIN, 61, maps[1].dump()),
        StoreObject("claims", DOMAIN, combine_version(2, 58), maps[0].dump()),
    )

    async def scenario():
        claims = ClaimShardManager(state, store, links)
        for vm in state.directory.domain(DOMAIN).members:
            beat = heartbeat(vm.name, incarnation=incarnations[vm.name])
            state.peers.record(beat, fleet.clock.now())
        task = await curio.spawn(claims.run)
        await wait_until(lambda: store.written)
        await wait_until(lambda: claims.dump()["maps"][DOMAIN]["version"] > 61)
        await curio.sleep(0.5)
        await task.cancel()
        return claims.dump()["maps"][DOMAIN]

    held = curio.run(scenario)
    assert [item["shards"] for item in store.written] == [maps[1].dump()["shards"]]
    assert held["version"] == combine_version(2, 59)
    assert held["shards"] == maps[1].dump()["shards"]
