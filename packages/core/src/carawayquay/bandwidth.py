"""Budgets of bytes for what one VM sends over the links between regions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["LinkBudgets", "TokenBucket"]

_BITS_PER_BYTE = 8
_BURST_SECONDS = 0.25

#: A link carries requests one way and the answers of the other region's requests as well.
_REQUEST_FRACTION = 0.5

#: Weight of the newest answer in the mean size of answers.
_MEAN_WEIGHT = 0.1


@attrs.define
class TokenBucket:
    """A rate of bytes with a bounded burst; a message may overdraw it once.

    :param tokens: bytes that may be sent now
    """

    tokens: float = 0.0
    filled_at: timedelta | None = None

    def fill(self, rate: float, now: timedelta) -> None:
        """Add the tokens of the time since the last fill.

        :param rate: bytes per second
        """
        if self.filled_at is not None:
            self.tokens += rate * (now - self.filled_at).total_seconds()
        self.tokens = min(self.tokens, rate * _BURST_SECONDS)
        self.filled_at = now


@attrs.define
class _RegionBudget:
    """The two directions of the links to one region."""

    out: TokenBucket = attrs.field(factory=TokenBucket)
    back: TokenBucket = attrs.field(factory=TokenBucket)


class LinkBudgets:
    """What this VM may send to each other region, and have sent back.

    Each direction of a link between two regions is halved: one half for the requests that go out
    and one for the answers to requests that came in. Each VM has an equal share of its region's
    half. The sum over all VMs is at most the link, with no message between them.

    :param bits_per_second: what a link between two regions carries each way
    """

    def __init__(self, bits_per_second: float) -> None:
        self._rate = bits_per_second / _BITS_PER_BYTE * _REQUEST_FRACTION
        self._budgets: dict[str, _RegionBudget] = {}
        self._answer_bytes: dict[str, float] = {}

    def dump(self) -> dict[str, Any]:
        """Return the bytes that may be sent now by region, as JSON takes them."""
        return {
            region: {"out": int(pair.out.tokens), "back": int(pair.back.tokens)}
            for region, pair in self._budgets.items()
        }

    def take(self, region: str, service: str, size: int, vms: int, now: timedelta) -> bool:
        """Charge a request and its expected answer; return whether there was budget for both.

        :param size: bytes of the request
        :param vms: live VMs of the own region, among which the link is divided
        """
        pair = self._budgets.setdefault(region, _RegionBudget())
        share = self._rate / max(1, vms)
        pair.out.fill(share, now)
        pair.back.fill(share, now)
        if pair.out.tokens <= 0 or pair.back.tokens <= 0:
            return False
        pair.out.tokens -= size
        pair.back.tokens -= self._answer_bytes.get(service, 0.0)
        return True

    def settle(self, region: str, service: str, size: int) -> None:
        """Charge the difference between an answer and what was expected, and learn from it."""
        expected = self._answer_bytes.get(service, 0.0)
        self._budgets[region].back.tokens -= size - expected
        self._answer_bytes[service] = expected + _MEAN_WEIGHT * (size - expected)
