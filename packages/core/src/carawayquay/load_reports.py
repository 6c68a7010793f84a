"""Load reports between entry VMs, and summaries between failure domains."""

from __future__ import annotations

import zlib
from functools import lru_cache
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.errors import FrameError
from carawayquay.membership import is_ip_address

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget

__all__ = [
    "CrashReport",
    "DomainSummary",
    "LoadReport",
    "ReportedCrash",
    "ServiceRate",
    "SuspectReport",
    "TargetCount",
    "TargetLimitReport",
    "VMIdentity",
    "WarmObject",
    "incarnation_hash",
    "short_hash",
    "with_usable_hosts",
]


@lru_cache(maxsize=8192)
def short_hash(name: str) -> int:
    """Return the CRC-32 by which reports identify a target, a service or an object.

    >>> short_hash("sledway") == short_hash("sledway") < 2**32
    True
    """
    return zlib.crc32(name.encode())


def incarnation_hash(target: RegisteredTarget) -> int:
    """Return the hash by which reports identify one incarnation of a target."""
    return short_hash(f"{target.name}/{target.incarnation}")


@attrs.frozen
class VMIdentity:
    """The identity of one incarnation of an entry VM.

    :param host: IP address of all its listeners
    :param incarnation: number of the start, which grows with each restart of the VM
    """

    name: str
    host: str
    domain: str
    region: str
    incarnation: int


@attrs.frozen
class TargetCount:
    """Requests in flight at a target, which is identified by its short hash."""

    target: int
    running: int


@attrs.frozen
class ServiceRate:
    """Rate in requests/s from callers for a service, which is identified by its short hash."""

    service: int
    rate: float


@attrs.frozen
class WarmObject:
    """A target that became warm for an object, both identified by their short hashes."""

    target: int
    key: int


@attrs.frozen
class CrashReport:
    """The number of target crashes attributed to requests with one fingerprint.

    Versions that report no :class:`SuspectReport` count a crash once for each request.

    :param fingerprint: 64-bit hash of the request
    """

    fingerprint: int
    crashes: int


@attrs.frozen
class ReportedCrash:
    """A crash of a target while it held a request.

    :param target: short hash of the target's name and incarnation
    :param began_ms: milliseconds since the request was sent to the target
    :param ended_ms: milliseconds since its connection broke
    """

    target: int
    began_ms: int
    ended_ms: int


@attrs.frozen
class SuspectReport:
    """The target crashes that requests with one fingerprint may have caused, and what clears them.

    :param fingerprint: 64-bit hash of the request
    :param crashes: the crashes in a row, each of which began after the end of the one before
    :param completed_ms: milliseconds since such a request completed last, or None if none did
    """

    fingerprint: int
    crashes: tuple[ReportedCrash, ...]
    completed_ms: int | None


@attrs.frozen
class TargetLimitReport:
    """What a target said last about its limit, and the demand of the sender for it.

    :param target: short hash of the target's name and incarnation
    :param rate: requests/s that it takes from all VMs together, or None if its limit has ended
    :param age: seconds since the target said so
    :param demand: requests/s for which the sender would choose the target, sent there or not
    """

    target: int
    rate: float | None
    age: float
    demand: float


@attrs.frozen
class LoadReport:
    """The current load and state of one VM.

    :param sequence: number of the report within the incarnation
    :param leaving: whether the VM has begun to stop as planned
    :param revisions: number of the store revision of the last change that the VM has applied, for
        each kind, or 0 for kinds that it has only up to an earlier era
    :param watching: whether the VM watches the store and gets answers
    :param warmed: objects for which targets became warm
    :param members: gossip: a rotating sample of the live VMs that the sender knows
    :param asking: whether the sender, which knows few VMs, requests gossip in return
    :param limits: the targets that named a limit, or None if the sender's version does not report
        them
    :param era: the store's era of the revisions, 0 if the sender's version does not report it
    :param version: version of the configuration in force, 0 if none is or it is not reported
    :param cut_off: whether the VM reaches no target
    :param confirmed_ms: milliseconds since the store confirmed that the objects of each kind are
        current, or ``UNCONFIRMED_MS``; empty if the sender's version does not report it
    :param capacity: requests/s that processor and link of the VM carry, 0 if it is not known
    :param suspects: the requests of ``crashes`` and cleared ones, with the times of the crashes;
        empty if the sender's version does not report them
    :param suspect_organisations: short hash of the name of the organisation of each of
        ``suspects``, 0 for one without; empty if all are, or the sender's version does not report
        them
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
    limits: tuple[TargetLimitReport, ...] | None = None
    era: int = 0
    version: int = 0
    cut_off: bool = False
    confirmed_ms: tuple[int, ...] = ()
    capacity: int = 0
    suspects: tuple[SuspectReport, ...] = ()
    suspect_organisations: tuple[int, ...] = ()


@attrs.frozen
class DomainSummary:
    """The aggregated load and state of a failure domain, which a relay sends to other domains.

    :param sender: the relay that made it, which has the objects up to the given revisions
    :param sequence: number of the summary within the incarnation of the sender
    :param revisions: number of the store revision of the last change that the sender has applied,
        by kind, or 0 for kinds that it has only up to an earlier era
    :param vms: number of VMs known to the sender, live or not, that share global budgets
    :param members: the live members, empty if unchanged since an earlier summary
    :param targets: the requests that all members have in flight, by target
    :param rates: the rates in requests/s of all members, by service
    :param limits: the targets that named a limit, with the demand of all members, or None if the
        sender's version does not report them
    :param era: the store's era of the revisions, 0 if the sender's version does not report it
    :param version: version of the sender's configuration, 0 if it has none or does not report it
    :param suspects: as in a :class:`LoadReport`
    :param suspect_organisations: as in a :class:`LoadReport`
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
    limits: tuple[TargetLimitReport, ...] | None = None
    era: int = 0
    version: int = 0
    suspects: tuple[SuspectReport, ...] = ()
    suspect_organisations: tuple[int, ...] = ()


def with_usable_hosts(message: LoadReport | DomainSummary) -> Any:
    """Return a message without the members whose host is no IP address.

    A datagram to another host would look its name up, or fail.

    :raises FrameError: if the host of the sender is none
    """
    if not is_ip_address(message.sender.host):
        raise FrameError(f"host {message.sender.host!r} of a sender is not an IP address")
    usable = tuple(member for member in message.members if is_ip_address(member.host))
    if len(usable) == len(message.members):
        return message
    return attrs.evolve(message, members=usable)
