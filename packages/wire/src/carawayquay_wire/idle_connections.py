"""The connections of a server that wait for a request, and how they are closed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.socket_closing import shut_down, unacknowledged_bytes
from carawayquay_wire.socket_readiness import is_readable

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_wire.connection_budget import ConnectionBytes
    from carawayquay_wire.lingering import LingeringConnections

__all__ = ["IdleConnections"]

#: Time for which a connection has to be idle before it may be closed in favour of a new one.
_DISPLACE_IDLE_SECONDS = 2.0


@attrs.frozen
class _Idle:
    """A connection that waits for a request.

    :param since: since when, in seconds
    """

    held: ConnectionBytes
    since: float


class IdleConnections:
    """Closes idle connections, each unless a request has arrived on it.

    :param lingering: waits where a client has not received its last response whole
    :param on_end: called with the cause of each close
    """

    def __init__(
        self, lingering: LingeringConnections, on_end: Callable[[ConnectionEnd], None]
    ) -> None:
        self._lingering = lingering
        self._on_end = on_end
        #: In the order in which they became idle.
        self._idle: dict[Any, _Idle] = {}

    def add(self, sock: Any, held: ConnectionBytes) -> None:
        """Note that a connection waits for a request."""
        self._idle[sock] = _Idle(held, time.monotonic())

    def remove(self, sock: Any) -> bool:
        """Forget a connection; return False if it was closed here meanwhile."""
        return self._idle.pop(sock, None) is not None

    async def close_all(self, linger_seconds: float) -> None:
        """Close all, for the end of the server."""
        for sock in list(self._idle):
            await self._close(sock, ConnectionEnd.DRAINED, linger_seconds)

    async def close_older(self, since: float, linger_seconds: float) -> None:
        """Close those that have been idle since a time, in seconds, or longer."""
        for sock in [sock for sock, idle in self._idle.items() if idle.since <= since]:
            await self._close(sock, ConnectionEnd.IDLE, linger_seconds)

    async def displace(self, linger_seconds: float) -> bool:
        """Close the connection that is idle for longest and return whether there was one."""
        idle_since = time.monotonic() - _DISPLACE_IDLE_SECONDS
        for sock, idle in list(self._idle.items()):
            if idle.since > idle_since:
                return False
            await self._close(sock, ConnectionEnd.DISPLACED, linger_seconds)
            if sock not in self._idle:
                return True
        return False

    async def _close(self, sock: Any, cause: ConnectionEnd, linger_seconds: float) -> None:
        """Close an idle connection, unless an unread request is in its receive buffer.

        A request that arrives from then on is not handled, since it could not be answered. The rest
        of the last response still reaches the client.
        """
        if sock not in self._idle or is_readable(sock):
            return
        held = self._idle.pop(sock).held
        self._on_end(cause)
        if unacknowledged_bytes(sock):
            await self._lingering.start(sock, held, linger_seconds)
        else:
            await shut_down(sock)
