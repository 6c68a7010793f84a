"""What entry VMs and failure domains tell each other: who lives, what runs, what is in force."""

from __future__ import annotations

import zlib
from functools import lru_cache

import attrs

__all__ = [
    "CrashReport",
    "DomainSummary",
    "LoadReport",
    "ServiceRate",
    "TargetCount",
    "VMIdentity",
    "WarmObject",
    "short_hash",
]


@lru_cache(maxsize=8192)
def short_hash(name: str) -> int:
    """Return the 32-bit number that stands for a target or a service in reports.

    >>> short_hash("sledway") == short_hash("sledway") < 2**32
    True
    """
    return zlib.crc32(name.encode())


@attrs.frozen
class VMIdentity:
    """One start of one entry VM.

    :param host: IP address at which all its ports are
    :param incarnation: greater than that of every earlier start of the same VM
    """

    name: str
    host: str
    domain: str
    region: str
    incarnation: int


@attrs.frozen
class TargetCount:
    """Requests that a VM has in flight at a target, by the target's short hash."""

    target: int
    running: int


@attrs.frozen
class ServiceRate:
    """Requests/s for a service that a VM takes from its callers, by the service's short hash."""

    service: int
    rate: float


@attrs.frozen
class WarmObject:
    """A target that has handled an object for the first time, both by their short hashes."""

    target: int
    key: int


@attrs.frozen
class CrashReport:
    """How many targets requests of a fingerprint have crashed.

    :param fingerprint: 64 bits
    """

    fingerprint: int
    crashes: int


@attrs.frozen
class LoadReport:
    """One VM's state of the moment.

    :param sequence: counts the reports of one incarnation
    :param leaving: whether the VM has begun a planned stop
    :param revisions: the store's revision of the last change that the VM knows, for each kind
    :param watching: whether the VM watches the store and is answered
    :param members: some of the live VMs that the sender knows, in turn
    :param asking: whether the sender asks to be told of VMs, as one that knows few
    """

    sender: VMIdentity
    sequence: int
    leaving: bool
    revisions: tuple[int, ...]
    watching: bool = False
    targets: tuple[TargetCount, ...] = ()
    rates: tuple[ServiceRate, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    warmed: tuple[WarmObject, ...] = ()
    members: tuple[VMIdentity, ...] = ()
    asking: bool = False


@attrs.frozen
class DomainSummary:
    """What one VM of a failure domain knows of the whole domain, for other domains.

    :param sender: the VM that made it, which holds the objects that it names the revisions of
    :param sequence: counts the summaries of one incarnation of the sender
    :param revisions: the store's revision of the last change that the sender knows, for each kind
    :param vms: the VMs that the sender knows there, silent ones too, which share rights
    :param members: the live members, or none where they are as in an earlier summary
    :param targets: the requests that all members have in flight, by target
    :param rates: the requests/s that all members take, by service
    """

    sender: VMIdentity
    sequence: int
    revisions: tuple[int, ...]
    vms: int
    members: tuple[VMIdentity, ...] = ()
    targets: tuple[TargetCount, ...] = ()
    rates: tuple[ServiceRate, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    warmed: tuple[WarmObject, ...] = ()
