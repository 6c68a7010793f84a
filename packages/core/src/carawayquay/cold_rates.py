"""The rate at which a process may send to a cold target, a share of what the target tolerates."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import attrs

__all__ = ["ColdRateLimit", "ColdRequestRates"]

#: Requests that were sent within a second may arrive within a slightly shorter one.
_WINDOW = timedelta(seconds=1.1)

#: Part of the tolerated rate that is used, as two processes may differ about the members.
_SAFETY_FACTOR = 0.8


@attrs.frozen
class ColdRateLimit:
    """Divides the tolerated rate of cold targets.

    :param over: factor by which a target's stated rate may be exceeded
    :param slack: requests in a second beyond that
    """

    over: float
    slack: float

    def share(self, rate: float, holders: tuple[str, ...], vm: str) -> int:
        """Return how many requests in a second a VM may send to a cold target.

        :param rate: requests/s that the target says it tolerates
        :param holders: the VMs that share the right, the same at each of them

        >>> rights = ColdRateLimit(over=1.5, slack=5)
        >>> [rights.share(3.7, ("a", "b", "c"), vm) for vm in "abcd"]
        [3, 3, 2, 0]
        """
        if vm not in holders:
            return 0
        total = int((rate * self.over + self.slack) * _SAFETY_FACTOR)
        base, remainder = divmod(total, len(holders))
        return base + (holders.index(vm) < remainder)


class ColdRequestRates:
    """Counts this process's requests to each cold target within the last second."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[timedelta]] = {}

    def has_room(self, target: str, share: int, now: timedelta) -> bool:
        """Return whether one more request to a cold target is within a share."""
        sent = self._sent.get(target)
        if sent is None:
            return share > 0
        while sent and now - sent[0] > _WINDOW:
            sent.popleft()
        return len(sent) < share

    def count(self, target: str, now: timedelta) -> None:
        """Count a request to a target."""
        self._sent.setdefault(target, deque(maxlen=256)).append(now)

    def forget(self, target: str) -> None:
        """Drop the count of a target that is gone."""
        self._sent.pop(target, None)
