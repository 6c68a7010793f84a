"""A bounded log of recent steering decisions and their reasons."""

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
    """A place that was considered for a request.

    :param place: name of the region or the entry VM
    :param reason: why it was used or not
    """

    place: str
    reason: str


@attrs.frozen
class Decision:
    """The steering of one request, with the places considered.

    :param at: arrival time by the clock of the process
    :param level: fraction 0 to 1 of the home region's traffic to shift to other regions
    :param fraction: position of the client in the order in which clients are shifted, 0 to 1
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
    """The most recent decisions of this process."""

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
