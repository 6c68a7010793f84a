"""Selects the VM of a failure domain that watches the store, and the sources of snapshots."""

from __future__ import annotations

from datetime import timedelta
from functools import lru_cache
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from carawayquay.entry_peers import EntryPeers, Peer
    from carawayquay.load_reports import VMIdentity

__all__ = ["must_watch_store", "snapshot_source"]

#: Number of VMs that load the objects from the same VM when a domain starts.
_FAN_OUT = 2

_rank = lru_cache(maxsize=1024)(score)


def must_watch_store(
    own: VMIdentity,
    peers: EntryPeers,
    now: timedelta,
    era: int = 0,
    max_age: timedelta = timedelta.max,
) -> bool:
    """Return whether this VM must watch the store.

    The VMs of a domain compute the same order. Each VM watches unless a live VM before it reports
    that it watches and gets answers, so the next one takes over from a VM that stops or that the
    store rejects. A VM that has the objects of an earlier era of the store only, whose objects
    were not confirmed lately, or whose version reports neither, does not count.

    :param era: the store's era of this VM's objects
    :param max_age: maximum age of another VM's confirmations
    """
    own_rank = _rank(own.domain, own.name)
    for peer in peers.live(now):
        if peer.identity.domain != own.domain or peer.report is None:
            continue
        precedes = _rank(own.domain, peer.identity.name) > own_rank
        confirmed = max_age == timedelta.max or _confirmed_within(max_age, peer, now)
        if precedes and peer.report.watching and peer.report.era >= era and confirmed:
            return False
    return True


def _confirmed_within(max_age: timedelta, peer: Peer, now: timedelta) -> bool:
    """Return whether the objects of a VM that reported were confirmed within a time."""
    ages = peer.report.confirmed_ms
    if not ages:
        return False
    return now - peer.last_seen + timedelta(milliseconds=max(ages)) <= max_age


def snapshot_source(own: VMIdentity, peers: EntryPeers, now: timedelta) -> VMIdentity | None:
    """Return the VM from which this VM loads the objects at its start, or None for the store.

    The live VMs of a domain form a tree in the order in which they watch the store. The first one
    loads the objects from the store and each one serves a few others, which spreads the traffic.
    """
    order = [own, *(p.identity for p in peers.live(now) if p.identity.domain == own.domain)]
    order.sort(key=lambda vm: _rank(own.domain, vm.name), reverse=True)
    position = order.index(own)
    return order[(position - 1) // _FAN_OUT] if position else None
