"""The objects that targets have lately handled for the first time, to be told to other VMs."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.load_reports import WarmObject

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["WarmNews"]

#: How long a piece of news is repeated, since reports may be lost and are not sent to all at once.
_LIFE = timedelta(seconds=1.3)

_MAX_NEWS = 400


class WarmNews:
    """News that every report of a short time carries."""

    def __init__(self) -> None:
        self._news: deque[tuple[timedelta, WarmObject]] = deque(maxlen=_MAX_NEWS)

    def add(self, target: int, key: int, now: timedelta) -> None:
        """Take that a target has handled an object."""
        self._news.append((now, WarmObject(target, key)))

    def current(self, now: timedelta) -> tuple[WarmObject, ...]:
        """Return the news that are still to be told."""
        while self._news and now - self._news[0][0] > _LIFE:
            self._news.popleft()
        return tuple(self._items())

    def _items(self) -> Iterator[WarmObject]:
        return (item for _, item in self._news)
