"""Round trips to each failure domain, learned from how long new connections take."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["RoundTrips"]

#: Assumed until a connection was opened, in seconds.
_SAME_DOMAIN = 0.001
_SAME_REGION = 0.003
_OTHER_REGION = 0.04

#: How far a longer connect moves what is known; a shorter one replaces it.
_INCREASE_WEIGHT = 0.05


class RoundTrips:
    """The least usual round trip to each failure domain."""

    def __init__(self, domain: str, regions: Mapping[str, str]) -> None:
        self._domain = domain
        self._regions = regions
        self._seconds: dict[str, float] = {}

    def record(self, domain: str, seconds: float) -> None:
        """Take how long a new connection to a failure domain took."""
        known = self._seconds.get(domain, seconds)
        self._seconds[domain] = min(seconds, known + _INCREASE_WEIGHT * (seconds - known))

    def seconds(self, domain: str) -> float:
        """Return the seconds to a failure domain and back."""
        known = self._seconds.get(domain)
        if known is not None:
            return known
        if domain == self._domain:
            return _SAME_DOMAIN
        if self._regions.get(domain) == self._regions.get(self._domain):
            return _SAME_REGION
        return _OTHER_REGION
