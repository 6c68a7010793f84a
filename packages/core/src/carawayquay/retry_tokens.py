"""The budget that keeps retries a small fraction of the traffic."""

from __future__ import annotations

__all__ = ["RETRY_RATIO", "RetryTokenBucket"]

#: Retries that each request adds to the budget.
RETRY_RATIO = 0.1

#: Retries that a process may make at once.
_MAX_TOKENS = 10.0


class RetryTokenBucket:
    """A token bucket that requests fill and retries empty.

    Over any stretch of traffic the retries are at most ``RETRY_RATIO`` of the requests and
    ten more.

    >>> budget = RetryTokenBucket(fraction=0.5, capacity=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.spend()
    True
    """

    def __init__(self, fraction: float = RETRY_RATIO, capacity: float = _MAX_TOKENS) -> None:
        self._fraction = fraction
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """The retries that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Count a request that a caller sent."""
        self._tokens = min(self._capacity, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
