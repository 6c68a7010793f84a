"""Token buckets that limit the traffic of one VM over the links between regions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["LinkBudgets", "TokenBucket"]

_BITS_PER_BYTE = 8

#: Maximum balance of a bucket, as the time in seconds in which it accrues.
_BURST_SECONDS = 0.25

#: Fraction of each link direction for this region's requests; the rest is for its answers to the
#: other region's requests.
_REQUEST_FRACTION = 0.5

#: Weight of the newest answer in the exponentially weighted moving average of answer sizes.
_MEAN_WEIGHT = 0.1


@attrs.define
class TokenBucket:
    """Token bucket in bytes with a bounded burst.

    A message is allowed while the balance is positive and may make it negative.

    :param tokens: balance in bytes
    :param filled_at: time of the last refill, or None before the first
    """

    tokens: float = 0.0
    filled_at: timedelta | None = None

    def fill(self, rate: float, now: timedelta) -> None:
        """Add the tokens that have accrued since the last refill.

        :param rate: bytes per second
        """
        if self.filled_at is not None:
            self.tokens += rate * (now - self.filled_at).total_seconds()
        self.tokens = min(self.tokens, rate * _BURST_SECONDS)
        self.filled_at = now


@attrs.define
class _RegionBudget:
    """Token buckets for the two directions of the link to one region.

    :param out: bucket of the requests sent
    :param back: bucket of the answers received
    """

    out: TokenBucket = attrs.field(factory=TokenBucket)
    back: TokenBucket = attrs.field(factory=TokenBucket)


class LinkBudgets:
    """Limits the requests of this VM to each other region and the answers to them.

    Half of each direction of a link is for outgoing requests, the other half for answers to
    incoming ones. The VMs of a region have equal shares of its half, so their sum stays within the
    capacity of the link without coordination.

    :param bits_per_second: capacity of a link between two regions in each direction
    """

    def __init__(self, bits_per_second: float) -> None:
        self._rate = bits_per_second / _BITS_PER_BYTE * _REQUEST_FRACTION
        self._budgets: dict[str, _RegionBudget] = {}
        self._mean_answer_bytes: dict[str, float] = {}

    def dump(self) -> dict[str, Any]:
        """Return the token balances in bytes by region, for JSON."""
        return {
            region: {"out": int(budget.out.tokens), "back": int(budget.back.tokens)}
            for region, budget in self._budgets.items()
        }

    def take(self, region: str, service: str, size: int, vms: int, now: timedelta) -> bool:
        """Charge a request and its expected answer if both budgets allow; return whether charged.

        :param size: bytes of the request
        :param vms: number of live VMs of the own region, which share the link equally
        """
        budget = self._budgets.setdefault(region, _RegionBudget())
        share = self._rate / max(1, vms)
        budget.out.fill(share, now)
        budget.back.fill(share, now)
        if budget.out.tokens <= 0 or budget.back.tokens <= 0:
            return False
        budget.out.tokens -= size
        budget.back.tokens -= self._mean_answer_bytes.get(service, 0.0)
        return True

    def charge_answer(self, region: str, service: str, size: int) -> None:
        """Charge the difference between actual and expected answer size, and update the average.

        :param size: bytes of the answer
        """
        expected = self._mean_answer_bytes.get(service, 0.0)
        self._budgets[region].back.tokens -= size - expected
        self._mean_answer_bytes[service] = expected + _MEAN_WEIGHT * (size - expected)
