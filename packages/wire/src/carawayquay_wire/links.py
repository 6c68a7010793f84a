"""Links between entry VMs: TCP connections that multiplex concurrent calls."""

from __future__ import annotations

import itertools
import socket
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.errors import ErrorKind, FrameError, LinkError, RequestError
from carawayquay.requests import Refused
from carawayquay_wire import codec
from carawayquay_wire.dialing import dial
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.frames import Frame, FrameReader, Role, encode_frame

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.clock import Clock
    from carawayquay.membership import Address

    Handler = Callable[[Any], Awaitable[Any]]

__all__ = ["MAX_CONCURRENT_CALLS", "MAX_QUEUED_BYTES", "Link", "LinkPool", "serve_link"]

_log = EventLog("links")

#: Message code of pings and cancel frames, which carry no message.
_PING_CODE = 0
_PING_INTERVAL = timedelta(seconds=1)
_FAILURE_TIMEOUT = timedelta(seconds=3)
_DIAL_TIMEOUT = timedelta(seconds=1)
_READ_BYTES = 65536

#: Limit of the send queue of one link.
MAX_QUEUED_BYTES = 16 * 1024 * 1024

#: Concurrency limit of the calls that one link handles for the other end. Above it, calls are
#: refused and one-way messages dropped.
MAX_CONCURRENT_CALLS = 1024


class Link:
    """One connection to another process; either end may call the other.

    Both ends send pings. A link that receives nothing for the failure timeout of three seconds is
    closed, and all its pending calls fail.

    :param handler: handles the calls and one-way messages of the other end
    """

    def __init__(self, sock: Any, handler: Handler, clock: Clock) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._handler = handler
        self._clock = clock
        self._send_queue: curio.Queue = curio.Queue()
        self._queued_bytes = 0
        self._call_ids = itertools.count(1)
        self._pending_calls: dict[int, _PendingCall] = {}
        self._running_handlers: dict[int, Any] = {}
        self._last_seen = clock.now()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the link has been closed."""
        return self._closed

    async def run(self) -> None:
        """Send and receive frames until the connection ends, then fail all pending calls."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._read)
                await group.spawn(self._write)
                await group.spawn(self._monitor_liveness)
        finally:
            await self.close()

    async def call(self, message: Any, timeout: timedelta, *, cancel: bool = True) -> Any:
        """Send a message and return the other end's reply.

        :param timeout: how long to wait for the reply
        :param cancel: whether to cancel the other end's handler on timeout or cancellation
        :raises RequestError: if the other end refuses the call
        :raises LinkError: if the link fails or no reply arrives within the timeout
        :raises FrameError: if the message is larger than a frame
        """
        if self._closed:
            raise LinkError("link is closed", sent=False)
        call_id = next(self._call_ids)
        pending_call = _PendingCall()
        self._pending_calls[call_id] = pending_call
        try:
            await self._enqueue(
                Frame(codec.message_code(message), Role.CALL, call_id, codec.encode(message))
            )
            await curio.timeout_after(timeout.total_seconds(), pending_call.completed.wait)
        except curio.TaskTimeout:
            await self._cancel_remote_handler(call_id, cancel=cancel)
            raise LinkError(f"no reply within {timeout}", sent=True) from None
        except curio.CancelledError:
            await self._cancel_remote_handler(call_id, cancel=cancel)
            raise
        finally:
            self._pending_calls.pop(call_id, None)
        if pending_call.reply is None:
            raise LinkError("link closed before the reply arrived", sent=True)
        if isinstance(pending_call.reply, Refused):
            raise _refusal_error(pending_call.reply)
        return pending_call.reply

    async def cast(self, message: Any) -> None:
        """Send a one-way message.

        :raises LinkError: if the link is closed or its send queue is full
        :raises FrameError: if the message is larger than a frame
        """
        if self._closed:
            raise LinkError("link is closed", sent=False)
        await self._enqueue(Frame(codec.message_code(message), Role.CAST, 0, codec.encode(message)))

    async def close(self) -> None:
        """Close the connection, fail all pending calls and cancel the running handlers."""
        if self._closed:
            return
        self._closed = True
        for pending_call in self._pending_calls.values():
            await pending_call.completed.set()
        for task in list(self._running_handlers.values()):
            await task.cancel(blocking=False)
        with suppress(OSError):
            await self._sock.close()

    async def _enqueue(self, frame: Frame) -> None:
        """Queue a frame without waiting, so that a peer that does not read blocks no caller.

        :raises LinkError: if the send queue would exceed ``MAX_QUEUED_BYTES``
        :raises FrameError: if the payload is larger than ``MAX_FRAME_BYTES``
        """
        data = encode_frame(frame)
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            raise LinkError(f"send queue is full: {self._queued_bytes} bytes queued", sent=False)
        self._queued_bytes += len(data)
        await self._send_queue.put(data)

    async def _cancel_remote_handler(self, call_id: int, *, cancel: bool) -> None:
        """Send a cancel frame for a call, if *cancel* is set and the link is open."""
        if cancel and not self._closed:
            with suppress(LinkError):
                await self._enqueue(Frame(_PING_CODE, Role.CANCEL, call_id, b""))

    async def _write(self) -> None:
        with suppress(OSError):
            while True:
                data = await self._send_queue.get()
                await self._sock.sendall(data)
                self._queued_bytes -= len(data)

    async def _read(self) -> None:
        reader = FrameReader()
        try:
            while data := await self._sock.recv(_READ_BYTES):
                self._last_seen = self._clock.now()
                for frame in reader.feed(data):
                    await self._receive(frame)
        except FrameError as error:
            _log.warning(Event.LINK_BROKEN, reason=error)
        except OSError:
            pass

    async def _receive(self, frame: Frame) -> None:
        match frame.role:
            case Role.CANCEL:
                task = self._running_handlers.pop(frame.call_id, None)
                if task is not None:
                    await task.cancel(blocking=False)
            case Role.REPLY:
                pending_call = self._pending_calls.get(frame.call_id)
                if pending_call is not None:
                    pending_call.reply = codec.decode(frame.code, frame.payload)
                    await pending_call.completed.set()
            case _ if frame.code == _PING_CODE:
                if frame.role is Role.CALL:
                    await self._ping(Role.CAST)
            case _:
                await self._start_handler(frame)

    async def _start_handler(self, frame: Frame) -> None:
        message = codec.decode(frame.code, frame.payload)
        if len(self._running_handlers) >= MAX_CONCURRENT_CALLS:
            await self._reply(
                frame, Refused(ErrorKind.OVERLOADED.value, "too many concurrent calls on one link")
            )
            return
        task = await curio.spawn(self._handle, message, frame, daemon=True)
        if frame.role is Role.CALL:
            self._running_handlers[frame.call_id] = task

    async def _handle(self, message: Any, frame: Frame) -> None:
        try:
            reply = await self._handler(message)
        except RequestError as error:
            reply = Refused(error.kind.value, error.detail)
        except Exception:
            _log.error(Event.HANDLER_FAILED, message=type(message).__name__)
            reply = Refused(ErrorKind.INTERNAL.value, "internal error")
        finally:
            self._running_handlers.pop(frame.call_id, None)
        await self._reply(frame, reply)

    async def _reply(self, frame: Frame, reply: Any) -> None:
        """Reply to a call; close the link if its send queue has no room for the reply."""
        if frame.role is not Role.CALL or self._closed:
            return
        payload = codec.encode(reply)
        try:
            await self._enqueue(
                Frame(codec.message_code(reply), Role.REPLY, frame.call_id, payload)
            )
        except LinkError as error:
            _log.warning(Event.LINK_BROKEN, reason=error)
            await self.close()

    async def _ping(self, role: Role) -> None:
        """Queue a ping; the other end answers one of role ``CALL`` with one of role ``CAST``."""
        with suppress(LinkError):
            await self._enqueue(Frame(_PING_CODE, role, 0, b""))

    async def _monitor_liveness(self) -> None:
        while self._clock.now() - self._last_seen < _FAILURE_TIMEOUT:
            await self._ping(Role.CALL)
            await curio.sleep(_PING_INTERVAL.total_seconds())
        _log.warning(Event.LINK_SILENT, silence=self._clock.now() - self._last_seen)


@attrs.define
class _PendingCall:
    """A call that waits for its reply, which stays None if the link closes first."""

    completed: curio.Event = attrs.field(factory=curio.Event)
    reply: Any = None


def _refusal_error(reply: Refused) -> RequestError:
    """Convert a refusal to an error; an unknown kind becomes INTERNAL, whose outcome is unknown."""
    try:
        kind = ErrorKind(reply.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return RequestError(kind, reply.detail)


async def serve_link(sock: Any, handler: Handler, clock: Clock) -> None:
    """Run a link on an accepted connection until the connection ends."""
    await Link(sock, handler, clock).run()


class LinkPool:
    """The links that this process opened, one for each address.

    :param handler: handles the calls and one-way messages of the other ends
    :param source: the local IP address to connect from, or empty for any
    """

    def __init__(self, handler: Handler, clock: Clock, source: str = "") -> None:
        self._handler = handler
        self._clock = clock
        self._source = (source, 0) if source else None
        self._links: dict[Address, Link] = {}
        self._dial_locks: dict[Address, curio.Lock] = {}

    @property
    def open_links(self) -> int:
        """The number of links that are not closed."""
        return sum(not link.closed for link in self._links.values())

    async def call(
        self, address: Address, message: Any, timeout: timedelta, *, cancel: bool = True
    ) -> Any:
        """Call the process at an address, opening a link if there is none.

        :param timeout: how long to wait for the reply
        :param cancel: whether to cancel the other end's handler on timeout or cancellation
        :raises RequestError: if the other end refuses the call
        :raises LinkError: if it cannot be reached or no reply arrives within the timeout
        :raises FrameError: if the message is larger than a frame
        """
        link = await self._get_or_dial(address)
        return await link.call(message, timeout, cancel=cancel)

    async def cast(self, address: Address, message: Any) -> None:
        """Send a one-way message to the process at an address, opening a link if there is none.

        :raises LinkError: if it cannot be reached or the send queue of the link is full
        :raises FrameError: if the message is larger than a frame
        """
        link = await self._get_or_dial(address)
        await link.cast(message)

    async def close(self) -> None:
        """Close every link."""
        for link in list(self._links.values()):
            await link.close()

    async def _get_or_dial(self, address: Address) -> Link:
        link = self._links.get(address)
        if link is not None and not link.closed:
            return link
        async with self._dial_locks.setdefault(address, curio.Lock()):
            link = self._links.get(address)
            if link is None or link.closed:
                link = await self._dial(address)
            return link

    async def _dial(self, address: Address) -> Link:
        try:
            async with curio.timeout_after(_DIAL_TIMEOUT.total_seconds()):
                sock = await dial(address, self._source)
        except (OSError, curio.TaskTimeout) as error:
            raise LinkError(f"cannot connect to {address}: {error}", sent=False) from error
        link = Link(sock, self._handler, self._clock)
        self._links[address] = link
        await curio.spawn(link.run, daemon=True)
        return link
