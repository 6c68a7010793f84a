"""The daemon's interface for messages from other entry VMs."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayquay.errors import FrameError
from carawayquay.requests import Forward, Purpose
from carawayquay_wire.links import serve_link

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquayd.admission import AdmissionController
    from carawayquayd.state import NodeState

__all__ = ["PeerApi"]


class PeerApi:
    """Dispatches each message from another entry VM to the handler of its type."""

    def __init__(self, state: NodeState, admission: AdmissionController) -> None:
        self._state = state
        self._running = 0
        self._admission = admission
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {Forward: self._forward}
        self._booking_handler: Callable[[Forward], Awaitable[Any]] | None = None

    @property
    def running(self) -> int:
        """The number of requests in flight here for other entry VMs."""
        return self._running

    def register(self, message: type, handler: Callable[[Any], Awaitable[Any]]) -> None:
        """Register the handler of one type of message."""
        self._handlers[message] = handler

    def register_booking(self, book: Callable[[Forward], Awaitable[Any]]) -> None:
        """Register the handler of requests whose key has to be claimed before they run."""
        self._booking_handler = book

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection from another entry VM until it closes."""
        await serve_link(sock, self.handle, self._state.clock)

    async def handle(self, message: Any) -> Any:
        """Return the reply to a message.

        :raises RequestError: if the message is refused
        :raises FrameError: if no handler is registered for its type
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise FrameError(f"no handler for {type(message).__name__} messages")
        return await handler(message)

    async def _forward(self, message: Forward) -> Any:
        self._running += 1
        try:
            if message.purpose is Purpose.BOOK and self._booking_handler is not None:
                return await self._booking_handler(message)
            return await self._admission.run(message, timedelta(milliseconds=message.deadline_ms))
        finally:
            self._running -= 1
