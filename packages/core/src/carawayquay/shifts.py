"""Keeps the traffic that one VM moves away from a home region within the document's caps.

A request is moved when it is sent to a region other than its home region. Each VM counts only
the requests that it sees itself. If no VM moves more than a fraction of its own traffic, the
fleet does not either, with no message between VMs.

What is promised, for every moment at which a request is moved, of the window that ends then:

* The moved share of a planned move is at most the *level*, which rises by at most the planned
  cap in any window. The level rises with time and not with requests, so a service with little
  traffic drains too.
* The moved share is at most the share of the window before plus the cap. Where the window before
  has too few requests to express the cap, the level of that time stands for its share.
* On the way back the moved share falls by at most the planned cap in a window, but for less than
  one request; meanwhile it may exceed the level.
* Nothing is rounded up: one request of three is moved only under a share of a third or more.

A process that has just started has seen nothing and so may move nothing.

Two promises can clash. When a region is lost and the cap forbids moving all its traffic at once,
the cap holds: what may not move yet is refused as not run with ``cap-reached``, which a caller
may retry. When a region is drained and the other regions have no room, the requests stay at home:
a planned move gives way to the limits of the regions.
"""

from __future__ import annotations

import enum
import ipaddress
from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.moved_share import MovedShare
from carawayquay.rendezvous import score

if TYPE_CHECKING:
    from carawayquay.documents import Cap

__all__ = ["Destination", "Goal", "Move", "ShiftBudget", "client_fraction", "client_prefix"]

#: Time of one step counts at most so much, so that a paused process goes on where it was.
_MAX_STEP = timedelta(seconds=1)
_SCORES = 2**64
_LEVEL_SAMPLES_PER_WINDOW = 50

#: A window whose cap is fewer requests than this is too short of requests to measure a share.
_MIN_MOVES = 2


class Goal(enum.Enum):
    """Where the traffic of a home region should be in the end."""

    HOME = "home"
    DRAINED = "drained"
    LOST = "lost"


class Move(enum.Enum):
    """Why a request leaves its home region, which decides the cap that it counts under."""

    PLANNED = "planned"
    FAILURE = "failure"


class Destination(enum.Enum):
    """A place to try for a request."""

    HOME = "home"
    AWAY_PLANNED = "away-planned"
    AWAY_FAILURE = "away-failure"


@attrs.frozen
class _LevelSample:
    at: timedelta
    level: float


def client_prefix(client: str) -> str:
    """Return the block that a client's address belongs to: /24 of IPv4, /48 of IPv6.

    >>> client_prefix("192.0.2.77")
    '192.0.2.0/24'
    """
    try:
        address = ipaddress.ip_address(client)
    except ValueError:
        return client
    prefix = 24 if address.version == 4 else 48
    return str(ipaddress.ip_network((address, prefix), strict=False))


def client_fraction(service: str, client: str) -> float:
    """Return a client's place from 0 to 1 in the order in which clients move.

    The order is the same in every process, so a client that has moved stays moved while the
    level rises, and finds warm caches.
    """
    return score(service, client_prefix(client)) / _SCORES


class ShiftBudget:
    """How much of one service's traffic from one home region this VM may move.

    :param cap: the caps of the service's document
    :param now: when the process began to count
    :param level: the level that live peers hold, 0 if there are none
    """

    def __init__(self, cap: Cap, now: timedelta, level: float = 0.0) -> None:
        self._cap = cap
        self._counts = MovedShare(cap.window)
        self._shifted = MovedShare(cap.window)
        self._goal = Goal.HOME
        self._level = level
        self._advanced_at = now
        self._level_samples: deque[_LevelSample] = deque([_LevelSample(now, level)])

    @property
    def level(self) -> float:
        """The share of traffic that should be away by now, 0 to 1."""
        return self._level

    @property
    def goal(self) -> Goal:
        """Where the traffic should be in the end."""
        return self._goal

    def set_cap(self, cap: Cap) -> None:
        """Take the caps of a newer document; a window of another length is counted afresh."""
        if cap.window != self._cap.window:
            self._counts = MovedShare(cap.window)
            self._shifted = MovedShare(cap.window)
        self._cap = cap

    def adopt(self, level: float, now: timedelta) -> None:
        """Start from the level of live peers, in a process that has none of its own."""
        self._level = level
        self._level_samples = deque([_LevelSample(now, level)])

    def advance(self, goal: Goal, now: timedelta, *, frozen: bool = False) -> None:
        """Move the level towards a goal at the pace of the cap.

        :param frozen: whether the level has to stay where it is
        """
        step = min(now - self._advanced_at, _MAX_STEP)
        self._advanced_at = now
        self._goal = goal
        if not frozen:
            self._step_level(goal, step / self._cap.window)
            self._record_level(now)

    def count_request(self, now: timedelta) -> None:
        """Count a request of the home region."""
        self._counts.see(now)
        self._shifted.see(now)

    def take(self, move: Move, now: timedelta) -> bool:
        """Count a seen request as moved if that is allowed; return whether it is."""
        if not self.may_move(move, now):
            return False
        self._counts.move(now)
        if move is Move.PLANNED or self._goal is Goal.LOST:
            self._shifted.move(now)
        return True

    def may_move(self, move: Move, now: timedelta) -> bool:
        """Return whether one more of the requests seen may be moved."""
        return self._fits(self.allowed(move, now), now)

    def may_return(self, move: Move, now: timedelta) -> bool:
        """Return whether a request may run at home, given how fast moved traffic may come back.

        What only spilled over from a home without free slots may come back at once.
        """
        floor = self._floor(move, now)
        return floor <= 0 or self._shifted.moved(now) >= floor * self._counts.seen(now)

    def allowed(self, move: Move, now: timedelta) -> float:
        """Return the share that may be moved in the window that ends now, 0 to 1."""
        share = min(1.0, self._share_before(move, now) + self._cap_fraction(move))
        match move:
            case Move.PLANNED:
                return min(share, max(self._level, self._floor(move, now)))
            case Move.FAILURE:
                return share

    def share(self, now: timedelta) -> float:
        """Return the share that was moved in the window that ends now, 0 to 1."""
        seen = self._counts.seen(now)
        return min(1.0, self._counts.moved(now) / seen) if seen else 0.0

    def destinations(self, fraction: float, now: timedelta) -> tuple[Destination, ...]:
        """Return the places to try for a request, first to last.

        :param fraction: the client's place in the order in which clients move
        """
        away = Destination.AWAY_FAILURE if self._goal is Goal.LOST else Destination.AWAY_PLANNED
        if self._moves_first(fraction, now) or not self.may_return(Move.PLANNED, now):
            return tuple(dict.fromkeys((away, Destination.HOME, Destination.AWAY_FAILURE)))
        return (Destination.HOME, Destination.AWAY_FAILURE)

    def _moves_first(self, fraction: float, now: timedelta) -> bool:
        """Return whether a client is among those that move first.

        When those that move first are too few to reach the allowed share, others join them.
        """
        if self._level == 0:
            return False
        move = Move.FAILURE if self._goal is Goal.LOST else Move.PLANNED
        if fraction < self._level:
            return True
        behind = self.allowed(move, now) - self._cap_fraction(move) / 2
        return self._goal is not Goal.HOME and self._fits(behind, now)

    def _fits(self, share: float, now: timedelta) -> bool:
        if share >= 1:
            return self._counts.seen(now) > 0
        return self._counts.moved(now) + 1 <= share * self._counts.seen(now)

    def _share_before(self, move: Move, now: timedelta) -> float:
        """Return the share of the window before, or its level where it has too few requests."""
        if self._few_before(move, now):
            return self._level_before(now)
        return self._counts.share_before(now)

    def _floor(self, move: Move, now: timedelta) -> float:
        """Return the share that has to stay away in the window that ends now.

        A service with few requests is never kept from its home.
        """
        if self._few_before(move, now):
            return 0.0
        return self._shifted.share_before(now) - self._cap_fraction(move)

    def _few_before(self, move: Move, now: timedelta) -> bool:
        return self._counts.seen_before(now) * self._cap_fraction(move) < _MIN_MOVES

    def _cap_fraction(self, move: Move) -> float:
        match move:
            case Move.PLANNED:
                return self._cap.planned
            case Move.FAILURE:
                return self._cap.failure

    def _step_level(self, goal: Goal, windows: float) -> None:
        match goal:
            case Goal.DRAINED:
                self._level = min(1.0, self._level + self._cap.planned * windows)
            case Goal.LOST:
                self._level = min(1.0, self._level + self._cap.failure * windows)
            case Goal.HOME:
                self._level = max(0.0, self._level - self._cap.planned * windows)

    def _record_level(self, now: timedelta) -> None:
        """Keep the level for as long as a window looks back to it."""
        if now - self._level_samples[-1].at >= self._cap.window / _LEVEL_SAMPLES_PER_WINDOW:
            self._level_samples.append(_LevelSample(now, self._level))
        while len(self._level_samples) > 1 and self._level_samples[1].at <= now - self._cap.window:
            self._level_samples.popleft()

    def _level_before(self, now: timedelta) -> float:
        """Return the level of a window ago, or the oldest that is known."""
        edge = now - self._cap.window
        level = self._level_samples[0].level
        for point in self._level_samples:
            if point.at > edge:
                break
            level = point.level
        return level
