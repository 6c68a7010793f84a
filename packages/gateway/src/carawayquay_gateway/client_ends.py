"""Counts and logs the connections that this VM ends because of what their clients do."""

from __future__ import annotations

from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING

from carawayquay_wire.connection_ends import ConnectionEnd
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.connection_ends import EndObserver
    from carawayquay_wire.http import HttpResponse

__all__ = ["ClientEnds"]

_log = EventLog("clients")

#: The causes that lie with the clients; the others end connections in normal operation too.
_CLIENT_CAUSES = frozenset(
    {ConnectionEnd.SLOW, ConnectionEnd.MEMORY, ConnectionEnd.REFUSED, ConnectionEnd.DISPLACED}
)

#: Time between two log lines of one cause, since clients may cause any number of ends.
_LOG_INTERVAL = timedelta(seconds=10)


class ClientEnds:
    """Counts the ends of all listeners, and logs each cause at most once in an interval."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._counts: dict[ConnectionEnd, int] = dict.fromkeys(_CLIENT_CAUSES, 0)
        self._logged_at: dict[ConnectionEnd, timedelta] = {}

    def observer(self, listener: str) -> EndObserver:
        """Return the observer of the server of a listener."""
        return partial(self.record, listener)

    def record(self, listener: str, cause: ConnectionEnd, _response: HttpResponse | None) -> None:
        """Count and log an end, if its cause lies with the client."""
        if cause not in _CLIENT_CAUSES:
            return
        self._state.metrics.count(
            "client_connections_ended_total", listener=listener, cause=cause.value
        )
        self._counts[cause] += 1
        now = self._state.clock.now()
        logged_at = self._logged_at.get(cause)
        if logged_at is not None and now - logged_at < _LOG_INTERVAL:
            return
        self._logged_at[cause] = now
        _log.warning(
            Event.CLIENTS_LIMITED, listener=listener, cause=cause.value, total=self._counts[cause]
        )
