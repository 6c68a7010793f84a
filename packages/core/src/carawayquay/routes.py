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
    "UnreadRoutes",
    "WeightedService",
]


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once, and whether their answers are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


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
        return self.kind is not RouteKind.NON_IDEMPOTENT


@attrs.frozen
class UnreadRoutes:
    """Where a route stands that could not be read, or all routes of a host, or all routes.

    :param host: empty if that could not be read
    :param path_prefix: empty if that could not be read
    :param name: the route's name, empty if that could not be read
    :param every: whether all routes of the host stand there, or of all hosts if it is empty
    """

    host: str = ""
    path_prefix: str = ""
    name: str = ""
    every: bool = False

    @property
    def place(self) -> tuple[str, str]:
        """The host and the prefix whose requests are concerned."""
        return self.host.lower(), self.path_prefix

    def replaced(self, route: Route) -> bool:
        """Return whether a route of an earlier version is the one that stood here."""
        if self.host and self.host.lower() != route.host.lower():
            return False
        if self.every:
            return True
        if self.path_prefix:
            return bool(self.host) and self.path_prefix == route.path_prefix
        return bool(self.name) and self.name == route.name


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
        unread: tuple[UnreadRoutes, ...] = (),
    ) -> None:
        self.version = version
        self.limits = limits
        self.routes = routes
        self.unread = unread
        self._services = {service.name: service for service in services}
        self._by_host: dict[str, dict[str, Route | UnreadRoutes]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        for place in unread:
            host, prefix = place.place
            self._by_host.setdefault(host, {}).setdefault(prefix, place)

    def service(self, name: str) -> ServiceSpec | None:
        """Return what the configuration says of a service, or None if it names no such one."""
        return self._services.get(name)

    @property
    def services(self) -> tuple[ServiceSpec, ...]:
        """What the configuration says of each service."""
        return tuple(self._services.values())

    @property
    def service_names(self) -> tuple[str, ...]:
        """The names of the services."""
        return tuple(self._services)

    def find(self, host: str, path: str) -> Route | UnreadRoutes | None:
        """Return the route with the longest prefix of a path, or None if there is none.

        Prefixes end with a slash, so a look-up tries the path up to each of its slashes. Where the
        route could not be read, or where no route is found and one that could not be read may be
        meant, the place of that one is returned.

        :param host: with or without a port
        :param path: with or without a query
        """
        prefixes = self._by_host.get(host.rpartition(":")[0].lower() if ":" in host else host)
        if prefixes is None:
            prefixes = self._by_host.get(host.partition(":")[0].lower())
        path = path.partition("?")[0]
        end = len(path) if prefixes is not None else 0
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        unread = prefixes.get("") if prefixes is not None else None
        return unread or self._by_host.get("", {}).get("")
