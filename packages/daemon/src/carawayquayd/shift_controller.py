"""Holds the shift budgets of a daemon and advances their levels towards their goals."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.errors import LinkError, RequestError
from carawayquay.region_health import HomeRegionHealth
from carawayquay.shift_levels import Level, LevelQuery, Levels, lowest_levels
from carawayquay.shifts import Goal, ShiftBudget
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.documents import Document
    from carawayquay.membership import EntryVM
    from carawayquay_wire.links import LinkPool
    from carawayquayd.state import NodeState

__all__ = ["ShiftController"]

_log = EventLog("shifts")

_UPDATE_INTERVAL = timedelta(milliseconds=250)
_LEVEL_QUERY_TIMEOUT = timedelta(seconds=1)
_MAX_QUERIED_PEERS = 4


class ShiftController:
    """The shift budgets by service and home region.

    :param current: returns whether the documents held are known to be current; while they are
        not, levels are frozen
    """

    def __init__(self, state: NodeState, links: LinkPool, current: Callable[[], bool]) -> None:
        self._state = state
        self._links = links
        self._current = current
        self._budgets: dict[tuple[str, str], ShiftBudget] = {}
        self._home_health: dict[tuple[str, str], HomeRegionHealth] = {}
        self._peer_levels: dict[str, float] | None = None

    def dump(self) -> dict[str, Any]:
        """Return goal, level and shifted share by service and home region, ready for JSON."""
        now = self._state.clock.now()
        return {
            f"{service} {home}": {
                "goal": budget.goal.value,
                "level": round(budget.level, 4),
                "share": round(budget.share(now), 4),
            }
            for (service, home), budget in self._budgets.items()
        }

    def find(self, service: str, home: str) -> ShiftBudget | None:
        """Return the budget of a service's traffic from a home region, or None if there is none."""
        return self._budgets.get((service, home))

    def budget(self, document: Document, home: str) -> ShiftBudget:
        """Return the budget of a service's traffic from a home region, advanced to now."""
        now = self._state.clock.now()
        key = (document.service, home)
        budget = self._budgets.get(key)
        if budget is None:
            budget = ShiftBudget(document.cap, now, self._start_level(document.service, home))
            self._budgets[key] = budget
        budget.set_cap(document.cap)
        previous_goal = budget.goal
        budget.advance(self._goal(document, home), now, frozen=not self._current())
        self._log_change(document.service, home, previous_goal, budget)
        return budget

    def home_health(self, document: Document, home: str) -> HomeRegionHealth:
        """Return the circuit breaker for the requests of a service to their home region."""
        return self._home_health.setdefault((document.service, home), HomeRegionHealth())

    async def run(self) -> None:
        """Adopt the levels of live peers, then advance all levels until cancelled."""
        await self._learn_levels()
        while True:
            for held in self._state.documents:
                self.budget(held.document, self._state.settings.region)
            await curio.sleep(_UPDATE_INTERVAL.total_seconds())

    async def answer(self, query: LevelQuery) -> Levels:
        """Return the levels of the own region, or none before the peers' levels were adopted."""
        if self._peer_levels is None:
            return Levels()
        region = self._state.settings.region
        return Levels(
            [
                Level(service, budget.level)
                for (service, home), budget in self._budgets.items()
                if home == region
            ]
        )

    def _goal(self, document: Document, home: str) -> Goal:
        if document.region_draining(home):
            return Goal.DRAINED
        return Goal.LOST if self.home_health(document, home).lost else Goal.HOME

    def _start_level(self, service: str, home: str) -> float:
        if home != self._state.settings.region or self._peer_levels is None:
            return 0.0
        return self._peer_levels.get(service, 0.0)

    async def _learn_levels(self) -> None:
        """Query peers once VM lists are known, and adopt the lowest level of each service."""
        while not self._peers():
            await curio.sleep(_UPDATE_INTERVAL.total_seconds())
            if self._state.directory.find(self._state.settings.name) is not None:
                break
        replies = [
            reply for vm in self._peers() if (reply := await self._query_peer(vm)) is not None
        ]
        self._peer_levels = lowest_levels(replies)
        now = self._state.clock.now()
        for (service, home), budget in self._budgets.items():
            level = self._start_level(service, home)
            if level > budget.level:
                budget.adopt(level, now)

    async def _query_peer(self, vm: EntryVM) -> Levels | None:
        query = LevelQuery(self._state.settings.name)
        try:
            return await self._links.call(vm.peers, query, _LEVEL_QUERY_TIMEOUT)
        except (LinkError, RequestError):
            return None

    def _peers(self) -> list[EntryVM]:
        """Return up to four other live VMs of the own region, the own failure domain's first."""
        settings = self._state.settings
        directory = self._state.directory
        domains = sorted(directory.domains, key=lambda domain: domain != settings.domain)
        found = [vm for domain in domains for vm in directory.live(domain)]
        others = [vm for vm in found if vm.region == settings.region and vm.name != settings.name]
        return others[:_MAX_QUERIED_PEERS]

    def _log_change(
        self, service: str, home: str, previous_goal: Goal, budget: ShiftBudget
    ) -> None:
        if budget.goal is previous_goal:
            return
        event = Event.SHIFT_ENDED if budget.goal is Goal.HOME else Event.SHIFT_STARTED
        level = round(budget.level, 3)
        _log.info(event, service=service, region=home, goal=budget.goal.value, level=level)
