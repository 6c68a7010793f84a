"""Compares the latest requests with earlier ones, to notice a burst before others tell of it."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

__all__ = ["RequestGrowth"]

#: Time at the end in which a rise is looked for.
_LATEST = timedelta(seconds=1)

#: Time before that with which it is compared. Demand that far VMs tell is some seconds old, and a
#: burst must not be part of what it is compared with until their reports contain it.
_EARLIER = timedelta(seconds=6)

#: Number of requests that count as evidence for no growth, so that few requests show little.
_PRIOR_REQUESTS = 2.0


class RequestGrowth:
    """The growth of one VM's requests over the last seconds, in which chance counts for little."""

    def __init__(self) -> None:
        self._latest: deque[timedelta] = deque()
        self._earlier: deque[timedelta] = deque()
        self._first_at: timedelta | None = None

    def count(self, now: timedelta) -> None:
        """Count a request."""
        if self._first_at is None:
            self._first_at = now
        self._advance(now)
        self._latest.append(now)

    def growth(self, now: timedelta) -> float:
        """Return the latest rate relative to the earlier one, from 1.

        The last request is the one for which the growth is asked, and is no evidence of it.
        """
        self._advance(now)
        known = min(_EARLIER, now - _LATEST - (now if self._first_at is None else self._first_at))
        if known < _LATEST:
            return 1.0
        expected = len(self._earlier) * (_LATEST / known)
        found = max(0, len(self._latest) - 1)
        return max(1.0, (found + _PRIOR_REQUESTS) / (expected + _PRIOR_REQUESTS))

    def _advance(self, now: timedelta) -> None:
        while self._latest and now - self._latest[0] > _LATEST:
            self._earlier.append(self._latest.popleft())
        while self._earlier and now - self._earlier[0] > _LATEST + _EARLIER:
            self._earlier.popleft()
