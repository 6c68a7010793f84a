"""The grants that this VM holds from owners of targets in other failure domains."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from carawayquay.grants import GrantOffer

__all__ = ["GrantPool", "HeldGrant"]

#: The holder stops this fraction of a lifetime before the issuer, so that clocks may differ.
_CLOCK_MARGIN = 0.1

#: An owner that had no room is asked again after this time.
_RETRY_DELAY = timedelta(milliseconds=50)

#: A grant in use is renewed when it ends within this time.
_RENEWAL_MARGIN = timedelta(milliseconds=150)

#: Slots asked for beyond those that are needed now.
_EXTRA_SLOTS = 1
_MAX_WANTED = 64


@attrs.define(eq=False)
class HeldGrant:
    """A grant in the hands of its holder.

    :param vm: the owner that issued it
    :param usable_until: when the holder stops using it
    """

    id: int
    service: str
    vm: str
    count: int
    usable_until: timedelta
    in_use: int = 0


@attrs.define
class _Owner:
    """What is known of one owner of targets of one service."""

    grants: list[HeldGrant] = attrs.field(factory=list)
    asking: bool = False
    ask_after: timedelta = timedelta.min
    limit: int = 0


class GrantPool:
    """Grants by service and owner; each is used until shortly before it expires."""

    def __init__(self) -> None:
        self._owners: dict[tuple[str, str], _Owner] = {}

    def may_ask(self, service: str, vm: str, now: timedelta) -> bool:
        """Return whether an owner may be asked for a grant now."""
        owner = self._owner(service, vm)
        return not owner.asking and now >= owner.ask_after

    def reachable(self, service: str, vm: str) -> bool:
        """Return whether an owner answered the last question and has targets in reach."""
        return self._owner(service, vm).limit > 0

    def wanted(self, service: str, vm: str, waiting: int, now: timedelta) -> int:
        """Return how many slots to ask an owner for.

        Requests under grants that end soon are counted, since others will follow them.

        :param waiting: requests that wait for a slot of this owner
        """
        ending = sum(
            grant.in_use
            for grant in self._owner(service, vm).grants
            if grant.usable_until < now + _RENEWAL_MARGIN
        )
        return min(ending + waiting + _EXTRA_SLOTS, _MAX_WANTED)

    def needs_renewal(self, service: str, vm: str, now: timedelta) -> bool:
        """Return whether an owner's grants are used and all of them end soon."""
        grants = self._owner(service, vm).grants
        used = any(grant.in_use for grant in grants)
        return used and all(grant.usable_until < now + _RENEWAL_MARGIN for grant in grants)

    def dump(self, now: timedelta) -> dict[str, Any]:
        """Return the live grants by service and owner, as JSON takes them."""
        return {
            f"{service} {vm}": {
                "count": sum(grant.count for grant in owner.grants if now < grant.usable_until),
                "in_use": sum(grant.in_use for grant in owner.grants),
            }
            for (service, vm), owner in self._owners.items()
            if owner.grants
        }

    def mark_asking(self, service: str, vm: str) -> None:
        """Remember that an owner is being asked."""
        self._owner(service, vm).asking = True

    def add(
        self, service: str, vm: str, offer: GrantOffer, asked_at: timedelta, now: timedelta
    ) -> None:
        """Take an owner's offer; its life counts from when it was asked for."""
        owner = self._owner(service, vm)
        owner.asking = False
        owner.limit = offer.limit
        if offer.count == 0:
            owner.ask_after = now + _RETRY_DELAY
            return
        lifetime = timedelta(milliseconds=offer.lifetime_ms) * (1 - _CLOCK_MARGIN)
        owner.grants.append(HeldGrant(offer.id, service, vm, offer.count, asked_at + lifetime))

    def record_failure(self, service: str, vm: str, now: timedelta) -> None:
        """Remember that an owner could not be asked, so that its targets are out of reach."""
        owner = self._owner(service, vm)
        owner.asking = False
        owner.limit = 0
        owner.ask_after = now + _RETRY_DELAY

    def take(self, service: str, vm: str, now: timedelta) -> HeldGrant | None:
        """Take one slot of a live grant of an owner, or None."""
        owner = self._owner(service, vm)
        owner.grants = [g for g in owner.grants if now < g.usable_until or g.in_use > 0]
        for grant in owner.grants:
            if now < grant.usable_until and grant.in_use < grant.count:
                grant.in_use += 1
                return grant
        return None

    def give_back(self, grant: HeldGrant) -> None:
        """Give back a slot that was taken."""
        grant.in_use -= 1

    def _owner(self, service: str, vm: str) -> _Owner:
        return self._owners.setdefault((service, vm), _Owner())
