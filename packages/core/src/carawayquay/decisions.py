"""A bounded record of recent steering decisions and their reasons."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["Decision", "DecisionLog", "Step"]

_MAX_DECISIONS = 512


@attrs.frozen
class Step:
    """One place that was considered for a request.

    :param place: the region or the entry VM
    :param reason: what came of it
    """

    place: str
    reason: str


@attrs.frozen
class Decision:
    """Where a request went, and why.

    :param at: when it arrived, by the clock of the process
    :param level: share of the home region's traffic that should be away, 0 to 1
    :param fraction: the client's place in the order in which clients move, 0 to 1
    :param outcome: ``ran`` or the kind of the refusal
    """

    service: str
    client: str
    home: str
    at: timedelta
    level: float
    fraction: float
    steps: tuple[Step, ...]
    outcome: str


class DecisionLog:
    """The last decisions of this process."""

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque(maxlen=_MAX_DECISIONS)

    def find(self, service: str = "", client: str = "") -> list[Decision]:
        """Return the decisions on a service and a client, newest first; empty names match all."""
        return [
            decision
            for decision in reversed(self._decisions)
            if service in ("", decision.service) and client in ("", decision.client)
        ]

    def add(self, decision: Decision) -> None:
        """Record a decision."""
        self._decisions.append(decision)
