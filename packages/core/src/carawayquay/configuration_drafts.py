"""Builds a configuration from the valid parts of a version and from the previous configuration.

An invalid part does not affect the others: its last valid version stays in force. If there is
none, requests that an invalid route may match are refused as ``UNREAD_ROUTE``, which may be
retried, and not as ``UNKNOWN_ROUTE``.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.organisations import Organisation, Organisations
from carawayquay.routes import (
    Configuration,
    Route,
    ServiceSpec,
    TrafficLimits,
    UnreadRoutes,
)

if TYPE_CHECKING:
    from carawayquay.remarks import Remark

__all__ = [
    "DEFAULT_LIMITS",
    "ConfigurationDraft",
    "OrganisationsDraft",
    "build_configuration",
]

#: Limits that apply until valid ones were read.
DEFAULT_LIMITS = TrafficLimits(
    header_bytes=16_384,
    body_bytes=1_048_576,
    header_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(seconds=15),
)

#: Maximum connections to one target if the configured value is invalid.
_DEFAULT_CONNECTIONS = 64

#: Time after its start during which a target is cold, if the configured value is invalid.
_DEFAULT_COLD_START = timedelta(seconds=3)


@attrs.frozen
class OrganisationsDraft:
    """The organisations of one version of the configuration.

    :param read: the valid ones
    :param unread: names of the invalid ones, empty for one whose name is invalid
    :param every: whether the list as a whole is invalid
    """

    read: tuple[Organisation, ...] = ()
    unread: tuple[str, ...] = ()
    every: bool = False


@attrs.frozen
class ConfigurationDraft:
    """The valid parts of one version of the configuration.

    :param version: None if it is invalid
    :param routes: the valid routes
    :param unread: the places of invalid routes
    :param services: the valid fields of each service, by attribute
    :param limits: the valid limits, by attribute
    :param remarks: the invalid parts, with the number of occurrences
    :param organisations: None if the version has none
    """

    version: int | None
    routes: tuple[Route, ...]
    unread: tuple[UnreadRoutes, ...]
    services: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    remarks: tuple[tuple[Remark, int], ...] = ()
    organisations: OrganisationsDraft | None = None


def build_configuration(
    draft: ConfigurationDraft, before: Configuration | None = None
) -> Configuration:
    """Return the configuration of a draft, completed from the previous one.

    :param before: the configuration in force, whose parts replace invalid ones of the draft
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
        organisations=_organisations(draft.organisations, before),
    )


def _retained_routes(draft: ConfigurationDraft, before: Configuration) -> tuple[Route, ...]:
    """Return the previous routes whose new versions are invalid."""
    read = {(route.host.lower(), route.path_prefix) for route in draft.routes}
    return tuple(
        route
        for route in before.routes
        if (route.host.lower(), route.path_prefix) not in read
        and any(place.covers(route) for place in draft.unread)
    )


def _services(draft: ConfigurationDraft, before: Configuration | None) -> tuple[ServiceSpec, ...]:
    services = []
    for name, read in draft.services.items():
        known = before.service(name) if before is not None else None
        base = known or ServiceSpec(name, _DEFAULT_CONNECTIONS, _DEFAULT_COLD_START, 0.0)
        services.append(attrs.evolve(base, **read))
    if before is not None and not services:
        # A draft without services means that the whole list was invalid.
        return before.services
    return tuple(services)


def _organisations(
    draft: OrganisationsDraft | None, before: Configuration | None
) -> Organisations | None:
    """Return the organisations of a draft, with the previous versions of the invalid ones."""
    if draft is None:
        return None
    known = before.organisations if before is not None else None
    if draft.every:
        return known or Organisations((), complete=False)
    retained = [None if known is None else known.get(name) for name in draft.unread]
    return Organisations(
        (*draft.read, *(organisation for organisation in retained if organisation is not None)),
        complete=None not in retained,
    )
