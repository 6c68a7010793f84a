"""Makes a configuration of what could be read of its version and of the version before.

A part that can't be read costs only itself: its last good version stays, and where there is none,
requests that it may concern are refused as not run, rather than as unknown.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.routes import (
    Configuration,
    Route,
    ServiceSpec,
    TrafficLimits,
    UnreadRoutes,
)

if TYPE_CHECKING:
    from carawayquay.remarks import Remark

__all__ = ["DEFAULT_LIMITS", "ConfigurationDraft", "build_configuration"]

#: Limits that hold where none could be read.
DEFAULT_LIMITS = TrafficLimits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(seconds=15),
)

#: Connections to one target where the configuration's figure could not be read.
_DEFAULT_CONNECTIONS = 64

#: How long a target counts as cold after its start where that could not be read.
_DEFAULT_COLD_START = timedelta(seconds=3)


@attrs.frozen
class ConfigurationDraft:
    """What could be read of one version of the configuration.

    :param version: None if it could not be read
    :param unread: where routes stand that could not be read
    :param services: the fields of each service that could be read, by attribute
    :param limits: the limits that could be read, by attribute
    :param remarks: what was not understood, with how often it was met
    """

    version: int | None
    routes: tuple[Route, ...]
    unread: tuple[UnreadRoutes, ...]
    services: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    remarks: tuple[tuple[Remark, int], ...] = ()


def build_configuration(
    draft: ConfigurationDraft, before: Configuration | None = None
) -> Configuration:
    """Return the configuration that follows one that was in force.

    :param before: the configuration whose parts stay where the draft's could not be read
    """
    version = draft.version
    if version is None:
        version = before.version if before is not None else 0
    retained = _retained_routes(draft, before) if before is not None else ()
    found = {(route.host.lower(), route.path_prefix) for route in retained}
    return Configuration(
        version=version,
        routes=(*draft.routes, *retained),
        services=_services(draft, before),
        limits=attrs.evolve(DEFAULT_LIMITS if before is None else before.limits, **draft.limits),
        unread=tuple(place for place in draft.unread if place.place not in found),
    )


def _retained_routes(draft: ConfigurationDraft, before: Configuration) -> tuple[Route, ...]:
    """Return the routes of the version before that stand where one could not be read."""
    read = {(route.host.lower(), route.path_prefix) for route in draft.routes}
    return tuple(
        route
        for route in before.routes
        if (route.host.lower(), route.path_prefix) not in read
        and any(place.replaced(route) for place in draft.unread)
    )


def _services(draft: ConfigurationDraft, before: Configuration | None) -> tuple[ServiceSpec, ...]:
    services = []
    for name, read in draft.services.items():
        known = before.service(name) if before is not None else None
        base = known or ServiceSpec(name, _DEFAULT_CONNECTIONS, _DEFAULT_COLD_START, 0.0)
        services.append(attrs.evolve(base, **read))
    if before is not None and not services:
        # No service at all is what a list that can't be read looks like.
        return before.services
    return tuple(services)
