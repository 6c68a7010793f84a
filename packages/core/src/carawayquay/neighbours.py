"""The heartbeat overlay: a full mesh for few members, a ring with chords for many."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_FULL_MESH", "neighbours"]

#: Maximum number of members among which each pair exchanges heartbeats.
MAX_FULL_MESH = 12


def neighbours(name: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members to which a member sends heartbeats.

    All members compute the same order of the ring. An exchange informs both sides, so each of a few
    members contacts the half of the ring after it. Each of many contacts those at distances 1, 2, 4
    up to half the ring, so that an update reaches all n members in fewer than log2(n) hops.

    >>> [neighbours(name, "abc") for name in "abc"]
    [('c',), ('a',), ('b',)]
    >>> len(neighbours("vm-7", [f"vm-{i}" for i in range(126)]))
    6
    """
    ring = ranked("ring", {name, *members})
    size = len(ring)
    here = ring.index(name)
    return tuple(ring[(here + distance) % size] for distance in _distances(size))


def _distances(size: int) -> tuple[int, ...]:
    half = size // 2
    if size <= MAX_FULL_MESH:
        return tuple(range(1, half + 1))
    return tuple(2**power for power in range(half.bit_length()))
