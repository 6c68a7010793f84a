"""The callers' HTTP interface: look-ups, and requests that are forwarded to a target."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from carawayquay.errors import ANSWERS, ErrorKind, RequestError
from carawayquay.requests import Forward, Forwarded, Header
from carawayquay_wire.events import Event, EventLog
from carawayquay_wire.http import HttpRequest, HttpResponse, json_response
from carawayquayd.lookups import client_from_query

if TYPE_CHECKING:
    from collections.abc import Awaitable, Iterable

    from carawayquayd.bookings import BookingCoordinator
    from carawayquayd.lookups import LookupApi
    from carawayquayd.state import NodeState
    from carawayquayd.steering import Steering

__all__ = ["CallerApi", "refusal_response"]

_log = EventLog("callers")

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
_ALLOWED_METHODS = _IDEMPOTENT_METHODS | {"POST", "PATCH"}
_SAFE_METHODS = frozenset({"GET", "HEAD"})

_MAX_KEY_CHARACTERS = 128
_MAX_DEADLINE_DIGITS = 9
_MAX_ATTEMPT_DIGITS = 4
_RETRY_AFTER_SECONDS = b"1"

#: Hop-by-hop headers, and headers that entry VMs interpret or set themselves.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"attempt",
        b"connection",
        b"content-length",
        b"deadline-ms",
        b"expect",
        b"host",
        b"idempotency-key",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"start-by-ms",
        b"target-boot",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

#: Headers by which entry VMs tell the kind and the outcome of a refusal.
_REFUSAL_HEADERS = frozenset({b"carawayquay-error", b"carawayquay-outcome"})

_STATUS_KINDS = {
    400: ErrorKind.MALFORMED,
    408: ErrorKind.SLOW_REQUEST,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    503: ErrorKind.OVERLOADED,
}


class CallerApi:
    """Answers callers over HTTP."""

    def __init__(
        self, state: NodeState, steering: Steering, bookings: BookingCoordinator, lookups: LookupApi
    ) -> None:
        self._state = state
        self._steering = steering
        self._bookings = bookings
        self._lookups = lookups

    def handle(self, request: HttpRequest) -> HttpResponse | Awaitable[HttpResponse]:
        """Return the response to a request, or an awaitable of it."""
        path, _, query = request.target.partition("?")
        parts = path.split("/", 3)
        if len(parts) == 3 and parts[1] == "lookup":
            return self._handle_lookup(request, parts[2], query)
        if len(parts) == 4 and parts[1] == "services":
            return self._proxy(request, parts[2], "/" + parts[3] + ("?" + query if query else ""))
        return self._refuse(RequestError(ErrorKind.UNKNOWN_PATH, f'unknown path "{path}"'))

    def reject(self, status: int, reason: str) -> HttpResponse:
        """Return the response to a request that violates HTTP or a limit."""
        kind = _STATUS_KINDS.get(status, ErrorKind.MALFORMED)
        return self._refuse(RequestError(kind, reason))

    def _handle_lookup(self, request: HttpRequest, service: str, query: str) -> HttpResponse:
        try:
            if request.method not in _SAFE_METHODS:
                detail = f'look-up with method "{request.method}", expected GET or HEAD'
                raise RequestError(ErrorKind.METHOD_NOT_ALLOWED, detail)
            answer = self._lookups.answer(service, client_from_query(query, request.peer))
        except RequestError as error:
            return self._refuse(error)
        self._state.metrics.count("lookups_total", service=service)
        return answer

    async def _proxy(self, request: HttpRequest, service: str, path: str) -> HttpResponse:
        started = self._state.clock.now()
        try:
            forward = self._build_forward(request, service, path)
            claimed = forward.key and forward.method not in _SAFE_METHODS
            handler = self._bookings if claimed else self._steering
            response = _build_response(await handler.run(forward))
        except RequestError as error:
            response = self._refuse(error)
        except Exception as error:
            _log.error(Event.HANDLER_FAILED, service=service)
            response = self._refuse(RequestError(ErrorKind.INTERNAL, type(error).__name__))
        if self._state.documents.get(service) is not None:
            seconds = (self._state.clock.now() - started).total_seconds()
            self._state.metrics.record("request_seconds", seconds, service=service)
        return response

    def _refuse(self, error: RequestError) -> HttpResponse:
        self._state.metrics.count_refusal(error.kind)
        return refusal_response(error)

    def _build_forward(self, request: HttpRequest, service: str, path: str) -> Forward:
        """Return the message in which a request is forwarded between entry VMs.

        :raises RequestError: if the request may not be forwarded
        """
        document = self._state.document(service).document
        if request.method not in _ALLOWED_METHODS:
            raise RequestError(
                ErrorKind.METHOD_NOT_ALLOWED, f'method "{request.method}" is not supported'
            )
        key = _idempotency_key(request)
        if request.method not in _IDEMPOTENT_METHODS and not key:
            raise RequestError(ErrorKind.KEY_REQUIRED, f"{request.method} requires Idempotency-Key")
        dropped = _NOT_FORWARDED_HEADERS | _connection_options(request.headers)
        headers = [Header(name, value) for name, value in request.headers if name not in dropped]
        return Forward(
            service=service,
            method=request.method,
            path=path,
            headers=headers,
            body=request.body,
            deadline_ms=int(_request_timeout(request, document.timeout).total_seconds() * 1000),
            key=key,
            home=self._lookups.home(request.peer).region,
            attempt=_integer_header(request, b"attempt", _MAX_ATTEMPT_DIGITS) or 0,
            client=request.peer,
        )


def refusal_response(error: RequestError) -> HttpResponse:
    """Return the response to a refusal, from the fixed table of refusal kinds."""
    answer = ANSWERS[error.kind]
    headers = (
        (b"carawayquay-outcome", answer.outcome.value.encode()),
        (b"carawayquay-error", error.kind.value.encode()),
    )
    if answer.retryable:
        headers += ((b"retry-after", _RETRY_AFTER_SECONDS),)
    value: dict[str, Any] = {
        "error": error.kind.value,
        "detail": error.detail,
        "outcome": answer.outcome.value,
        "retryable": answer.retryable,
    }
    return json_response(answer.status, value, headers)


def _build_response(forwarded: Forwarded) -> HttpResponse:
    """Return a target's answer, without what only entry VMs may tell callers."""
    received = tuple((header.name.lower(), header.value) for header in forwarded.headers)
    dropped = _NOT_FORWARDED_HEADERS | _REFUSAL_HEADERS | _connection_options(received)
    headers = tuple((name, value) for name, value in received if name not in dropped)
    return HttpResponse(forwarded.status, headers, forwarded.body)


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the names of the headers that Connection headers declare as hop-by-hop."""
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }


def _single_header(request: HttpRequest, name: bytes) -> str | None:
    """Return the value of a header that may occur once, or None if it is absent.

    :raises RequestError: if it occurs more than once
    """
    values = request.values(name)
    if len(values) > 1:
        raise RequestError(ErrorKind.MALFORMED, f'header "{name.decode()}" occurs more than once')
    return values[0] if values else None


def _idempotency_key(request: HttpRequest) -> str:
    """Return the idempotency key, or an empty string without one.

    :raises RequestError: if it is not 1 to 128 visible ASCII characters
    """
    key = _single_header(request, b"idempotency-key")
    if key is None:
        return ""
    visible = all("!" <= character <= "~" for character in key)
    if not 0 < len(key) <= _MAX_KEY_CHARACTERS or not visible:
        detail = f"Idempotency-Key is not 1 to {_MAX_KEY_CHARACTERS} visible ASCII characters"
        raise RequestError(ErrorKind.KEY_INVALID, detail)
    return key


def _integer_header(request: HttpRequest, name: bytes, max_digits: int) -> int | None:
    """Return the value of a header that holds a whole number, or None if it is absent.

    :param max_digits: largest number of digits
    :raises RequestError: if the header holds anything else
    """
    text = _single_header(request, name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > max_digits:
        detail = (
            f'header "{name.decode()}" is "{text}", not a whole number of 1 to {max_digits} digits'
        )
        raise RequestError(ErrorKind.MALFORMED, detail)
    return int(text)


def _request_timeout(request: HttpRequest, max_timeout: timedelta) -> timedelta:
    """Return the timeout that the caller sets for its request, bounded by *max_timeout*.

    :raises RequestError: if the header is not a whole number of milliseconds
    """
    milliseconds = _integer_header(request, b"deadline-ms", _MAX_DEADLINE_DIGITS)
    if milliseconds is None:
        return max_timeout
    return min(max_timeout, timedelta(milliseconds=milliseconds))
