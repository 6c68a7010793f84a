"""HTTP client for requests to targets."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.fence import start_fence
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import MAX_IDLE_TIME, HttpClient, HttpError

if TYPE_CHECKING:
    from carawayquay.documents import Target
    from carawayquay.fence import ClockReading
    from carawayquay.requests import Forward
    from carawayquay.slots import Ticket

__all__ = ["IDEMPOTENT_METHODS", "TargetClient", "build_http_request"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})

#: Longest idle time of a connection that a non-idempotent request may reuse. If the target closes
#: an idle connection as the request is sent, it is unknown whether the request ran.
_MAX_IDLE_NON_IDEMPOTENT = timedelta(seconds=1)


class TargetClient:
    """Sends requests over pooled keep-alive connections to targets."""

    def __init__(self) -> None:
        self._http = HttpClient()

    async def send(
        self,
        target: Target,
        request: HttpRequest,
        left: timedelta,
        *,
        reused_timeout: timedelta | None = None,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request to a target and return its complete answer.

        :param left: time until the deadline
        :param reused_timeout: longest wait for the answer on a reused connection
        :param fresh: whether to open a new connection in any case
        :raises HttpError: if there is no complete answer in time; the connection is then closed
        """
        idempotent = request.method in IDEMPOTENT_METHODS
        try:
            return await self._http.exchange(
                target.address,
                request,
                max(0.0, left.total_seconds()),
                reused_connection_seconds=(
                    reused_timeout.total_seconds() if reused_timeout else None
                ),
                fresh=fresh,
                max_idle=MAX_IDLE_TIME if idempotent else _MAX_IDLE_NON_IDEMPOTENT,
            )
        except HttpError as failure:
            if not failure.fresh:
                await self._http.drop_idle(target.address)
            raise


def build_http_request(
    forward: Forward, ticket: Ticket, reading: ClockReading | None
) -> HttpRequest:
    """Return the HTTP request to a target, with a start fence if the target's clock is known."""
    headers = [(header.name, header.value) for header in forward.headers]
    if forward.key:
        headers.append((b"idempotency-key", forward.key.encode()))
    if reading is not None:
        fence = start_fence(reading, ticket)
        headers.append((b"start-by-ms", b"%d" % fence.start_by_ms))
        headers.append((b"target-boot", fence.boot.encode()))
    return HttpRequest(forward.method, forward.path, tuple(headers), forward.body)
