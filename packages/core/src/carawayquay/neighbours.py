"""Which of many members a member exchanges heartbeats with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_FULL_MESH", "neighbours"]

#: Up to so many members each pair exchanges heartbeats.
MAX_FULL_MESH = 12


def neighbours(name: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members that a member calls: half of a few, a logarithmic number of many.

    Members stand on a ring in an order that all compute alike. A call informs both sides, so among
    a few each calls the half of the ring after it; among many, those at distances 1, 2, 4 and so on
    up to half the ring, so that news crosses it in fewer hops than its logarithm.

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
