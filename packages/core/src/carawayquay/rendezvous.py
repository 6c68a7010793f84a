"""Rendezvous hashing: every process computes the same preference order of members for a key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ranked", "score"]


def score(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key, equal in every process."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members in descending order of preference for a key.

    >>> ranked("target-1", ["a", "b", "c"]) == ranked("target-1", ["c", "a", "b"])
    True
    """
    return tuple(sorted(members, key=lambda member: (score(key, member), member), reverse=True))
