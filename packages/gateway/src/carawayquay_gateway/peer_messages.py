"""Format of the requests that entry VMs send through each other, and of their answers.

A request travels as it came from the caller, with one header in front that names the sender's
decisions. An answer of a target travels back alike; the header in front of it names the target.
"""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlencode

import attrs

from carawayquay.errors import FrameError
from carawayquay_platform import headers
from carawayquay_wire.http import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from carawayquay.forwarding import CallerRequest, Headers, TargetAnswer

__all__ = [
    "AnsweredForPeer",
    "FailedForPeer",
    "PeerRequest",
    "RefusalReason",
    "RefusedForPeer",
    "decode_answer",
    "decode_request",
    "encode_answer",
    "encode_request",
]

#: Name of the header in front, which is taken off again before a message goes on.
_HEADER = b"carawayquay-attempt"

_REFUSED_STATUS = 503
_FAILED_STATUS = 502

#: Longest time in milliseconds that is taken from another VM.
_MAX_MILLISECONDS = 86_400_000.0


class RefusalReason(enum.Enum):
    """Why a VM did not send another VM's request to any target."""

    CUT_OFF = "cut-off"
    BEHIND = "behind"
    NO_ROUTE = "no-route"
    STOPPING = "stopping"
    CRASHES_TARGETS = "crashes-targets"
    NO_CAPACITY = "no-capacity"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    INVALID = "invalid"


@attrs.frozen
class PeerRequest:
    """A caller's request that one VM sends through another.

    :param sender: name of the VM to which the caller sent it
    :param version: version of the configuration by which the sender decided
    :param service: the service that the sender chose
    :param elapsed: time since the sender had read it
    :param remaining: time until the sender's deadline for it
    :param tried: names of the targets that may have received it already
    :param organisation: name of the organisation whose API key the sender checked, empty if none
    """

    call: CallerRequest
    sender: str
    version: int
    service: str
    elapsed: timedelta
    remaining: timedelta
    tried: frozenset[str]
    organisation: str = ""


@attrs.frozen
class AnsweredForPeer:
    """A target's answer to another VM's request.

    :param wait: queueing time in seconds that was expected
    :param work: service time in seconds that was expected
    :param warm: whether the target was known to be warm for the object
    """

    answer: TargetAnswer
    target: str
    domain: str
    wait: float
    work: float
    warm: bool


@attrs.frozen
class FailedForPeer:
    """A target may have received another VM's request and gave no complete answer.

    :param timed_out: whether the deadline passed
    """

    target: str
    domain: str
    timed_out: bool


@attrs.frozen
class RefusedForPeer:
    """Another VM's request was not sent to any target.

    :param wait: seconds until a target is expected to have room, or None if none is usable
    """

    reason: RefusalReason
    wait: float | None = None


PeerAnswer = AnsweredForPeer | FailedForPeer | RefusedForPeer


def encode_request(request: PeerRequest) -> HttpRequest:
    """Encode a request for the VM through which it is sent."""
    pairs = [
        ("sender", request.sender),
        ("version", request.version),
        ("service", request.service),
        ("elapsed_ms", _milliseconds(request.elapsed)),
        ("remaining_ms", _milliseconds(request.remaining)),
        *(("tried", name) for name in sorted(request.tried)),
    ]
    if request.organisation:
        pairs.append(("organisation", request.organisation))
    call = request.call
    return HttpRequest(call.method, call.path, (_header(pairs), *call.headers), call.body)


def decode_request(message: HttpRequest) -> PeerRequest:
    """Decode a request of another VM.

    :raises FrameError: if it does not begin with the header of the sender's decisions
    """
    fields, others = _split(message.headers)
    call = headers.parse_request(attrs.evolve(message, headers=others))
    return PeerRequest(
        call,
        fields.text("sender"),
        fields.integer("version"),
        fields.text("service"),
        timedelta(milliseconds=fields.number("elapsed_ms")),
        timedelta(milliseconds=fields.number("remaining_ms")),
        frozenset(fields.texts("tried")),
        fields.text("organisation") if fields.has("organisation") else "",
    )


def encode_answer(answer: PeerAnswer) -> HttpResponse:
    """Encode the answer to another VM's request."""
    match answer:
        case AnsweredForPeer():
            response = headers.caller_response(answer.answer)
            pairs = [
                ("outcome", "answered"),
                ("target", answer.target),
                ("domain", answer.domain),
                ("wait_ms", _milliseconds(timedelta(seconds=answer.wait))),
                ("work_ms", _milliseconds(timedelta(seconds=answer.work))),
                ("warm", int(answer.warm)),
            ]
            return attrs.evolve(response, headers=(_header(pairs), *response.headers))
        case FailedForPeer():
            outcome = "timeout" if answer.timed_out else "broken"
            pairs = [("outcome", outcome), ("target", answer.target), ("domain", answer.domain)]
            return HttpResponse(_FAILED_STATUS, (_header(pairs),))
        case RefusedForPeer():
            pairs = [("outcome", "refused"), ("reason", answer.reason.value)]
            if answer.wait is not None:
                pairs.append(("wait_ms", _milliseconds(timedelta(seconds=answer.wait))))
            return HttpResponse(_REFUSED_STATUS, (_header(pairs),))


def decode_answer(message: HttpResponse) -> PeerAnswer:
    """Decode the answer of the VM through which a request was sent.

    :raises FrameError: if it does not begin with the header that names the outcome
    """
    fields, others = _split(message.headers)
    match fields.text("outcome"):
        case "answered":
            return AnsweredForPeer(
                headers.parse_response(attrs.evolve(message, headers=others)),
                fields.text("target"),
                fields.text("domain"),
                fields.number("wait_ms") / 1000,
                fields.number("work_ms") / 1000,
                bool(fields.integer("warm")),
            )
        case "timeout" | "broken" as outcome:
            return FailedForPeer(fields.text("target"), fields.text("domain"), outcome == "timeout")
        case "refused":
            wait = fields.number("wait_ms") / 1000 if fields.has("wait_ms") else None
            return RefusedForPeer(fields.reason(), wait)
        case outcome:
            raise FrameError(f'unknown outcome "{outcome}" of a request sent through another VM')


def _split(pairs: Headers) -> tuple[_Fields, Headers]:
    """Return the fields of the header in front, and the other headers.

    A caller's header of the same name comes after it and is left as it is.

    :raises FrameError: if there is no such header
    """
    for index, (name, value) in enumerate(pairs):
        if name.lower() == _HEADER:
            return _Fields(value), pairs[:index] + pairs[index + 1 :]
    raise FrameError("a message between entry VMs lacks the header of the sender's decisions")


class _Fields:
    """The fields of the header in front of a message.

    :raises FrameError: if they cannot be decoded
    """

    def __init__(self, value: bytes) -> None:
        try:
            self._values = parse_qs(value.decode("ascii"), keep_blank_values=True)
        except ValueError as error:
            raise FrameError(f"cannot decode a message between entry VMs: {error}") from error

    def has(self, name: str) -> bool:
        return name in self._values

    def texts(self, name: str) -> list[str]:
        return self._values.get(name, [])

    def text(self, name: str) -> str:
        values = self.texts(name)
        if len(values) != 1:
            raise FrameError(f'a message between entry VMs has {len(values)} fields "{name}"')
        return values[0]

    def integer(self, name: str) -> int:
        text = self.text(name)
        if not (text.isascii() and text.isdecimal() and len(text) <= len(str(2**64))):
            raise FrameError(f'field "{name}" of a message between entry VMs is not a number')
        return int(text)

    def number(self, name: str) -> float:
        try:
            value = float(self.text(name))
        except ValueError as error:
            raise FrameError(f'field "{name}" of a message between entry VMs: {error}') from error
        if not 0 <= value <= _MAX_MILLISECONDS:
            raise FrameError(f'field "{name}" of a message between entry VMs is out of range')
        return value

    def reason(self) -> RefusalReason:
        """Return why a request was refused; a reason of another version counts as invalid."""
        try:
            return RefusalReason(self.text("reason"))
        except ValueError:
            return RefusalReason.INVALID


def _header(pairs: list[tuple[str, object]]) -> tuple[bytes, bytes]:
    return _HEADER, urlencode(pairs).encode("ascii")


def _milliseconds(duration: timedelta) -> str:
    return f"{max(0.0, duration / timedelta(milliseconds=1)):.1f}"
