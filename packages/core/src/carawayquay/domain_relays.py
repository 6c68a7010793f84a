"""Which entry VMs of a failure domain speak for it to other domains, and hear them for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["relays"]

#: Relays between two domains at each side; the second goes on where the first is cut off or gone.
_RELAYS = 2


def relays(domain: str, other: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Return the relays of a domain towards another one, the first one first.

    Nobody is elected: VMs that know the same ones live compute the same, and where they differ for
    a while, some summaries come twice or late. Each other domain has relays of its own, so that
    the work and the bytes are spread over the domain.

    :param vms: the live VMs of the domain

    >>> relays("a", "b", ["vm-1", "vm-2", "vm-3"]) == relays("a", "b", ["vm-3", "vm-2", "vm-1"])
    True
    """
    return ranked(f"relay/{domain}/{other}", vms)[:_RELAYS]
