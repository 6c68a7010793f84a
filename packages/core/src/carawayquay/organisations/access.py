"""Results of checking the API key of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from carawayquay.organisations.organisation import Organisation

__all__ = ["Access", "AnyCaller", "KeyUndecided", "UnknownKey", "Verified"]


@attrs.frozen
class Verified:
    """An organisation holds the key."""

    organisation: Organisation


@attrs.frozen
class AnyCaller:
    """The request needs no key, and belongs to no organisation."""


@attrs.frozen
class UnknownKey:
    """The request carries no key, or one that no organisation holds."""


@attrs.frozen
class KeyUndecided:
    """The key may belong to an organisation that could not be read from the configuration."""


Access = Verified | AnyCaller | UnknownKey | KeyUndecided
