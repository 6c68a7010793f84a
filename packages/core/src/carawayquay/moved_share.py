"""Counts of arrived and moved requests over two adjacent sliding windows."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["MovedShare"]

_BUCKETS_PER_WINDOW = 400


@attrs.define
class _Bucket:
    """Counts of requests that arrived close together.

    :param first: arrival time of the first request
    :param last: time of the last arrival or move
    :param arrived: number of arrived requests
    :param moved: number of moved requests
    """

    first: timedelta
    last: timedelta
    arrived: int = 0
    moved: int = 0


@attrs.define
class _Buckets:
    """Buckets in order of time, and their sums."""

    buckets: deque[_Bucket] = attrs.field(factory=deque)
    arrived: int = 0
    moved: int = 0

    def push(self, bucket: _Bucket) -> None:
        self.buckets.append(bucket)
        self.arrived += bucket.arrived
        self.moved += bucket.moved

    def pop(self) -> _Bucket:
        bucket = self.buckets.popleft()
        self.arrived -= bucket.arrived
        self.moved -= bucket.moved
        return bucket


class MovedShare:
    """Requests that arrived and were moved in the last window and in the previous one.

    Requests are counted in buckets, which bounds the memory. A bucket that crosses the edge of a
    window is counted conservatively: the last window never has too many arrivals or too few moves,
    and the previous window never has too large a share.

    :param window: length of each window
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._bucket_length = window / _BUCKETS_PER_WINDOW
        self._last = _Buckets()
        self._previous = _Buckets()

    def record_arrival(self, now: timedelta) -> None:
        """Count an arrived request."""
        self._bucket(now).arrived += 1
        self._last.arrived += 1

    def record_move(self, now: timedelta) -> None:
        """Count an arrived request as moved."""
        self._bucket(now).moved += 1
        self._last.moved += 1

    def arrivals(self, now: timedelta) -> int:
        """Return a lower bound of the arrivals in the last window, which ends now."""
        self._slide(now)
        return self._last.arrived

    def moved(self, now: timedelta) -> int:
        """Return an upper bound of the moves in the last window, which ends now."""
        self._slide(now)
        return self._last.moved + self._moved_at_edge(now)

    def previous_arrivals(self, now: timedelta) -> int:
        """Return an upper bound of the arrivals in the previous window."""
        self._slide(now)
        return self._previous.arrived

    def previous_share(self, now: timedelta) -> float:
        """Return a lower bound of the moved share of the previous window, 0 without arrivals."""
        self._slide(now)
        if self._previous.arrived == 0:
            return 0.0
        moved = self._previous.moved - self._moved_at_edge(now)
        oldest = self._previous.buckets[0]
        if oldest.first <= now - 2 * self._window:
            moved -= oldest.moved
        return max(0, moved) / self._previous.arrived

    def _bucket(self, now: timedelta) -> _Bucket:
        """Return the current bucket, a new one if the last has reached its length."""
        self._slide(now)
        buckets = self._last.buckets
        if not buckets or now - buckets[-1].first > self._bucket_length:
            buckets.append(_Bucket(now, now))
        buckets[-1].last = now
        return buckets[-1]

    def _slide(self, now: timedelta) -> None:
        """Move buckets out of the last window into the previous one, and drop expired ones."""
        edge = now - self._window
        while self._last.buckets and self._last.buckets[0].first <= edge:
            self._previous.push(self._last.pop())
        while self._previous.buckets and self._previous.buckets[0].last <= edge - self._window:
            self._previous.pop()

    def _moved_at_edge(self, now: timedelta) -> int:
        """Return the moves in the bucket that crosses the edge between the windows, or 0."""
        buckets = self._previous.buckets
        return buckets[-1].moved if buckets and buckets[-1].last > now - self._window else 0
