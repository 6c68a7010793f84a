"""Selects the relays, the entry VMs that exchange summaries with another failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["relays"]

#: Number of relays of a domain for each other domain; the second covers a failure of the first.
_RELAYS = 2


def relays(domain: str, other: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Return the relays of a domain for another domain, the primary first.

    There is no election: VMs with the same view of live members compute the same relays. While
    views differ, some summaries are duplicated or delayed. Each other domain has its own relays,
    which spreads the work and the traffic over the domain.

    :param vms: the live VMs of the domain

    >>> relays("a", "b", ["vm-1", "vm-2", "vm-3"]) == relays("a", "b", ["vm-3", "vm-2", "vm-1"])
    True
    """
    return ranked(f"relay/{domain}/{other}", vms)[:_RELAYS]
