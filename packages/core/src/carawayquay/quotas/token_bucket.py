"""A token bucket whose level may fall below zero."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity, and may be overdrawn.

    :param level: tokens at the start

    >>> bucket = TokenBucket(0.0, timedelta())
    >>> bucket.fill(rate=2.0, capacity=5.0, now=timedelta(seconds=1))
    2.0
    >>> bucket.draw(3.0)
    >>> bucket.level
    -1.0
    """

    def __init__(self, level: float, now: timedelta) -> None:
        self._level = level
        self._filled_at = now

    @property
    def level(self) -> float:
        """The tokens, below zero while the bucket is overdrawn."""
        return self._level

    def fill(self, *, rate: float, capacity: float, now: timedelta) -> float:
        """Add the tokens that accrued since the last call, and return the level.

        :param rate: tokens/s
        """
        elapsed = max(timedelta(), now - self._filled_at).total_seconds()
        self._filled_at = now
        self._level = min(capacity, self._level + rate * elapsed)
        return self._level

    def draw(self, tokens: float) -> None:
        """Take tokens, or return them if the number is negative."""
        self._level -= tokens
