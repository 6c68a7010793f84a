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

    ``SLOW`` is a connection whose client read a response below the minimum rate, ``MEMORY`` one
    whose client read slowest when connections held too much memory, ``REFUSED`` one whose request
    was refused for that reason, and ``DISPLACED`` an idle one that was closed for a new one.
    """

    IDLE = "idle"
    DRAINED = "drained"
    CROSSED = "crossed"
    UNDELIVERED = "undelivered"
    SLOW = "slow"
    MEMORY = "memory"
    REFUSED = "refused"
    DISPLACED = "displaced"
