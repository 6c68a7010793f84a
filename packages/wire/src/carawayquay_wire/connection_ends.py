"""The causes for which an HTTP server ends a caller's connection, apart from the caller's own."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_wire.http import HttpResponse

    EndObserver = Callable[["ConnectionEnd", HttpResponse | None], None]

__all__ = ["ConnectionEnd"]


class ConnectionEnd(enum.Enum):
    """Why a server ended a connection before its caller did.

    ``CROSSED`` is an idle connection on which a request arrived while it was being closed; the
    request is not handled. ``UNDELIVERED`` is a connection on which a response could not be sent.
    """

    IDLE = "idle"
    DRAINED = "drained"
    CROSSED = "crossed"
    UNDELIVERED = "undelivered"
