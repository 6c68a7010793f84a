"""TCP listener that keeps accepting when a single connection fails."""

from __future__ import annotations

import errno
import itertools
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
#: Connections that are accepted before other tasks have their turn: accepting one that is there
#: does not wait.
_ACCEPTED_PER_TURN = 32
#: Pause after a failed accept. If no file descriptor was free, open connections may end meanwhile.
_ACCEPT_RETRY_SECONDS = 0.1
#: Errors of accept that concern the one connection and not the listening socket.
_PER_CONNECTION_ERRNOS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EPERM})

#: How long a closing listener accepts the connections that are left in its backlog.
_BACKLOG_DRAIN_SECONDS = 0.05


class Listener:
    """Listens at an address and serves each connection in its own task.

    :param serve: serves one connection until it ends, given its socket and the peer's address
    """

    def __init__(
        self, address: Address, serve: Callable[[Any, tuple[str, int]], Awaitable[None]]
    ) -> None:
        self._address = address
        self._serve = serve
        self._sock: Any = None
        self._accept_task: Any = None
        self._closed = curio.Event()

    async def run(self) -> None:
        """Accept connections until :meth:`close` is called or the task is cancelled.

        :raises ListenError: if the listening socket cannot be opened
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
        await self._closed.set()

    async def run_forever(self) -> None:
        """Accept connections; after :meth:`close`, wait for cancellation.

        :raises ListenError: if the listening socket cannot be opened
        """
        await self.run()
        await curio.Event().wait()

    async def close(self) -> None:
        """Make :meth:`run` accept the backlog, and return then; open connections continue.

        If the socket were closed at once, the kernel would reset the connections in the backlog,
        which their callers see as established and may have sent requests on.

        The accepting task is cancelled before its socket is closed: a descriptor that is closed
        while a task waits on it stays registered with the event loop, which fails on its reuse.
        """
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._closed.wait()

    async def _accept_loop(self) -> None:
        for number in itertools.count(1):
            if number % _ACCEPTED_PER_TURN == 0:
                await curio.sleep(0)
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
