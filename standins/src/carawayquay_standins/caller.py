"""Stand-in for a caller that caches look-ups of entry VMs and retries requests."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest, HttpResponse
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["CallerStandIn", "RequestResult", "ResultKind"]

_RETRY_SECONDS = 0.1
_ATTEMPT_SECONDS = 3.0


@attrs.define
class _Cached:
    entries: list[Address]
    expires_at: float


class ResultKind(enum.Enum):
    """Final result of a request as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    NO_ANSWER = "no answer"


@attrs.frozen
class RequestResult:
    """Result of a request after one or more attempts.

    :param attempts: number of times the request was sent
    :param response: answer or refusal of the last attempt; None if it got neither
    :param maybe_run: whether an attempt without an answer from a target may have run
    :param retryable: whether the request may be sent again
    """

    kind: ResultKind
    attempts: int
    response: HttpResponse | None = None
    maybe_run: bool = False
    retryable: bool = False


class CallerStandIn:
    """Sends requests by the rules of docs/CALLERS.md.

    :param bootstrap: entry VMs to send look-ups to, in order of preference
    """

    def __init__(self, bootstrap: Sequence[Address]) -> None:
        self._bootstrap = list(bootstrap)
        self._http = HttpClient()
        self._cache: dict[str, _Cached] = {}

    async def look_up(self, service: str) -> list[Address]:
        """Return the entry VMs of a service, from the cache until the lifetime of the answer ends.

        :raises HttpError: if no entry VM answers with status 200
        """
        cached = self._cache.get(service)
        if cached is not None and time.monotonic() < cached.expires_at:
            return cached.entries
        failure = HttpError("no entry VM answered the look-up with status 200", sent=False)
        for address in self._bootstrap:
            try:
                response = await self._http.exchange(
                    address, HttpRequest("GET", f"/lookup/{service}", (), b""), 2.0
                )
            except HttpError as error:
                failure = error
                continue
            if response.status == 200:
                value = response.json()
                entries = [Address.parse(entry["address"]) for entry in value["entries"]]
                expires_at = time.monotonic() + value["lifetime_seconds"]
                self._cache[service] = _Cached(entries, expires_at)
                return entries
        raise failure

    async def send(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        seconds: float = 5.0,
    ) -> HttpResponse:
        """Send one request to the first entry VM that accepts a connection.

        :param seconds: timeout of the exchange with one entry VM
        :raises HttpError: if the look-up fails, no entry VM accepts a connection, or no answer
            arrives
        """
        failure = HttpError("look-up gave no entry VM", sent=False)
        request = HttpRequest(method, f"/services/{service}{path}", headers, body)
        for address in await self.look_up(service):
            try:
                return await self._http.exchange(address, request, seconds)
            except HttpError as error:
                if error.sent:
                    raise
                failure = error
        raise failure

    async def request(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = "",
        seconds: float = 10.0,
    ) -> RequestResult:
        """Send a request, with retries, until it is answered, finally refused, or time runs out.

        By docs/CALLERS.md, retries are harmless after a retryable refusal, and after a lost answer
        if the request is idempotent or has a key. A request without a key counts as idempotent and
        is retried after any refusal.

        :param key: idempotency key; empty only for an idempotent request
        :param seconds: time after which no further attempt starts
        """
        deadline = time.monotonic() + seconds
        result = RequestResult(ResultKind.NO_ANSWER, 0)
        while time.monotonic() < deadline:
            result = await self._send_attempt(service, method, path, body, key, result)
            if result.kind is ResultKind.ANSWERED or not result.retryable:
                break
            self._cache.pop(service, None)
            await curio.sleep(_RETRY_SECONDS)
        return result

    async def _send_attempt(
        self, service: str, method: str, path: str, body: bytes, key: str, previous: RequestResult
    ) -> RequestResult:
        attempts = previous.attempts + 1
        headers: tuple[tuple[bytes, bytes], ...] = ((b"attempt", str(attempts).encode()),)
        if key:
            headers += ((b"idempotency-key", key.encode()),)
        try:
            response = await self.send(service, method, path, body, headers, _ATTEMPT_SECONDS)
        except HttpError as error:
            maybe_run = previous.maybe_run or error.sent
            return RequestResult(ResultKind.NO_ANSWER, attempts, None, maybe_run, retryable=True)
        outcome = response.header(b"carawayquay-outcome")
        if outcome is None:
            return RequestResult(ResultKind.ANSWERED, attempts, response, previous.maybe_run)
        unknown = outcome != "not-run"
        return RequestResult(
            ResultKind.UNKNOWN if unknown else ResultKind.NOT_RUN,
            attempts,
            response,
            previous.maybe_run or unknown,
            retryable=not key or response.header(b"retry-after") is not None,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()
