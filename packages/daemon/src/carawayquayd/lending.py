"""Borrows and lends slots, so that the VMs of a failure domain agree on their shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.errors import LinkError, RequestError
from carawayquay.loans import LOAN_LIFETIME, RENEWAL_INTERVAL, LoanReply, LoanRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.membership import EntryVM
    from carawayquay_wire.links import LinkPool
    from carawayquayd.state import NodeState
    from carawayquayd.target_state import TargetState

__all__ = ["LoanExchange"]


class LoanExchange:
    """Requests loans from the other VMs of the failure domain, and answers their requests.

    :param on_change: awaited when slots may have become free
    """

    def __init__(
        self,
        state: NodeState,
        targets: TargetState,
        links: LinkPool,
        on_change: Callable[[], Awaitable[None]],
    ) -> None:
        self._state = state
        self._targets = targets
        self._links = links
        self._on_change = on_change
        self._pending: set[str] = set()

    async def run(self) -> None:
        """Request loans from the VMs that share a target with this one, until cancelled."""
        while True:
            self._targets.refresh()
            await self._on_change()
            for vm in self._other_members():
                if vm.name not in self._pending and self._targets.slots.should_ask(vm.name):
                    self._pending.add(vm.name)
                    await curio.spawn(self._request_loan, vm, daemon=True)
            await curio.sleep(RENEWAL_INTERVAL.total_seconds())

    async def receive(self, request: LoanRequest) -> LoanReply:
        """Lend slots to another VM and return the reply."""
        self._targets.refresh()
        now = self._state.clock.now()
        self._targets.learn_warmth(request.warmth)
        reply = self._targets.slots.lend(request, self._targets.is_owner, now)
        return attrs.evolve(reply, warmth=self._targets.warmth_reports())

    async def _request_loan(self, vm: EntryVM) -> None:
        try:
            now = self._state.clock.now()
            request = self._targets.slots.request(vm.name, self._targets.is_owner, now)
            if request is None:
                return
            request = attrs.evolve(request, warmth=self._targets.warmth_reports())
            reply = await self._links.call(vm.peers, request, LOAN_LIFETIME)
        except (LinkError, RequestError):
            return
        finally:
            self._pending.discard(vm.name)
        if reply.position.vm != vm.name:
            return
        self._targets.slots.accept(request, reply, now)
        self._targets.learn_warmth(reply.warmth)
        await self._on_change()

    def _other_members(self) -> list[EntryVM]:
        settings = self._state.settings
        members = self._state.directory.domain(settings.domain).members
        return [vm for vm in members if vm.name != settings.name]
