"""The answer to a caller that asks which entry VMs to use."""

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

#: How long a caller may keep an answer.
LIFETIME = timedelta(seconds=5)

#: A caller that has tried so many entry VMs asks again.
MAX_ENTRIES = 4

#: Clients with the same number of these get the same answer; it divides evenly by 1 to 4 and 6.
CLIENT_BUCKETS = 12


@attrs.frozen
class LookupAnswer:
    """Entry VMs in the order in which a caller should try them."""

    entries: tuple[EntryVM, ...]
    lifetime: timedelta = LIFETIME


def domain_order(
    directory: Directory, region: str, domain: str, others: Iterable[str] = ()
) -> tuple[str, ...]:
    """Return the failure domains by closeness: own, same region, then the rest by region.

    :param region: the caller's home region
    :param domain: the failure domain to put first
    :param others: the other regions in order
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

    If no VM is usable, those that the platform calls live are given, and then those that leave:
    an answer that may be wrong serves a caller better than none.

    :param domains: the failure domains by closeness to the client
    :param spread: a number by which callers are spread evenly over the VMs of a domain
    :param usable: whether a VM may be given to callers
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

    :param home: the client's home; without a failure domain, clients are spread over its region's
    :param others: the other regions in order
    """
    domain = home.domain
    if not domain:
        near = [name for name in directory.domains if directory.region(name) == home.region]
        domain = near[bucket % len(near)] if near else ""
    return domain_order(directory, home.region, domain, others)


def client_bucket(client: str) -> int:
    """Return the number, from 0 to ``SPREADS`` - 1, by which a client is spread."""
    return zlib.crc32(client.encode()) % CLIENT_BUCKETS


def _first_entries(
    domains: tuple[str, ...], bucket: int, members: Callable[[str], Iterable[EntryVM]]
) -> tuple[EntryVM, ...]:
    """Return the first entry VMs, those of each domain rotated so that each is first as often."""
    entries: list[EntryVM] = []
    for name in domains:
        found = sorted(members(name), key=lambda vm: vm.name)
        start = bucket % len(found) if found else 0
        entries += found[start:] + found[:start]
        if len(entries) >= MAX_ENTRIES:
            break
    return tuple(entries[:MAX_ENTRIES])
