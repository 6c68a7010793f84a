"""HTTP/1.1 client on h11 and curio, with a pool of keep-alive connections and no pipelining."""

from __future__ import annotations

import socket
import time
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import curio

from carawayquay.clock import MonotonicClock
from carawayquay_wire.body_budget import BodyBudget
from carawayquay_wire.dialing import dial
from carawayquay_wire.http_connection import HttpConnection, HttpError

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.clock import Clock
    from carawayquay.membership import Address
    from carawayquay_wire.dialing import Dialer
    from carawayquay_wire.http import HttpRequest, HttpResponse
    from carawayquay_wire.http_connection import ResponseMatcher

__all__ = ["MAX_IDLE_TIME", "HttpClient", "HttpConnection", "HttpError"]

_MAX_IDLE_PER_SERVER = 32
_DIAL_SECONDS = 1.0

#: TCP keep-alive and user timeout, with which a connection to a dead host fails in about 3 s.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MILLISECONDS = 2000

#: A connection that was idle for longer is not reused.
MAX_IDLE_TIME = timedelta(seconds=20)


class HttpClient:
    """HTTP client with a pool of keep-alive connections to each server.

    :param max_body_bytes: the limit of a response's body
    :param clock: measures how long connections were idle
    :param on_dial: called after each successful dial with the address and the seconds it took
    :param dial_seconds: timeout for opening a connection
    :param body_budget: the memory that response bodies share while they are received
    :param dialer: opens a connection to an address
    """

    def __init__(
        self,
        max_body_bytes: int = 4 * 1024 * 1024,
        clock: Clock | None = None,
        on_dial: Callable[[Address, float], None] | None = None,
        dial_seconds: float = _DIAL_SECONDS,
        body_budget: BodyBudget | None = None,
        dialer: Dialer = dial,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._body_budget = body_budget or BodyBudget(max_body_bytes)
        self._dialer = dialer
        self._abandonable: set[HttpConnection] = set()
        self._clock = clock or MonotonicClock()
        self._on_dial = on_dial
        self._dial_seconds = dial_seconds
        self._idle: dict[Address, list[HttpConnection]] = {}

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        seconds: float,
        *,
        reused_connection_seconds: float | None = None,
        fresh: bool = False,
        max_idle: timedelta = MAX_IDLE_TIME,
        response_matches: ResponseMatcher | None = None,
        abandonable: bool = False,
        max_body_bytes: int | None = None,
    ) -> HttpResponse:
        """Send a request to a server and return its response.

        :param seconds: timeout of the exchange, opening a connection included
        :param reused_connection_seconds: timeout on a reused connection, if lower
        :param fresh: whether to open a new connection even if an idle one is available
        :param max_idle: how long a reused connection may have been idle
        :param response_matches: as for :meth:`HttpConnection.exchange`
        :param abandonable: whether :meth:`abandon` ends the exchange
        :param max_body_bytes: the limit of the response's body, if lower than that of all
        :raises HttpError: if no complete response within the limits arrives in time
        """
        connection = None if fresh else await self._take_idle(address, max_idle)
        if connection is not None and reused_connection_seconds is not None:
            seconds = min(seconds, reused_connection_seconds)
        completed = False
        try:
            async with curio.timeout_after(seconds):
                if connection is None:
                    connection = await self._dial(address)
                if abandonable:
                    self._abandonable.add(connection)
                response = await connection.exchange(request, response_matches, max_body_bytes)
                completed = True
                return response
        except curio.TaskTimeout:
            reason = f"{address}: no response within {seconds:.3f} s"
            fresh_connection = connection is None or connection.fresh
            raise HttpError(
                reason, sent=connection is not None, fresh=fresh_connection, timed_out=True
            ) from None
        finally:
            if connection is not None:
                self._abandonable.discard(connection)
                if completed and connection.reusable:
                    await self._return_to_pool(address, connection)
                else:
                    await connection.close()

    async def abandon(self) -> None:
        """End the abandonable exchanges, which fail as if their connections broke."""
        for connection in list(self._abandonable):
            await connection.shut_down()

    async def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()

    async def close_idle(self, max_idle: timedelta) -> None:
        """Close the connections that have been idle for longer than a time."""
        idle_since = self._clock.now() - max_idle
        for address, connections in list(self._idle.items()):
            old = [it for it in connections if it.idle_since <= idle_since]
            self._idle[address] = [it for it in connections if it.idle_since > idle_since]
            if not self._idle[address]:
                del self._idle[address]
            for connection in old:
                await connection.close()

    async def drop_idle(self, address: Address) -> None:
        """Close the idle connections to a server, after a failure that may concern them too."""
        for connection in self._idle.pop(address, ()):
            await connection.close()

    async def _take_idle(self, address: Address, max_idle: timedelta) -> HttpConnection | None:
        """Remove and return the most recently used idle connection, None if none may be reused.

        Close those that are stale or were idle for longer than *max_idle*.
        """
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if self._clock.now() - connection.idle_since <= max_idle and not connection.is_stale():
                return connection
            await connection.close()
        return None

    async def _dial(self, address: Address) -> HttpConnection:
        started = time.monotonic()
        try:
            sock = await curio.timeout_after(self._dial_seconds, self._dialer, address)
        except curio.TaskTimeout as error:
            reason = f"cannot connect to {address} within {self._dial_seconds:.3f} s"
            raise HttpError(reason, sent=False, timed_out=True) from error
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            reason = f"cannot connect to {address}: {error}"
            raise HttpError(reason, sent=False, refused=refused) from error
        _enable_keepalive(sock)
        if self._on_dial is not None:
            self._on_dial(address, time.monotonic() - started)
        return HttpConnection(sock, address, self._max_body_bytes, self._body_budget)

    async def _return_to_pool(self, address: Address, connection: HttpConnection) -> None:
        connection.idle_since = self._clock.now()
        idle = self._idle.setdefault(address, [])
        if len(idle) < _MAX_IDLE_PER_SERVER:
            idle.append(connection)
        else:
            await connection.close()


def _enable_keepalive(sock: Any) -> None:
    """Let the kernel close a connection whose other end no longer acknowledges."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MILLISECONDS)
