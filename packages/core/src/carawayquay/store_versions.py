"""Versions of stored objects as single numbers that grow also across restores of the store."""

from __future__ import annotations

__all__ = ["NUMBER_BITS", "combine_version", "restores", "stored_number"]

#: Low bits of a version that hold the store's own number.
NUMBER_BITS = 40

_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def combine_version(era: int, number: int) -> int:
    """Return the version for a number of the store in one of its eras.

    The store gives its numbers out again when it is restored from an older copy, and its era rises
    by one. In the first era, and if the store names none, the version is the number.

    >>> combine_version(1, 61) < combine_version(2, 58)
    True
    >>> combine_version(0, 61) == combine_version(1, 61) == 61
    True

    :param era: the store's era, 0 if it names none
    """
    return (max(era, 1) - 1) << NUMBER_BITS | number


def restores(version: int) -> int:
    """Return how often the store had been restored when it gave a version out."""
    return version >> NUMBER_BITS


def stored_number(version: int) -> int:
    """Return the store's own number of a version."""
    return version & _NUMBER_MASK
