"""Grants: leases of spare target slots from an owner, an entry VM, to other failure domains.

A grant of *n* allows its holder *n* concurrent requests until it expires. Until then the issuer
counts the grant as fully used, and after expiry it counts the requests still running under it. So
local requests and grants together never exceed the limit, even if messages are lost. An unused
grant becomes available again by expiring.
"""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from carawayquay.documents import Document, Region, Target

__all__ = ["GRANT_LIFETIME", "GrantIssuer", "GrantOffer", "GrantRequest", "region_limit"]

#: Lifetime of a grant, counted by the issuer from the offer.
GRANT_LIFETIME = timedelta(milliseconds=500)

_LIFETIME_MS = GRANT_LIFETIME // timedelta(milliseconds=1)

#: Time for which slots are kept free for the unmet demand of another failure domain.
_UNMET_RETENTION = timedelta(milliseconds=250)

#: Time constant of the moving average of local requests, from which their reserve is computed.
_MEAN_TIME_CONSTANT = timedelta(seconds=2)

#: Time after which grants of an earlier incarnation have expired, even if this clock runs fast.
_RESTART_HOLD = GRANT_LIFETIME * 1.1


@attrs.frozen
class GrantRequest:
    """Requests slots for a VM of another failure domain.

    :param wanted: concurrent requests that the VM wants to run
    """

    service: str
    vm: str
    domain: str
    wanted: int


@attrs.frozen
class GrantOffer:
    """The reply to a ``GrantRequest``.

    :param id: number to send with each request under the grant
    :param count: concurrent requests that the grant allows, 0 if no slots are spare
    :param lifetime_ms: lifetime of the grant in milliseconds
    :param limit: concurrency limit of the issuer's targets, 0 if it can reach none
    """

    id: int
    count: int
    lifetime_ms: int
    limit: int


@attrs.define
class _Grant:
    service: str
    domain: str
    count: int
    expires_at: timedelta
    running: int = 0

    def committed(self, now: timedelta) -> int:
        """Return the slots that the grant occupies."""
        return self.count if now < self.expires_at else self.running


@attrs.frozen
class _LastRequest:
    """The last request of a failure domain.

    :param unmet: slots that were requested and not granted
    """

    at: timedelta
    unmet: int


@attrs.define
class _LocalLoad:
    """The running local requests and their moving average."""

    running: int = 0
    mean: float = 0.0
    updated_at: timedelta = timedelta()

    def update(self, now: timedelta) -> None:
        """Update the moving average for the time since the last update."""
        weight = min(1.0, (now - self.updated_at) / _MEAN_TIME_CONSTANT)
        self.mean += weight * (self.running - self.mean)
        self.updated_at = now

    def reserve(self, now: timedelta) -> int:
        """Return the slots to reserve for local requests."""
        self.update(now)
        return math.ceil(self.mean)


class GrantIssuer:
    """Issues grants for an owner of targets and counts local and granted requests.

    Limits are passed to each method, since they change with the health of the targets.

    :param incarnation: the number that identifies this start of the process; grant ids count up
        from it
    :param started: start time of the process; it issues nothing until the grants of an earlier
        incarnation have expired
    """

    def __init__(self, incarnation: int, started: timedelta) -> None:
        self._next_grant_id = max(1, incarnation)
        self._hold_until = started + _RESTART_HOLD
        self._grants: dict[int, _Grant] = {}
        self._local: dict[str, _LocalLoad] = {}
        self._requests: dict[str, dict[str, _LastRequest]] = {}

    def local_running(self, service: str) -> int:
        """Return the number of running requests of the own failure domain."""
        return self._local_load(service).running

    def granted_running(self, service: str) -> int:
        """Return the number of requests running under grants."""
        return sum(grant.running for grant in self._grants.values() if grant.service == service)

    def committed(self, service: str, now: timedelta) -> int:
        """Return the slots that all grants of a service occupy, used or not."""
        return sum(grant.committed(now) for grant in self._grants_of(service))

    def offer(self, request: GrantRequest, limit: int, offered: int, now: timedelta) -> GrantOffer:
        """Issue a grant of spare slots and return the offer.

        :param limit: concurrency limit of the owned targets
        :param offered: maximum number of these slots for other failure domains
        """
        self._remove_expired(now)
        count = self._grantable(request, limit, offered, now)
        if now < self._hold_until:
            count = 0
        self._record_request(request, count, now)
        if count == 0:
            return GrantOffer(0, 0, _LIFETIME_MS, limit)
        grant_id = self._next_grant_id
        self._next_grant_id += 1
        self._grants[grant_id] = _Grant(
            request.service, request.domain, count, now + GRANT_LIFETIME
        )
        return GrantOffer(grant_id, count, _LIFETIME_MS, limit)

    def start_local(self, service: str, limit: int, now: timedelta) -> bool:
        """Start a local request if running ones and grants leave a slot; return whether started."""
        load = self._local_load(service)
        if load.running + self.committed(service, now) >= limit:
            return False
        load.update(now)
        load.running += 1
        return True

    def finish_local(self, service: str, now: timedelta) -> None:
        """Record the end of a local request."""
        load = self._local_load(service)
        load.update(now)
        load.running -= 1

    def start_granted(self, grant_id: int, service: str, limit: int, now: timedelta) -> bool:
        """Start a request under a grant if grant and limit allow it; return whether started."""
        grant = self._grants.get(grant_id)
        if grant is None or grant.service != service or now >= grant.expires_at:
            return False
        if (
            grant.running >= grant.count
            or self.local_running(service) + self.granted_running(service) >= limit
        ):
            return False
        grant.running += 1
        return True

    def finish_granted(self, grant_id: int, now: timedelta) -> None:
        """Record the end of a request under a grant."""
        self._grants[grant_id].running -= 1
        self._remove_expired(now)

    def _grantable(self, request: GrantRequest, limit: int, offered: int, now: timedelta) -> int:
        """Return how many slots to grant for a request.

        The failure domain gets an equal share of the pool if that is free, and more only from slots
        that exceed the recent unmet demand of the other failure domains.
        """
        load = self._local_load(request.service)
        pool = min(limit - max(load.running, load.reserve(now)), offered)
        free = pool - self.committed(request.service, now)
        held = self._committed_to(request.service, request.domain, now)
        others = self._unmet_demand(request, now)
        share = max(1, pool // (len(others) + 1)) - held
        left = free - sum(others.values())
        return max(0, min(request.wanted, free, max(share, left)))

    def _unmet_demand(self, request: GrantRequest, now: timedelta) -> dict[str, int]:
        """Return the recent unmet demand of the other failure domains, in slots."""
        return {
            domain: last_request.unmet
            for domain, last_request in self._requests.get(request.service, {}).items()
            if domain != request.domain
            and last_request.unmet
            and now - last_request.at < _UNMET_RETENTION
        }

    def _record_request(self, request: GrantRequest, count: int, now: timedelta) -> None:
        by_domain = self._requests.setdefault(request.service, {})
        by_domain[request.domain] = _LastRequest(now, request.wanted - count)

    def _committed_to(self, service: str, domain: str, now: timedelta) -> int:
        """Return the slots that the grants of a failure domain occupy."""
        grants = (grant for grant in self._grants_of(service) if grant.domain == domain)
        return sum(grant.committed(now) for grant in grants)

    def _grants_of(self, service: str) -> Iterable[_Grant]:
        return (grant for grant in self._grants.values() if grant.service == service)

    def _local_load(self, service: str) -> _LocalLoad:
        return self._local.setdefault(service, _LocalLoad())

    def _remove_expired(self, now: timedelta) -> None:
        """Remove expired grants without running requests."""
        self._grants = {
            grant_id: grant for grant_id, grant in self._grants.items() if grant.committed(now) > 0
        }


def region_limit(document: Document, held: Mapping[str, int]) -> int:
    """Return a VM's part of the region limits, in proportion to the slots that it holds.

    Every process divides a region's limit among the targets by their slots in the same way. For a
    target of which the VM holds only some slots, the part is rounded down, so the parts of all VMs
    never exceed the limit.

    :param held: number of slots that the VM may use, by target name
    """
    return sum(_region_part(document, region, held) for region in document.regions)


def _region_part(document: Document, region: Region, held: Mapping[str, int]) -> int:
    targets = sorted((t for t in document.targets if t.region == region.name), key=_name)
    total = sum(target.slots for target in targets)
    part = 0
    below = 0
    for target in targets:
        start = region.limit * below // total
        below += target.slots
        whole = region.limit * below // total - start
        part += whole * min(held.get(target.name, 0), target.slots) // target.slots
    return part


def _name(target: Target) -> str:
    return target.name
