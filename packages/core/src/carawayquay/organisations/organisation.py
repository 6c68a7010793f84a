"""One organisation, as the configuration describes it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from carawayquay.routes import Route

__all__ = ["Organisation", "Quota", "key_digest"]

_DIGEST_BYTES = 16


def key_digest(key: str) -> bytes:
    """Return the digest by which an API key is stored and compared.

    The key itself is not kept, so that it cannot appear in a dump, a log line or an error.
    """
    return hashlib.blake2b(key.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES).digest()


@attrs.frozen
class Quota:
    """The requests that an organisation may send to all VMs together.

    :param rate: requests/s, above 0
    :param burst: requests beyond the rate that may come at once
    """

    rate: float
    burst: float = 0.0


@attrs.frozen
class Organisation:
    """A customer of the services, which its callers name by an API key.

    :param key_digests: digests of its API keys
    :param priority: rank of its requests under overload, 0 is the highest; None if the routes
        decide
    :param quota: None without a limit
    :param allowed_regions: regions whose targets may run its requests, all if empty
    """

    name: str
    key_digests: frozenset[bytes] = attrs.field(default=frozenset(), repr=False)
    priority: int | None = None
    quota: Quota | None = None
    allowed_regions: frozenset[str] = frozenset()

    def restrict(self, route: Route) -> Route | None:
        """Return a route as it applies to this organisation's requests.

        The organisation's priority takes precedence, and the regions of both apply.

        :returns: None if no region is allowed by both
        """
        regions = route.allowed_regions
        if regions and self.allowed_regions:
            regions = regions & self.allowed_regions
            if not regions:
                return None
        priority = route.priority if self.priority is None else self.priority
        allowed = regions or self.allowed_regions
        return attrs.evolve(route, priority=priority, allowed_regions=allowed)
