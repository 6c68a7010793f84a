"""Decides which entry VM of a failure domain watches the store for the others."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.entry_peers import EntryPeers
    from carawayquay.load_reports import VMIdentity

__all__ = ["on_duty"]

_rank = lru_cache(maxsize=1024)(score)


def on_duty(own: VMIdentity, peers: EntryPeers, now: timedelta) -> bool:
    """Return whether a VM has to watch the store.

    VMs of a domain take the duty in an order that all of them compute alike. A VM is free of it
    only while one before it lives and says that the store answers it, so a VM that the store
    turns away, or that stops, is followed by the next one.
    """
    own_rank = _rank(own.domain, own.name)
    for peer in peers.live(now):
        if peer.identity.domain != own.domain or peer.report is None:
            continue
        before = _rank(own.domain, peer.identity.name) > own_rank
        if before and peer.report.watching:
            return False
    return True
