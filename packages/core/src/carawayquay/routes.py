"""Routes from hosts and paths to services, as one version of the configuration gives them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = [
    "Configuration",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "TrafficLimits",
    "WeightedService",
]


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@attrs.frozen
class WeightedService:
    """A service that takes a part of a route's requests.

    :param weight: its part, relative to the sum over the route
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """What happens to the requests of one host whose path begins with a prefix.

    :param timeout: the longest time that a caller is kept waiting
    :param target_latency: the time within which an answer is of full use to its caller
    :param priority: the rank under overload, 0 the highest
    :param max_attempts: the number of targets that may get one caller's request
    :param sticky: whether a target that handled an object lately handles it faster
    :param allowed_regions: the regions whose targets may be used; all if empty
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout: timedelta
    target_latency: timedelta
    priority: int = 0
    max_attempts: int = 1
    sticky: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class ServiceSpec:
    """What the configuration says of one service.

    :param max_connections: connections that one of its targets takes from all callers together
    :param cold_start: how long a target stays cold after its start
    :param cold_rate: requests/s that a cold target tolerates
    """

    name: str
    max_connections: int
    cold_start: timedelta
    cold_rate: float


@attrs.frozen
class TrafficLimits:
    """What a caller may send, and how long it may take or stay idle.

    :param header_bytes: request line and headers together
    :param body_bytes: whole body
    """

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


class Configuration:
    """One version of the configuration, with its routes indexed by host."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: TrafficLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.routes = routes
        self._services = {service.name: service for service in services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def service(self, name: str) -> ServiceSpec | None:
        """Return what the configuration says of a service, or None if it names no such one."""
        return self._services.get(name)

    @property
    def service_names(self) -> tuple[str, ...]:
        """The names of the services."""
        return tuple(self._services)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None if there is none.

        Prefixes end with a slash, so a look-up tries the path up to each of its slashes.

        :param host: with or without a port
        :param path: with or without a query
        """
        prefixes = self._by_host.get(host.rpartition(":")[0].lower() if ":" in host else host)
        if prefixes is None:
            prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
