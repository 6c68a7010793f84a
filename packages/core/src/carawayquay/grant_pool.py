"""Grants of slots that this VM holds from owners of targets in other failure domains."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from carawayquay.grants import GrantOffer

__all__ = ["GrantPool", "HeldGrant"]

#: Fraction of the lifetime by which a holder stops before the issuer, as their clocks may differ.
_CLOCK_MARGIN = 0.1

#: Delay before an owner is asked again after it had no spare slots or did not reply.
_RETRY_DELAY = timedelta(milliseconds=50)

#: Remaining time at which a grant in use is renewed.
_RENEWAL_MARGIN = timedelta(milliseconds=150)

#: Number of slots requested in addition to those needed now.
_EXTRA_SLOTS = 1

#: Maximum number of slots requested at once.
_MAX_WANTED = 64


@attrs.define(eq=False)
class HeldGrant:
    """A grant held by this VM.

    :param vm: name of the owner that issued it
    :param count: number of concurrent requests that it allows
    :param usable_until: time at which this VM stops using it
    :param in_use: number of running requests under it
    """

    id: int
    service: str
    vm: str
    count: int
    usable_until: timedelta
    in_use: int = 0


@attrs.define
class _Owner:
    """Grants and request state for one owner of targets of one service.

    :param asking: whether a request to the owner is in flight
    :param ask_after: earliest time of the next request
    :param limit: concurrency limit from the last reply, 0 if the owner did not reply
    """

    grants: list[HeldGrant] = attrs.field(factory=list)
    asking: bool = False
    ask_after: timedelta = timedelta.min
    limit: int = 0


class GrantPool:
    """Holds grants by service and owner and uses each until shortly before it expires."""

    def __init__(self) -> None:
        self._owners: dict[tuple[str, str], _Owner] = {}

    def may_ask(self, service: str, vm: str, now: timedelta) -> bool:
        """Return whether an owner may be asked for a grant now."""
        owner = self._owner(service, vm)
        return not owner.asking and now >= owner.ask_after

    def reachable(self, service: str, vm: str) -> bool:
        """Return whether an owner replied to the last request and can reach targets."""
        return self._owner(service, vm).limit > 0

    def wanted(self, service: str, vm: str, waiting: int, now: timedelta) -> int:
        """Return how many slots to request from an owner.

        Requests running under grants that expire soon are included, since similar demand is
        expected to follow.

        :param waiting: number of requests queued for a slot of this owner
        """
        expiring_soon = sum(
            grant.in_use
            for grant in self._owner(service, vm).grants
            if grant.usable_until < now + _RENEWAL_MARGIN
        )
        return min(expiring_soon + waiting + _EXTRA_SLOTS, _MAX_WANTED)

    def needs_renewal(self, service: str, vm: str, now: timedelta) -> bool:
        """Return whether an owner's grants are in use and all of them expire soon."""
        grants = self._owner(service, vm).grants
        used = any(grant.in_use for grant in grants)
        return used and all(grant.usable_until < now + _RENEWAL_MARGIN for grant in grants)

    def dump(self, now: timedelta) -> dict[str, Any]:
        """Return the unexpired and the used slots by service and owner, for JSON."""
        return {
            f"{service} {vm}": {
                "count": sum(grant.count for grant in owner.grants if now < grant.usable_until),
                "in_use": sum(grant.in_use for grant in owner.grants),
            }
            for (service, vm), owner in self._owners.items()
            if owner.grants
        }

    def mark_asking(self, service: str, vm: str) -> None:
        """Record that a request to an owner is in flight."""
        self._owner(service, vm).asking = True

    def add(
        self, service: str, vm: str, offer: GrantOffer, requested_at: timedelta, now: timedelta
    ) -> None:
        """Add the grant of an owner's offer, or delay the next request if the offer is empty.

        :param requested_at: time at which the request was sent, from which the lifetime counts
        """
        owner = self._owner(service, vm)
        owner.asking = False
        owner.limit = offer.limit
        if offer.count == 0:
            owner.ask_after = now + _RETRY_DELAY
            return
        lifetime = timedelta(milliseconds=offer.lifetime_ms) * (1 - _CLOCK_MARGIN)
        owner.grants.append(HeldGrant(offer.id, service, vm, offer.count, requested_at + lifetime))

    def record_failure(self, service: str, vm: str, now: timedelta) -> None:
        """Record that an owner did not reply, which makes its targets unreachable."""
        owner = self._owner(service, vm)
        owner.asking = False
        owner.limit = 0
        owner.ask_after = now + _RETRY_DELAY

    def take(self, service: str, vm: str, now: timedelta) -> HeldGrant | None:
        """Take a slot of an unexpired grant; return the grant, or None if no slot is free."""
        owner = self._owner(service, vm)
        owner.grants = [g for g in owner.grants if now < g.usable_until or g.in_use > 0]
        for grant in owner.grants:
            if now < grant.usable_until and grant.in_use < grant.count:
                grant.in_use += 1
                return grant
        return None

    def give_back(self, grant: HeldGrant) -> None:
        """Release a slot that was taken."""
        grant.in_use -= 1

    def _owner(self, service: str, vm: str) -> _Owner:
        return self._owners.setdefault((service, vm), _Owner())
