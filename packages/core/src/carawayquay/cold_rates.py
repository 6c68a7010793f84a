"""Rate limits for cold targets, divided among the VMs that may send to them."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import attrs

__all__ = ["ColdRateLimit", "ColdRequestRates"]

#: Window of the rate; longer than 1 s, since requests sent within 1 s may arrive within less.
_WINDOW = timedelta(seconds=1.1)

#: Fraction of the tolerated rate that is used, as VMs may differ in their view of the members.
_SAFETY_FACTOR = 0.8


@attrs.frozen
class ColdRateLimit:
    """Divides the rate that cold targets tolerate among VMs.

    :param over: factor on the configured rate of a target
    :param slack: further requests/s on top
    """

    over: float
    slack: float

    def share(self, rate: float, holders: tuple[str, ...], vm: str) -> int:
        """Return the rate in requests/s at which a VM may send to a cold target.

        :param rate: configured rate in requests/s that a cold target tolerates
        :param holders: names of the VMs that share the rate, in the same order at each of them
        :param vm: name of the VM

        >>> rate_limit = ColdRateLimit(over=1.5, slack=5)
        >>> [rate_limit.share(3.7, ("a", "b", "c"), vm) for vm in "abcd"]
        [3, 3, 2, 0]
        """
        if vm not in holders:
            return 0
        total = int((rate * self.over + self.slack) * _SAFETY_FACTOR)
        base, remainder = divmod(total, len(holders))
        return base + (holders.index(vm) < remainder)


class ColdRequestRates:
    """Counts this process's requests to each cold target in a sliding window of about 1 s."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[timedelta]] = {}

    def has_room(self, target: str, share: int, now: timedelta) -> bool:
        """Return whether one more request to a cold target is within a share.

        :param share: rate limit of this process in requests/s
        """
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
        """Drop the counts of a removed target."""
        self._sent.pop(target, None)
