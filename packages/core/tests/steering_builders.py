"""Test builders of shift budgets, grant requests and documents with region limits."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from fractions import Fraction

import attrs
from document_builders import document_value, target_value

from carawayquay.documents import Cap, Document, parse_document
from carawayquay.grants import GrantRequest
from carawayquay.shifts import Goal, Move, ShiftBudget

__all__ = ["TrafficRecord", "grant_request", "limited_document", "moving_budget", "seconds"]


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


@attrs.define
class TrafficRecord:
    """An exact record of requests, independent of the code under test."""

    window: timedelta
    events: deque[tuple[timedelta, bool]] = attrs.field(factory=deque)

    def add(self, at: timedelta, moved: bool) -> None:
        self.events.append((at, moved))

    def count(self, after: timedelta, until: timedelta) -> tuple[int, int]:
        """Return the numbers of all and of moved requests in the interval (after, until]."""
        inside = [moved for at, moved in self.events if after < at <= until]
        return len(inside), sum(inside)

    def share(self, until: timedelta) -> Fraction:
        seen, moved = self.count(until - self.window, until)
        return Fraction(moved, seen) if seen else Fraction(0)


def moving_budget(goal: Goal, share: float, cap: Cap | None = None, rate: int = 20):
    """Return a budget whose moved share has reached a value under steady traffic, and the time."""
    cap = cap or Cap(0.1, 0.34, seconds(10))
    budget = ShiftBudget(cap, seconds(0))
    now = seconds(0)
    move = Move.FAILURE if goal is Goal.LOST else Move.PLANNED
    while budget.share(now) < share:
        now += seconds(1 / rate)
        budget.advance(goal, now)
        budget.count_request(now)
        budget.take(move, now)
    return budget, now


def grant_request(domain: str = "inland-a", wanted: int = 4) -> GrantRequest:
    return GrantRequest("sledway", f"{domain}-1", domain, wanted)


def limited_document(slots: list[int], limit: int) -> Document:
    targets = [target_value(f"sledway-{i}", slots=count) for i, count in enumerate(slots)]
    value = document_value(
        targets=targets, regions={"puget": {"limit": limit}, "inland": {"limit": 0}}
    )
    return parse_document(value)
