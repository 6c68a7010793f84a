"""Which entry VMs of a failure domain speak for it to other domains, and hear them for it."""

from __future__ import annotations

from functools import lru_cache
from heapq import nlargest
from typing import TYPE_CHECKING

from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RELAYS", "relays"]

#: Relays of a domain; the second one goes on where the first is cut off or gone.
RELAYS = 2

_rank = lru_cache(maxsize=8192)(score)


def relays(domain: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Return the relays among the live VMs of a domain, the first one first.

    Nobody is elected: VMs that know the same ones live compute the same, and where they differ for
    a while, some summaries come twice or late.

    >>> relays("a", ["vm-1", "vm-2", "vm-3"]) == relays("a", ["vm-3", "vm-2", "vm-1"])
    True
    """
    return tuple(nlargest(RELAYS, vms, key=lambda vm: (_rank(f"relay/{domain}", vm), vm)))
