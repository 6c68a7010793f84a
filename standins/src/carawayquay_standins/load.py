"""Closed-loop load on entry VMs from a background thread, with every result recorded."""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawayquay.membership import Address

__all__ = ["BackgroundLoad", "LoadResult"]

_THINK_TIME_SECONDS = 0.005
_TIMEOUT_SECONDS = 5.0


@attrs.frozen
class LoadResult:
    """Result of one request.

    :param completed_at: seconds on the monotonic clock when the request ended
    :param entry: address at which the entry VM of this request listens for callers
    :param status: HTTP status; 0 if there was no answer
    :param error: kind of the refusal; ``unsent`` or ``lost`` if there was no answer; else empty
    """

    completed_at: float
    entry: Address
    status: int
    error: str = ""


class BackgroundLoad:
    """Workers that each send one request at a time, round-robin over the entry VMs.

    :param entries: addresses at which the entry VMs listen for callers
    :param workers: number of workers, which limits the requests in flight
    """

    def __init__(
        self, entries: Sequence[Address], path: str, workers: int, method: str = "GET"
    ) -> None:
        self._entries = list(entries)
        self._path = path
        self._method = method
        self._workers = workers
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=curio.run, args=(self._run,))
        self.results: list[LoadResult] = []

    @property
    def completed(self) -> int:
        """Number of requests answered with status 200."""
        return sum(result.status == 200 for result in list(self.results))

    def __enter__(self) -> BackgroundLoad:
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._stopping.set()
        self._thread.join()

    def remove_entry(self, entry: Address) -> None:
        """Send no further requests to an entry VM."""
        self._entries = [other for other in self._entries if other != entry]

    async def _run(self) -> None:
        async with curio.TaskGroup() as group:
            for _ in range(self._workers):
                await group.spawn(self._work)

    async def _work(self) -> None:
        client = HttpClient()
        while not self._stopping.is_set():
            number = next(self._numbers)
            entry = self._entries[number % len(self._entries)]
            headers = ((b"idempotency-key", b"load-%d" % number),) if self._method != "GET" else ()
            request = HttpRequest(self._method, f"{self._path}?{number}", headers, b"")
            self.results.append(await _send(client, entry, request))
            await curio.sleep(_THINK_TIME_SECONDS)
        await client.close()


async def _send(client: HttpClient, entry: Address, request: HttpRequest) -> LoadResult:
    try:
        response = await client.exchange(entry, request, _TIMEOUT_SECONDS)
    except HttpError as error:
        return LoadResult(time.monotonic(), entry, 0, "unsent" if not error.sent else "lost")
    error = response.header(b"carawayquay-error") or ""
    return LoadResult(time.monotonic(), entry, response.status, error)
