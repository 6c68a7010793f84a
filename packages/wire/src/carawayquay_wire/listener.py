"""Accepts connections, whatever goes wrong with a single one of them."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Any

import curio
from curio.network import tcp_server_socket

from carawayquay.errors import ListenError
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.membership import Address

__all__ = ["Listener"]

_log = EventLog("listener")

_BACKLOG = 512
#: After a failed accept, for instance without a free file descriptor, others get time to end.
_ACCEPT_RETRY_SECONDS = 0.1
_PER_CONNECTION_ERRNOS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EPERM})

#: Time in which the connections that wait are accepted before a listener closes.
_BACKLOG_DRAIN_SECONDS = 0.05


class Listener:
    """Listens at an address and serves each connection as a task.

    :param serve: serves one connection until it ends
    """

    def __init__(
        self, address: Address, serve: Callable[[Any, tuple[str, int]], Awaitable[None]]
    ) -> None:
        self._address = address
        self._serve = serve
        self._sock: Any = None
        self._accept_task: Any = None

    async def run(self) -> None:
        """Accept connections until :meth:`close` or cancelled.

        :raises ListenError: if the address can't be listened at
        """
        host, port = self._address.host, self._address.port
        try:
            self._sock = tcp_server_socket(host, port, backlog=_BACKLOG)
        except OSError as error:
            raise ListenError(f"cannot listen at {self._address}: {error.strerror}") from error
        self._accept_task = await curio.spawn(self._accept_loop)
        async with self._sock:
            try:
                await self._accept_task.wait()
            finally:
                await self._accept_task.cancel()
            async with curio.ignore_after(_BACKLOG_DRAIN_SECONDS):
                await self._accept_loop()

    async def run_forever(self) -> None:
        """Accept connections; after :meth:`close`, wait to be cancelled.

        :raises ListenError: if the address can't be listened at
        """
        await self.run()
        await curio.Event().wait()

    async def close(self) -> None:
        """Accept no more connections but those that wait already; those that are open go on.

        A connection that its caller holds for open would be reset, with what was sent on it.

        The task that accepts is ended before its socket is closed: a descriptor that is closed
        under a waiting task stays registered with the event loop, which fails at its next use.
        """
        if self._accept_task is not None:
            await self._accept_task.cancel()

    async def _accept_loop(self) -> None:
        while True:
            try:
                sock, peer = await self._sock.accept()
            except OSError as error:
                await self._handle_accept_error(error)
                continue
            await curio.spawn(self._serve_one, sock, peer, daemon=True)

    async def _handle_accept_error(self, error: OSError) -> None:
        if error.errno in _PER_CONNECTION_ERRNOS:
            return
        _log.error(Event.ACCEPT_FAILED, address=self._address)
        await curio.sleep(_ACCEPT_RETRY_SECONDS)

    async def _serve_one(self, sock: Any, peer: tuple[str, int]) -> None:
        try:
            async with sock:
                await self._serve(sock, peer)
        except OSError:
            pass
        except Exception:
            _log.error(Event.HANDLER_FAILED, address=self._address, peer=peer[0])
