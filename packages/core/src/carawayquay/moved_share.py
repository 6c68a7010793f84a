"""Counts, over two sliding windows, how much of the traffic that a VM saw it moved away."""

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
    """Requests that are counted together.

    :param first: when the first of them arrived
    :param last: when the last of them arrived or was moved
    """

    first: timedelta
    last: timedelta
    seen: int = 0
    moved: int = 0


@attrs.define
class _Buckets:
    """Spans in order of time, and their sums."""

    buckets: deque[_Bucket] = attrs.field(factory=deque)
    seen: int = 0
    moved: int = 0

    def push(self, bucket: _Bucket) -> None:
        self.buckets.append(bucket)
        self.seen += bucket.seen
        self.moved += bucket.moved

    def pop(self) -> _Bucket:
        bucket = self.buckets.popleft()
        self.seen -= bucket.seen
        self.moved -= bucket.moved
        return bucket


class MovedShare:
    """Requests seen and moved in the last window and in the one before it.

    Requests that arrive close together are counted together, so that memory does not grow with
    traffic. Those that the edge of a window cuts count to the side that allows less: the last
    window is never said to hold more requests or fewer moves than it holds, and the window before
    is never said to have a greater share.

    :param window: length of each window
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._bucket_length = window / _BUCKETS_PER_WINDOW
        self._last = _Buckets()
        self._previous = _Buckets()

    def record_arrival(self, now: timedelta) -> None:
        """Count a request that arrived."""
        self._bucket(now).seen += 1
        self._last.seen += 1

    def record_move(self, now: timedelta) -> None:
        """Count a request, seen before, as moved."""
        self._bucket(now).moved += 1
        self._last.moved += 1

    def seen(self, now: timedelta) -> int:
        """Return at most the number of requests seen in the window that ends now."""
        self._slide(now)
        return self._last.seen

    def moved(self, now: timedelta) -> int:
        """Return at least the number of requests moved in the window that ends now."""
        self._slide(now)
        return self._last.moved + self._moved_at_edge(now)

    def previous_seen(self, now: timedelta) -> int:
        """Return at least the number of requests seen in the window before the last one."""
        self._slide(now)
        return self._previous.seen

    def previous_share(self, now: timedelta) -> float:
        """Return at most the share moved in the window before the last one, 0 if it is empty."""
        self._slide(now)
        if self._previous.seen == 0:
            return 0.0
        moved = self._previous.moved - self._moved_at_edge(now)
        oldest = self._previous.buckets[0]
        if oldest.first <= now - 2 * self._window:
            moved -= oldest.moved
        return max(0, moved) / self._previous.seen

    def _bucket(self, now: timedelta) -> _Bucket:
        """Return the span to count into, a new one if the last has grown long."""
        self._slide(now)
        buckets = self._last.buckets
        if not buckets or now - buckets[-1].first > self._bucket_length:
            buckets.append(_Bucket(now, now))
        buckets[-1].last = now
        return buckets[-1]

    def _slide(self, now: timedelta) -> None:
        """Pass spans on to the window before, and forget those that have left it too."""
        edge = now - self._window
        while self._last.buckets and self._last.buckets[0].first <= edge:
            self._previous.push(self._last.pop())
        while self._previous.buckets and self._previous.buckets[0].last <= edge - self._window:
            self._previous.pop()

    def _moved_at_edge(self, now: timedelta) -> int:
        """Return the moves of the span that the edge between the windows cuts."""
        buckets = self._previous.buckets
        return buckets[-1].moved if buckets and buckets[-1].last > now - self._window else 0
