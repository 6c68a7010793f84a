"""Exponential backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta
    from random import Random

__all__ = ["Backoff"]


class Backoff:
    """Delays between failed attempts, each drawn between half and all of a maximum that doubles.

    :param first: maximum delay after the first failure
    :param limit: upper bound of the doubled maximum
    :param random: source of the jitter
    """

    def __init__(self, first: timedelta, limit: timedelta, random: Random) -> None:
        self._first = first
        self._limit = limit
        self._random = random
        self._failures = 0

    def next(self) -> timedelta:
        """Return the delay before the next attempt, and count a failure."""
        longest = min(self._first * 2 ** min(self._failures, 16), self._limit)
        self._failures += 1
        return longest * (0.5 + self._random.random() / 2)

    def reset(self) -> None:
        """Start again at the first delay after a success."""
        self._failures = 0
