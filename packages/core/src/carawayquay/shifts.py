"""Limits the rate at which one VM shifts traffic away from a home region.

A request is moved when it is sent to a region other than its home region. Each VM counts only its
own requests. If no VM moves more than a given fraction of its own traffic, neither does the fleet,
so no coordination is needed.

Whenever a request is moved, the following holds for the window that ends at that time:

* The moved share after a planned move is at most the *level*, which rises by at most the planned
  cap per window. The level rises with time, not with requests, so a service with little traffic is
  drained too.
* The moved share is at most the share of the preceding window plus the cap. If that window has too
  few requests to measure a share, its level is used instead.
* When traffic returns, the moved share falls by at most the planned cap per window, with a
  tolerance of less than one request; it may exceed the level meanwhile.
* Shares are never rounded up: one request of three is moved only if the share is at least a third.

A newly started process has counted no requests, so it cannot move any yet.

Two rules decide conflicts. If a region is lost and the cap forbids moving all its traffic at once,
the cap wins: the remaining requests are refused as not run with ``cap-reached``, and callers may
retry them. If a region is drained and the other regions have no room, the requests stay at home:
region limits take precedence over planned moves.
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

#: Maximum time by which one call advances the level, so that a paused process resumes near its
#: previous level.
_MAX_STEP = timedelta(seconds=1)
_SCORE_RANGE = 2**64
_LEVEL_SAMPLES_PER_WINDOW = 50

#: A window in which the cap amounts to fewer requests than this is too small to measure a share.
_MIN_MOVES = 2


class Goal(enum.Enum):
    """The target state of a home region's traffic shift."""

    HOME = "home"
    DRAINED = "drained"
    LOST = "lost"


class Move(enum.Enum):
    """Reason for moving a request out of its home region, which selects the cap to apply."""

    PLANNED = "planned"
    FAILURE = "failure"


class Destination(enum.Enum):
    """A destination to try for a request."""

    HOME = "home"
    AWAY_PLANNED = "away-planned"
    AWAY_FAILURE = "away-failure"


@attrs.frozen
class _LevelSample:
    at: timedelta
    level: float


def client_prefix(client: str) -> str:
    """Return the network prefix of a client's address: /24 for IPv4, /48 for IPv6.

    Any other text is returned unchanged.

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
    """Return a client's position, from 0 to 1, in the order in which clients are moved.

    Every process uses the same order, so a client that has been moved stays moved while the level
    rises, and finds warm caches.
    """
    return score(service, client_prefix(client)) / _SCORE_RANGE


class ShiftBudget:
    """Decides how much of a service's traffic from one home region this VM may move.

    :param cap: caps from the service's document
    :param now: start of counting
    :param level: current level of live peers, 0 if there are none
    """

    def __init__(self, cap: Cap, now: timedelta, level: float = 0.0) -> None:
        self._cap = cap
        self._counts = MovedShare(cap.window)
        self._counts_without_spill_over = MovedShare(cap.window)
        self._goal = Goal.HOME
        self._level = level
        self._advanced_at = now
        self._level_samples: deque[_LevelSample] = deque([_LevelSample(now, level)])

    @property
    def level(self) -> float:
        """The share of traffic that should currently be away, 0 to 1."""
        return self._level

    @property
    def goal(self) -> Goal:
        """The target state of the shift."""
        return self._goal

    def set_cap(self, cap: Cap) -> None:
        """Apply the caps of a newer document; counting restarts if the window length changes."""
        if cap.window != self._cap.window:
            self._counts = MovedShare(cap.window)
            self._counts_without_spill_over = MovedShare(cap.window)
        self._cap = cap

    def adopt(self, level: float, now: timedelta) -> None:
        """Set the level to that of live peers, in a newly started process."""
        self._level = level
        self._level_samples = deque([_LevelSample(now, level)])

    def advance(self, goal: Goal, now: timedelta, *, frozen: bool = False) -> None:
        """Move the level towards a goal at the rate of the cap.

        :param frozen: whether to leave the level unchanged
        """
        elapsed = min(now - self._advanced_at, _MAX_STEP)
        self._advanced_at = now
        self._goal = goal
        if not frozen:
            self._step_level(goal, elapsed / self._cap.window)
            self._record_level(now)

    def count_request(self, now: timedelta) -> None:
        """Count a request from the home region."""
        self._counts.record_arrival(now)
        self._counts_without_spill_over.record_arrival(now)

    def take(self, move: Move, now: timedelta) -> bool:
        """Count an already counted request as moved if allowed; return whether it was."""
        if not self.may_move(move, now):
            return False
        self._counts.record_move(now)
        if move is Move.PLANNED or self._goal is Goal.LOST:
            self._counts_without_spill_over.record_move(now)
        return True

    def may_move(self, move: Move, now: timedelta) -> bool:
        """Return whether one more of the counted requests may be moved."""
        return self._fits(self.allowed(move, now), now)

    def may_return(self, move: Move, now: timedelta) -> bool:
        """Return whether a request may run at home under the limit on the rate of return.

        Requests that were moved only as spill-over may return immediately.
        """
        floor = self._floor(move, now)
        return floor <= 0 or self._counts_without_spill_over.moved(
            now
        ) >= floor * self._counts.arrivals(now)

    def allowed(self, move: Move, now: timedelta) -> float:
        """Return the maximum moved share in the window that ends now, 0 to 1."""
        share = min(1.0, self._share_before(move, now) + self._cap_fraction(move))
        match move:
            case Move.PLANNED:
                return min(share, max(self._level, self._floor(move, now)))
            case Move.FAILURE:
                return share

    def share(self, now: timedelta) -> float:
        """Return the moved share in the window that ends now, 0 to 1."""
        arrivals = self._counts.arrivals(now)
        return min(1.0, self._counts.moved(now) / arrivals) if arrivals else 0.0

    def destinations(self, fraction: float, now: timedelta) -> tuple[Destination, ...]:
        """Return the destinations to try for a request, in order.

        :param fraction: the client's position in the order in which clients are moved
        """
        away = Destination.AWAY_FAILURE if self._goal is Goal.LOST else Destination.AWAY_PLANNED
        if self._moves_first(fraction, now) or not self.may_return(Move.PLANNED, now):
            return tuple(dict.fromkeys((away, Destination.HOME, Destination.AWAY_FAILURE)))
        return (Destination.HOME, Destination.AWAY_FAILURE)

    def _moves_first(self, fraction: float, now: timedelta) -> bool:
        """Return whether the requests of a client are moved at the current level.

        If the clients up to the level send too little traffic to reach the allowed share, requests
        of other clients are moved too.
        """
        if self._level == 0:
            return False
        move = Move.FAILURE if self._goal is Goal.LOST else Move.PLANNED
        if fraction < self._level:
            return True
        threshold = self.allowed(move, now) - self._cap_fraction(move) / 2
        return self._goal is not Goal.HOME and self._fits(threshold, now)

    def _fits(self, share: float, now: timedelta) -> bool:
        if share >= 1:
            return self._counts.arrivals(now) > 0
        return self._counts.moved(now) + 1 <= share * self._counts.arrivals(now)

    def _share_before(self, move: Move, now: timedelta) -> float:
        """Return the preceding window's moved share, or its level if it has too few requests."""
        if self._too_few_before(move, now):
            return self._level_before(now)
        return self._counts.previous_share(now)

    def _floor(self, move: Move, now: timedelta) -> float:
        """Return the minimum moved share in the window that ends now.

        It is 0 for a service with few requests, which may return to its home region at any time.
        """
        if self._too_few_before(move, now):
            return 0.0
        return self._counts_without_spill_over.previous_share(now) - self._cap_fraction(move)

    def _too_few_before(self, move: Move, now: timedelta) -> bool:
        return self._counts.previous_arrivals(now) * self._cap_fraction(move) < _MIN_MOVES

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
        """Sample the level and discard samples that are no longer needed."""
        if now - self._level_samples[-1].at >= self._cap.window / _LEVEL_SAMPLES_PER_WINDOW:
            self._level_samples.append(_LevelSample(now, self._level))
        while len(self._level_samples) > 1 and self._level_samples[1].at <= now - self._cap.window:
            self._level_samples.popleft()

    def _level_before(self, now: timedelta) -> float:
        """Return the level one window ago, or else the oldest recorded one."""
        window_start = now - self._cap.window
        level = self._level_samples[0].level
        for sample in self._level_samples:
            if sample.at > window_start:
                break
            level = sample.level
        return level
