"""Requests grants from target owners in other failure domains and hands out their slots."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

from carawayquay.errors import LinkError, RequestError
from carawayquay.grant_pool import GrantPool, HeldGrant
from carawayquay.grants import GrantRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from carawayquay.membership import EntryVM
    from carawayquay_wire.links import LinkPool
    from carawayquayd.state import NodeState

__all__ = ["GrantClient"]

_MAX_ROUNDS = 2


class GrantClient:
    """Holds the grants of this daemon; concurrent requests share one grant request to an owner.

    :param current: returns whether the documents held are known to be current
    """

    def __init__(self, state: NodeState, links: LinkPool, current: Callable[[], bool]) -> None:
        self._state = state
        self._links = links
        self._current = current
        self._pool = GrantPool()
        self._pending_replies: dict[tuple[str, str], curio.Event] = {}
        self._waiting: dict[tuple[str, str], int] = {}

    def dump(self) -> dict[str, Any]:
        """Return the grants held, ready for JSON."""
        return self._pool.dump(self._state.clock.now())

    def reachable(self, service: str, vm: EntryVM) -> bool:
        """Return whether an owner answered the last grant request and has usable targets."""
        return self._pool.reachable(service, vm.name)

    async def take(self, service: str, vm: EntryVM, left: timedelta) -> HeldGrant | None:
        """Take a slot from an owner's grants, requested if needed; return None if there is none.

        :param left: time until the deadline of the request
        """
        for _ in range(_MAX_ROUNDS):
            grant = self._pool.take(service, vm.name, self._state.clock.now())
            if grant is not None:
                await self._renew_if_due(service, vm, left)
                return grant
            if not await self._wait_for_reply(service, vm, left):
                return None
        return self._pool.take(service, vm.name, self._state.clock.now())

    def give_back(self, grant: HeldGrant) -> None:
        """Return a slot to the grant that it was taken from."""
        self._pool.give_back(grant)

    async def _renew_if_due(self, service: str, vm: EntryVM, left: timedelta) -> None:
        now = self._state.clock.now()
        if self._pool.needs_renewal(service, vm.name, now) and self._may_request(service, vm, now):
            self._register_request(service, vm)
            await curio.spawn(self._request_grant, service, vm, left, daemon=True)

    async def _wait_for_reply(self, service: str, vm: EntryVM, left: timedelta) -> bool:
        """Wait for a pending or new grant request to an owner; return False if none may be sent."""
        key = (service, vm.name)
        self._waiting[key] = self._waiting.get(key, 0) + 1
        try:
            reply_event = self._pending_replies.get(key)
            if reply_event is not None:
                async with curio.ignore_after(left.total_seconds()):
                    await reply_event.wait()
                return True
            if not self._may_request(service, vm, self._state.clock.now()):
                return False
            self._register_request(service, vm)
            await self._request_grant(service, vm, left)
            return True
        finally:
            self._waiting[key] -= 1

    def _may_request(self, service: str, vm: EntryVM, now: timedelta) -> bool:
        """Return whether a grant may be requested from an owner now.

        Inside the region no cap applies and the owner enforces its own limits, so requests still
        spill over to the region's other failure domains while documents may be stale.
        """
        same_region = vm.region == self._state.settings.region
        return (same_region or self._current()) and self._pool.may_ask(service, vm.name, now)

    def _register_request(self, service: str, vm: EntryVM) -> None:
        self._pool.mark_asking(service, vm.name)
        self._pending_replies[service, vm.name] = curio.Event()

    async def _request_grant(self, service: str, vm: EntryVM, left: timedelta) -> None:
        key = (service, vm.name)
        asked_at = self._state.clock.now()
        settings = self._state.settings
        wanted = self._pool.wanted(service, vm.name, self._waiting.get(key, 0), asked_at)
        request = GrantRequest(service, settings.name, settings.domain, wanted)
        offer = None
        try:
            offer = await self._links.call(vm.peers, request, left)
        except (LinkError, RequestError):
            pass
        finally:
            now = self._state.clock.now()
            if offer is None:
                self._pool.record_failure(service, vm.name, now)
            else:
                self._pool.add(service, vm.name, offer, asked_at, now)
            await self._pending_replies.pop(key).set()
