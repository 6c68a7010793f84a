"""Checks the API key of a request, and applies its organisation to request and route."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.errors import ErrorKind
from carawayquay.organisations import AnyCaller, KeyUndecided, UnknownKey, Verified
from carawayquay_platform import headers

if TYPE_CHECKING:
    from carawayquay.forwarding import CallerRequest
    from carawayquay.organisations import Access, Organisation, Organisations
    from carawayquay.routes import Configuration, Route

__all__ = ["Authenticated", "AuthenticationFailed", "authenticate"]


@attrs.frozen
class Authenticated:
    """A request that may be forwarded.

    :param call: the request without its API key, with the name of its organisation
    :param route: the route as it applies to the organisation
    :param organisation: None if the request belongs to none
    """

    call: CallerRequest
    route: Route
    organisation: Organisation | None = None


@attrs.frozen
class AuthenticationFailed:
    """A request that must not be forwarded.

    :param reason: for the log; names no API key
    """

    kind: ErrorKind
    reason: str


def authenticate(
    call: CallerRequest, route: Route, configuration: Configuration, verified: str = ""
) -> Authenticated | AuthenticationFailed:
    """Decide whose request it is, and whether it may be forwarded.

    Without organisations in the configuration, a request is forwarded as it is.

    :param verified: name of the organisation for which another VM checked the API key, empty if
        none did
    """
    organisations = configuration.organisations
    if organisations is None:
        return Authenticated(headers.identify_caller(call, verified) if verified else call, route)
    version = configuration.version
    match _access(call, route, organisations, verified):
        case Verified(organisation):
            return _apply(organisation, call, route, configuration)
        case AnyCaller():
            return Authenticated(headers.identify_caller(call, ""), route)
        case KeyUndecided():
            reason = f"an organisation in configuration version {version} is invalid"
            return AuthenticationFailed(ErrorKind.UNREAD_ORGANISATION, reason)
        case UnknownKey():
            reason = f"no organisation in configuration version {version} holds the API key"
            return AuthenticationFailed(ErrorKind.UNKNOWN_KEY, reason)


def _access(
    call: CallerRequest, route: Route, organisations: Organisations, verified: str
) -> Access:
    """Return whose request it is; an organisation that was verified may have been removed since."""
    if not verified:
        return organisations.check(call.api_key, public=route.public)
    organisation = organisations.get(verified)
    return UnknownKey() if organisation is None else Verified(organisation)


def _apply(
    organisation: Organisation, call: CallerRequest, route: Route, configuration: Configuration
) -> Authenticated | AuthenticationFailed:
    restricted = configuration.restricted(route, organisation)
    if restricted is None:
        reason = f'route "{route.name}" and organisation "{organisation.name}" share no region'
        return AuthenticationFailed(ErrorKind.REGIONS_EXCLUDED, reason)
    identified = headers.identify_caller(call, organisation.name)
    return Authenticated(identified, restricted, organisation)
