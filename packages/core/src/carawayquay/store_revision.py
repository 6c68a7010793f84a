"""Revisions of the platform's store, which are ordered also across restores from older copies."""

from __future__ import annotations

import attrs

__all__ = ["NO_REVISION", "StoreRevision"]


@attrs.frozen(order=True)
class StoreRevision:
    """A revision of the store within one of its eras.

    The store's revision numbers go back when it is restored from an older copy, and are given out
    again. Its era rises by one then, so that only both together identify a state of the store.

    >>> StoreRevision(1, 61) < StoreRevision(2, 58) < StoreRevision(2, 60)
    True

    :param era: number of the store's era, 0 if the store names none
    :param number: revision number within the era
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


#: Precedes every revision that a store can have.
NO_REVISION = StoreRevision(0, 0)
