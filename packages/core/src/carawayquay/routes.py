"""The routing configuration: routes from hosts and path prefixes to services, and limits."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.organisations import Organisation, Organisations

__all__ = [
    "Configuration",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "TrafficLimits",
    "UnreadRoutes",
    "WeightedService",
]


#: What an organisation's view of a route depends on: host, path prefix, priority and regions.
_Restriction = tuple[str, str, int | None, frozenset[str]]


class RouteKind(enum.Enum):
    """Whether requests of a route are idempotent, and whether their answers are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@attrs.frozen
class WeightedService:
    """A service that gets a weighted share of a route's requests.

    :param weight: its share, relative to the sum of the weights of the route
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """The rules for requests to one host with one path prefix.

    :param timeout: maximum time until a caller gets an answer
    :param target_latency: latency up to which an answer is of full use to the caller
    :param priority: rank under overload, 0 is the highest
    :param max_attempts: maximum number of targets to which one request is sent
    :param sticky: whether a target is faster for objects that it handled recently
    :param allowed_regions: regions whose targets may be used, all if empty
    :param public: whether its requests need no API key where the configuration has organisations
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
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


@attrs.frozen
class UnreadRoutes:
    """The place of an invalid route, of all routes of a host, or of all routes.

    :param host: empty if invalid
    :param path_prefix: empty if invalid
    :param name: name of the route, empty if invalid
    :param every: whether it covers all routes of the host, or of all hosts if the host is empty
    """

    host: str = ""
    path_prefix: str = ""
    name: str = ""
    every: bool = False

    @property
    def place(self) -> tuple[str, str]:
        """The host, in lower case, and the path prefix of the affected requests."""
        return self.host.lower(), self.path_prefix

    def covers(self, route: Route) -> bool:
        """Return whether a route of an earlier version was at this place."""
        if self.host and self.host.lower() != route.host.lower():
            return False
        if self.every:
            return True
        if self.path_prefix:
            return bool(self.host) and self.path_prefix == route.path_prefix
        return bool(self.name) and self.name == route.name


@attrs.frozen
class ServiceSpec:
    """The configuration of one service.

    :param max_connections: maximum connections of one target, over all its clients
    :param cold_start: time after its start during which a target is cold
    :param cold_rate: rate in requests/s that a cold target tolerates
    """

    name: str
    max_connections: int
    cold_start: timedelta
    cold_rate: float


@attrs.frozen
class TrafficLimits:
    """Size limits and timeouts of callers' connections.

    :param header_bytes: maximum size of request line and headers together
    :param body_bytes: maximum size of the body
    :param header_timeout: maximum time until the headers are complete
    :param idle_timeout: maximum time for which a connection may be idle
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
        organisations: Organisations | None = None,
    ) -> None:
        self.version = version
        #: None if the configuration has no organisations, so that requests need no API keys.
        self.organisations = organisations
        self.limits = limits
        self.routes = routes
        self.unread = unread
        self._services = {service.name: service for service in services}
        self._by_host: dict[str, dict[str, Route | UnreadRoutes]] = {}
        self._restricted: dict[_Restriction, Route | None] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        for place in unread:
            host, prefix = place.place
            self._by_host.setdefault(host, {}).setdefault(prefix, place)

    def restricted(self, route: Route, organisation: Organisation) -> Route | None:
        """Return a route as it applies to an organisation; see :meth:`Organisation.restrict`."""
        place = (route.host, route.path_prefix)
        restriction = (*place, organisation.priority, organisation.allowed_regions)
        if restriction not in self._restricted:
            self._restricted[restriction] = organisation.restrict(route)
        return self._restricted[restriction]

    def service(self, name: str) -> ServiceSpec | None:
        """Return the configuration of a service, or None if it is not configured."""
        return self._services.get(name)

    @property
    def services(self) -> tuple[ServiceSpec, ...]:
        """The configurations of all services."""
        return tuple(self._services.values())

    @property
    def service_names(self) -> tuple[str, ...]:
        """The names of all configured services."""
        return tuple(self._services)

    def find(self, host: str, path: str) -> Route | UnreadRoutes | None:
        """Return the route with the longest matching path prefix, or None if none matches.

        Prefixes end with a slash, so the path is tried up to each of its slashes. If the matching
        route is invalid, or none matches but an invalid one might, its place is returned.

        :param host: with or without a port, and with or without the dot of the root domain
        :param path: with or without a query
        """
        prefixes = self._by_host.get(host.rpartition(":")[0].lower() if ":" in host else host)
        if prefixes is None:
            name = host.partition(":")[0].lower()
            prefixes = self._by_host.get(name) or self._by_host.get(name.removesuffix("."))
        path = path.partition("?")[0]
        end = len(path) if prefixes is not None else 0
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        unread = prefixes.get("") if prefixes is not None else None
        return unread or self._by_host.get("", {}).get("")
