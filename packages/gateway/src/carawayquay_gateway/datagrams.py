"""UDP socket for messages between entry VMs, with traffic metrics."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import curio
from curio.io import Socket

from carawayquay_wire.reports import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable
    from typing import Any

    from carawayquay.membership import Address
    from carawayquay_wire.metrics import Metrics

__all__ = ["DatagramSocket"]

#: Default time in which datagrams collect before they are read as a batch, and the size of a batch.
_BATCH_SECONDS = 0.1
_MAX_BATCH = 100


class DatagramSocket:
    """Sends and receives datagrams of one kind.

    :param kind: value of the label `kind` in metrics
    :param batch_seconds: time in which datagrams collect before they are read as a batch
    """

    def __init__(
        self,
        address: Address,
        kind: str,
        metrics: Metrics,
        batch_seconds: float = _BATCH_SECONDS,
    ) -> None:
        self._batch_seconds = batch_seconds
        self._kind = kind
        self._metrics = metrics
        self._raw_socket: Any = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._raw_socket.bind((address.host, address.port))
        self._sock = Socket(self._raw_socket)
        self._port = address.port

    async def receive(
        self,
        handler: Callable[[bytes, str], None],
        after_batch: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Pass each datagram and its sender's host to a handler, until cancelled.

        Datagrams that have queued up are read without going through the event loop for each.

        :param after_batch: called after the datagrams of each batch
        """
        while True:
            with suppress(OSError):
                self._deliver(handler, *await self._sock.recvfrom(MAX_DATAGRAM_BYTES))
                with suppress(BlockingIOError):
                    for _ in range(_MAX_BATCH):
                        self._deliver(handler, *self._raw_socket.recvfrom(MAX_DATAGRAM_BYTES))
            if after_batch is not None:
                await after_batch()
            await curio.sleep(self._batch_seconds)

    def send(self, data: bytes, hosts: Iterable[str]) -> None:
        """Send one datagram to several hosts; drop it on a socket error, such as a full buffer."""
        sent = 0
        for host in hosts:
            with suppress(OSError):
                self._raw_socket.sendto(data, (host, self._port))
                sent += 1
        self._metrics.add("datagrams_sent_total", sent, kind=self._kind)
        self._metrics.add("datagram_bytes_sent_total", sent * len(data), kind=self._kind)

    def _deliver(
        self, handler: Callable[[bytes, str], None], data: bytes, address: tuple[str, int]
    ) -> None:
        self._metrics.count("datagrams_taken_total", kind=self._kind)
        self._metrics.add("datagram_bytes_taken_total", len(data), kind=self._kind)
        handler(data, address[0])
