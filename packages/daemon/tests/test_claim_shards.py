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
from carawayquay.errors import StoreError
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
