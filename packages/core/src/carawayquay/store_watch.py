"""Decides which entry VM of a failure domain watches the store, and from whom others take it."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.entry_peers import EntryPeers
    from carawayquay.load_reports import VMIdentity

__all__ = ["must_watch_store", "snapshot_source"]

#: VMs that take what is in force from one and the same VM when a domain starts.
_FAN_OUT = 2

_rank = lru_cache(maxsize=1024)(score)


def must_watch_store(own: VMIdentity, peers: EntryPeers, now: timedelta) -> bool:
    """Return whether a VM has to watch the store.

    VMs of a domain take the duty in an order that all of them compute alike. A VM is free of it
    only while one before it lives and says that the store answers it, so a VM that the store
    turns away, or that stops, is followed by the next one.
    """
    own_rank = _rank(own.domain, own.name)
    for peer in peers.live(now):
        if peer.identity.domain != own.domain or peer.report is None:
            continue
        precedes = _rank(own.domain, peer.identity.name) > own_rank
        if precedes and peer.report.watching:
            return False
    return True


def snapshot_source(own: VMIdentity, peers: EntryPeers, now: timedelta) -> VMIdentity | None:
    """Return the VM of whom one that starts takes the objects, or None if it lists the store.

    The live VMs of a domain stand in the order of the duty. The first lists the store, and each one
    hands on to a few, so that the link of none carries the objects of a whole domain.
    """
    order = [own, *(p.identity for p in peers.live(now) if p.identity.domain == own.domain)]
    order.sort(key=lambda vm: _rank(own.domain, vm.name), reverse=True)
    position = order.index(own)
    return order[(position - 1) // _FAN_OUT] if position else None
