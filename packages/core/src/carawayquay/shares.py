"""Division of a target's slots among the entry VMs of its failure domain."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_CANDIDATES", "candidates", "owner", "share"]

#: Maximum number of entry VMs that have a share of a target's slots.
MAX_CANDIDATES = 3

#: Size of the cache of orders: the targets of a failure domain under several member lists.
_CACHED_ORDERS = 4096


def candidates(target: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the entry VMs that have a share of a target's slots, most preferred first.

    :param members: all members of the target's failure domain, including leaving ones
    """
    return _order(target, tuple(members))[:MAX_CANDIDATES]


def owner(target: str, members: Iterable[str]) -> str | None:
    """Return the entry VM that should run requests on a target, or None without members.

    :param members: the members of the target's failure domain that are alive and not leaving
    """
    order = _order(target, tuple(members))
    return order[0] if order else None


@lru_cache(maxsize=_CACHED_ORDERS)
def _order(target: str, members: tuple[str, ...]) -> tuple[str, ...]:
    """Return the members in descending order of preference, cached since every request needs it."""
    return ranked(target, members)


def share(target: str, slots: int, members: Iterable[str], vm: str) -> int:
    """Return how many of a target's slots belong to an entry VM.

    >>> sum(share("target-1", 7, ["a", "b", "c", "d"], vm) for vm in "abcd")
    7
    >>> sorted(share("target-1", 7, ["a", "b", "c", "d"], vm) for vm in "abcd")
    [0, 2, 2, 3]
    """
    order = candidates(target, members)
    if vm not in order:
        return 0
    quotient, remainder = divmod(slots, len(order))
    return quotient + (order.index(vm) < remainder)
