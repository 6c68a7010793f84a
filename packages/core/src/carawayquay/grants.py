"""Expiring grants by which the owner of targets lets other failure domains use its spare slots.

A grant of *n* lets its holder have *n* requests run at once until it expires. The issuer counts
a grant as used in full until then, and afterwards for the requests that still run under it, so
local requests and grants together never exceed the limit, whatever messages are lost. A grant
that nobody uses comes back by expiring.
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

#: Time for which a grant lasts, counted by the issuer from the offer.
GRANT_LIFETIME = timedelta(milliseconds=500)

_LIFETIME_MS = GRANT_LIFETIME // timedelta(milliseconds=1)

#: What a failure domain asked for and did not get is kept for it so long.
_UNMET_RETENTION = timedelta(milliseconds=250)

#: The reserve for local requests follows their mean over about this time.
_MEAN_TIME_CONSTANT = timedelta(seconds=2)

#: Grants of an earlier incarnation have ended after this time, on a clock that runs fast.
_RESTART_HOLD = GRANT_LIFETIME * 1.1


@attrs.frozen
class GrantRequest:
    """A call by which a VM of another failure domain asks for slots.

    :param wanted: requests that it would run at once
    """

    service: str
    vm: str
    domain: str
    wanted: int


@attrs.frozen
class GrantOffer:
    """The reply to a ``GrantRequest``.

    :param id: the number to send with each request
    :param count: requests that may run at once, 0 if there is no room
    :param lifetime_ms: time for which the grant lasts, in milliseconds
    :param limit: requests that the issuer's targets may run at once, 0 if it has none in reach
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
        """Return the slots that the grant takes up."""
        return self.count if now < self.expires_at else self.running


@attrs.frozen
class _LastRequest:
    """What a failure domain asked for last."""

    at: timedelta
    unmet: int


@attrs.define
class _LocalLoad:
    """The local requests that run, and their mean over the recent past."""

    running: int = 0
    mean: float = 0.0
    updated_at: timedelta = timedelta()

    def update(self, now: timedelta) -> None:
        """Let the mean follow what has run since the last note."""
        weight = min(1.0, (now - self.updated_at) / _MEAN_TIME_CONSTANT)
        self.mean += weight * (self.running - self.mean)
        self.updated_at = now

    def reserve(self, now: timedelta) -> int:
        """Return the slots to keep for local requests."""
        self.update(now)
        return math.ceil(self.mean)


class GrantIssuer:
    """The grants that one owner of targets has issued, and the requests that it runs.

    Limits are passed in with each command, since they change with the health of the targets.

    :param incarnation: the number that this start of the process drew, from which ids count
    :param started: when the process started; it issues nothing until the grants of an earlier
        incarnation have ended
    """

    def __init__(self, incarnation: int, started: timedelta) -> None:
        self._next_id = max(1, incarnation)
        self._hold_until = started + _RESTART_HOLD
        self._grants: dict[int, _Grant] = {}
        self._local: dict[str, _LocalLoad] = {}
        self._requests: dict[str, dict[str, _LastRequest]] = {}

    def local(self, service: str) -> int:
        """Return the requests of the own failure domain that run."""
        return self._local_load(service).running

    def granted(self, service: str) -> int:
        """Return the requests that run under grants."""
        return sum(grant.running for grant in self._grants.values() if grant.service == service)

    def committed(self, service: str, now: timedelta) -> int:
        """Return the slots that grants take up, used or not."""
        return sum(grant.committed(now) for grant in self._grants_of(service))

    def offer(self, request: GrantRequest, limit: int, offered: int, now: timedelta) -> GrantOffer:
        """Issue a grant for what can be spared, and return it.

        :param limit: requests that the owned targets may run at once
        :param offered: the most of them that other failure domains may have now
        """
        self._remove_expired(now)
        count = self._spare(request, limit, offered, now)
        if now < self._hold_until:
            count = 0
        self._record_request(request, count, now)
        if count == 0:
            return GrantOffer(0, 0, _LIFETIME_MS, limit)
        grant_id = self._next_id
        self._next_id += 1
        self._grants[grant_id] = _Grant(
            request.service, request.domain, count, now + GRANT_LIFETIME
        )
        return GrantOffer(grant_id, count, _LIFETIME_MS, limit)

    def start_local(self, service: str, limit: int, now: timedelta) -> bool:
        """Count a request of the own failure domain as running if the sum allows it."""
        use = self._local_load(service)
        if use.running + self.committed(service, now) >= limit:
            return False
        use.update(now)
        use.running += 1
        return True

    def finish_local(self, service: str, now: timedelta) -> None:
        """Count a local request as ended."""
        use = self._local_load(service)
        use.update(now)
        use.running -= 1

    def start_granted(self, grant_id: int, service: str, limit: int, now: timedelta) -> bool:
        """Count a request as running under a live grant if the sum allows it."""
        grant = self._grants.get(grant_id)
        if grant is None or grant.service != service or now >= grant.expires_at:
            return False
        if grant.running >= grant.count or self.local(service) + self.granted(service) >= limit:
            return False
        grant.running += 1
        return True

    def finish_granted(self, grant_id: int, now: timedelta) -> None:
        """Count a request under a grant as ended."""
        self._grants[grant_id].running -= 1
        self._remove_expired(now)

    def _spare(self, request: GrantRequest, limit: int, offered: int, now: timedelta) -> int:
        """Return how many slots the asking failure domain may have more."""
        use = self._local_load(request.service)
        pool = min(limit - max(use.running, use.reserve(now)), offered)
        free = pool - self.committed(request.service, now)
        held = self._committed_to(request.service, request.domain, now)
        others = self._unmet_demand(request, now)
        share = max(1, pool // (len(others) + 1)) - held
        left = free - sum(others.values())
        return max(0, min(request.wanted, free, max(share, left)))

    def _unmet_demand(self, request: GrantRequest, now: timedelta) -> dict[str, int]:
        """Return what the other failure domains lately asked for and did not get."""
        return {
            domain: asked.unmet
            for domain, asked in self._requests.get(request.service, {}).items()
            if domain != request.domain and asked.unmet and now - asked.at < _UNMET_RETENTION
        }

    def _record_request(self, request: GrantRequest, count: int, now: timedelta) -> None:
        asked = self._requests.setdefault(request.service, {})
        asked[request.domain] = _LastRequest(now, request.wanted - count)

    def _committed_to(self, service: str, domain: str, now: timedelta) -> int:
        """Return the slots that the grants of a failure domain take up."""
        grants = (grant for grant in self._grants_of(service) if grant.domain == domain)
        return sum(grant.committed(now) for grant in grants)

    def _grants_of(self, service: str) -> Iterable[_Grant]:
        return (grant for grant in self._grants.values() if grant.service == service)

    def _local_load(self, service: str) -> _LocalLoad:
        return self._local.setdefault(service, _LocalLoad())

    def _remove_expired(self, now: timedelta) -> None:
        """Forget grants that have ended and under which nothing runs."""
        self._grants = {
            grant_id: grant for grant_id, grant in self._grants.items() if grant.committed(now) > 0
        }


def region_limit(document: Document, held: Mapping[str, int]) -> int:
    """Return the part of the regions' limits that falls to the slots that a VM holds.

    Each limit is divided over the region's targets by their slots, the same in every process, and
    the part of a target that is held in part is rounded down. So the parts of all VMs add up to
    the limit at most.

    :param held: slots that the VM may use by the name of the target
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
