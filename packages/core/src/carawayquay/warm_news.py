"""The objects that targets have lately handled for the first time, to be told to other VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.load_reports import WarmObject

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["WarmNews"]

#: How long a piece of news is repeated, since reports may be lost and are not sent to all at once.
_LIFE = timedelta(seconds=1.3)

_MAX_NEWS = 400


class WarmNews:
    """News that every report of a short time carries.

    :param life: how long a piece of news is told
    """

    def __init__(self, life: timedelta = _LIFE) -> None:
        self._life = life
        self._news: dict[WarmObject, timedelta] = {}

    def add(self, target: int, key: int, now: timedelta) -> None:
        """Take that a target has handled an object; what is being told already stays as it is."""
        self.learn((WarmObject(target, key),), now)

    def learn(self, news: Iterable[WarmObject], now: timedelta) -> None:
        """Take news of another VM, to be told on."""
        for item in news:
            self._news.setdefault(item, now)
        while len(self._news) > _MAX_NEWS:
            del self._news[next(iter(self._news))]

    def current(self, now: timedelta) -> tuple[WarmObject, ...]:
        """Return the news that are still to be told."""
        over = []
        for item, since in self._news.items():
            if now - since <= self._life:
                break
            over.append(item)
        for item in over:
            del self._news[item]
        return tuple(self._news)
