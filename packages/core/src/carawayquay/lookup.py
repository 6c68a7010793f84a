"""Look-ups: the entry VMs that a client should use."""

from __future__ import annotations

import zlib
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay.blocks import Home
    from carawayquay.directory import Directory
    from carawayquay.membership import EntryVM

__all__ = [
    "CLIENT_BUCKETS",
    "LIFETIME",
    "MAX_ENTRIES",
    "LookupAnswer",
    "choose_entries",
    "client_bucket",
    "client_domains",
    "domain_order",
]

#: Time for which a caller may cache an answer.
LIFETIME = timedelta(seconds=5)

#: Maximum number of entry VMs in an answer; a caller that has tried all of them asks again.
MAX_ENTRIES = 4

#: Number of client buckets; clients in one bucket get the same answer. Divisible by 1 to 4 and 6,
#: so that the buckets divide evenly among so many VMs or domains.
CLIENT_BUCKETS = 12


@attrs.frozen
class LookupAnswer:
    """Entry VMs in the order in which a caller should try them, cacheable for a lifetime."""

    entries: tuple[EntryVM, ...]
    lifetime: timedelta = LIFETIME


def domain_order(
    directory: Directory, region: str, domain: str, others: Iterable[str] = ()
) -> tuple[str, ...]:
    """Return the failure domains by closeness: nearest one, same region, other regions in order.

    :param region: home region of the client
    :param domain: failure domain to put first
    :param others: the other regions by preference
    """
    rank = {name: index for index, name in enumerate((region, *others))}

    def closeness(name: str) -> tuple[bool, int, str]:
        return (name != domain, rank.get(directory.region(name), len(rank)), name)

    return tuple(sorted(directory.domains, key=closeness))


def choose_entries(
    directory: Directory,
    domains: Iterable[str],
    bucket: int,
    usable: Callable[[EntryVM], bool],
) -> LookupAnswer:
    """Choose entry VMs for a client from the nearest failure domains that have any.

    If no VM is usable, those listed as live are returned, and failing these, all listed ones: an
    answer that may be wrong is more useful than none.

    :param domains: failure domains by closeness to the client
    :param bucket: bucket of the client, which balances clients over the VMs of a domain
    :param usable: whether a VM may be named to callers
    """
    order = tuple(domains)
    for members in (
        lambda name: [vm for vm in directory.live(name) if usable(vm)],
        directory.live,
        lambda name: directory.domain(name).members,
    ):
        entries = _first_entries(order, bucket, members)
        if entries:
            return LookupAnswer(entries)
    return LookupAnswer(())


def client_domains(
    directory: Directory, home: Home, others: Iterable[str], bucket: int
) -> tuple[str, ...]:
    """Return the failure domains by closeness to a client.

    :param home: location of the client; without a failure domain, one of its region is chosen
    :param others: the other regions by preference
    :param bucket: bucket of the client, which selects that failure domain
    """
    domain = home.domain
    if not domain:
        near = [name for name in directory.domains if directory.region(name) == home.region]
        domain = near[bucket % len(near)] if near else ""
    return domain_order(directory, home.region, domain, others)


def client_bucket(client: str) -> int:
    """Return the bucket of a client, from 0 to ``CLIENT_BUCKETS`` - 1."""
    return zlib.crc32(client.encode()) % CLIENT_BUCKETS


def _first_entries(
    domains: tuple[str, ...], bucket: int, members: Callable[[str], Iterable[EntryVM]]
) -> tuple[EntryVM, ...]:
    """Return up to ``MAX_ENTRIES`` entry VMs, with those of each domain rotated by the bucket.

    The rotation makes each VM of a domain the first one for about as many buckets.
    """
    entries: list[EntryVM] = []
    for name in domains:
        found = sorted(members(name), key=lambda vm: vm.name)
        start = bucket % len(found) if found else 0
        entries += found[start:] + found[:start]
        if len(entries) >= MAX_ENTRIES:
            break
    return tuple(entries[:MAX_ENTRIES])
