"""Round-trip times to failure domains, estimated from the connect times of new connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["RoundTrips"]

#: Assumed round-trip times before the first connection, in seconds.
_SAME_DOMAIN = 0.001
_SAME_REGION = 0.003
_OTHER_REGION = 0.04

#: Weight of a connect time longer than the estimate; a shorter one replaces the estimate.
_INCREASE_WEIGHT = 0.05


class RoundTrips:
    """Estimates the minimum round-trip time to each failure domain."""

    def __init__(self, domain: str, regions: Mapping[str, str]) -> None:
        self._domain = domain
        self._regions = regions
        self._seconds: dict[str, float] = {}

    def record(self, domain: str, seconds: float) -> None:
        """Update the estimate with the connect time of a new connection."""
        known = self._seconds.get(domain, seconds)
        self._seconds[domain] = min(seconds, known + _INCREASE_WEIGHT * (seconds - known))

    def seconds(self, domain: str) -> float:
        """Return the estimated round-trip time to a failure domain in seconds."""
        known = self._seconds.get(domain)
        if known is not None:
            return known
        if domain == self._domain:
            return _SAME_DOMAIN
        if self._regions.get(domain) == self._regions.get(self._domain):
            return _SAME_REGION
        return _OTHER_REGION
