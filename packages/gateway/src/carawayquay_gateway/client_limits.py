"""The memory, descriptors and read rate that the clients of each listener of a VM may use."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from carawayquay_wire.connection_budget import ConnectionBudget
from carawayquay_wire.http import HttpLimits

if TYPE_CHECKING:
    from carawayquay.routes import TrafficLimits
    from carawayquay_gateway.settings import GatewaySettings

__all__ = [
    "BODY_SECONDS",
    "SEND_BUFFER_BYTES",
    "ClientListener",
    "configured_limits",
    "new_budget",
    "new_peer_budget",
    "side_limits",
]

_BYTES_IN_MB = 1_000_000

#: Timeout for receiving a body; the caller's own deadline usually comes earlier.
BODY_SECONDS = 60.0

#: Answers a body in too many chunks, which HTTP and the configuration allow, as not run.
_MANY_CHUNKS_STATUS = 503

#: Size of the shortest header: a name of one byte, a colon, and the end of the line.
_MIN_HEADER_BYTES = 4

#: Send buffer of an accepted connection. The kernel doubles it, and would otherwise let it grow to
#: some MB for each client that does not read. A client 6 ms away still gets some 80 Mbit/s.
SEND_BUFFER_BYTES = 64 * 1024

#: Maximum size of the body of a readiness check, a look-up or an admin request, which is ignored.
_MAX_IGNORED_BODY_BYTES = 4096

#: Most connections of a side listener, whatever the descriptors.
_MAX_SIDE_CONNECTIONS = 1000


class ClientListener(enum.Enum):
    """A listener whose clients are not controlled.

    Other VMs' requests have a listener of their own, which takes nothing from these budgets.
    """

    CALLERS = "callers"
    READY = "ready"
    LOOKUPS = "lookups"
    ADMIN = "admin"


#: Shares of the memory for connections. They are fixed, so that none can use that of another; the
#: largest of the side listeners is for lists of objects, which other VMs pull.
_MEMORY_SHARES = {
    ClientListener.CALLERS: 0.7,
    ClientListener.READY: 0.05,
    ClientListener.LOOKUPS: 0.05,
    ClientListener.ADMIN: 0.2,
}

#: Share of the process's memory for the answers that other VMs have not taken.
_PEER_MEMORY_SHARE = 0.15

#: Shares of the process's descriptors for the connections of the side listeners.
_DESCRIPTOR_SHARES = {
    ClientListener.READY: 0.04,
    ClientListener.LOOKUPS: 0.12,
    ClientListener.ADMIN: 0.04,
}


def new_budget(settings: GatewaySettings, listener: ClientListener) -> ConnectionBudget:
    """Return the budget of what the connections of a listener hold."""
    memory = settings.memory_mb * _BYTES_IN_MB * settings.client_memory_share
    return ConnectionBudget(int(memory * _MEMORY_SHARES[listener]), settings.client_address_share)


def configured_limits(listener: HttpLimits, limits: TrafficLimits) -> HttpLimits:
    """Return the limits of the callers' listener under the limits of a configuration.

    The number of headers is bounded by their size alone.
    """
    return attrs.evolve(
        listener,
        header_bytes=limits.header_bytes,
        headers=limits.header_bytes // _MIN_HEADER_BYTES,
        body_bytes=limits.body_bytes,
        body_seconds=BODY_SECONDS,
        header_seconds=limits.header_timeout.total_seconds(),
        idle_seconds=limits.idle_timeout.total_seconds(),
        many_chunks_status=_MANY_CHUNKS_STATUS,
    )


def new_peer_budget(settings: GatewaySettings) -> ConnectionBudget:
    """Return the budget of what the connections for other VMs' requests hold."""
    memory = settings.memory_mb * _BYTES_IN_MB * _PEER_MEMORY_SHARE
    return ConnectionBudget(int(memory), settings.client_address_share)


def side_limits(settings: GatewaySettings, listener: ClientListener) -> HttpLimits:
    """Return the limits of a listener that answers without waiting and reads no bodies."""
    connections = int(settings.descriptors * _DESCRIPTOR_SHARES[listener])
    return HttpLimits(
        body_bytes=_MAX_IGNORED_BODY_BYTES,
        connections=min(connections, _MAX_SIDE_CONNECTIONS),
        min_read_bytes_per_s=settings.min_read_bytes_per_s,
        send_buffer_bytes=SEND_BUFFER_BYTES,
    )
