"""A token bucket that limits retries to a fraction of the requests."""

from __future__ import annotations

__all__ = ["RETRY_RATIO", "RetryTokenBucket"]

#: Tokens that each request adds; a retry spends one token.
RETRY_RATIO = 0.1

#: Capacity of the bucket, which is the largest burst of retries.
_MAX_TOKENS = 10.0


class RetryTokenBucket:
    """A token bucket that is filled by requests and drained by retries.

    With the defaults, the retries in any period are at most ``RETRY_RATIO`` of the requests plus
    ten.

    :param fraction: tokens that each request adds
    :param capacity: maximum number of tokens, which is also the initial one

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
        """The number of retries that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Add the tokens of one caller's request."""
        self._tokens = min(self._capacity, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
