"""Messages by which entry VMs forward callers' requests to each other."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Forward", "Forwarded", "Header", "Purpose", "Refused"]


class Purpose(enum.Enum):
    """What the receiving entry VM does with a forwarded request."""

    RUN = "run"
    BOOK = "book"


@attrs.frozen
class Header:
    """One HTTP header."""

    name: bytes
    value: bytes


@attrs.frozen
class Forward:
    """A caller's request, forwarded to an entry VM that may run it.

    :param deadline_ms: time until the deadline, in milliseconds
    :param key: the idempotency key of a booking, empty for other requests
    :param home: the home region of the caller
    :param purpose: whether to run it on a target directly or to claim its key first
    :param attempt: number of the caller's attempt at this booking from 1, or 0 if unknown
    :param grant: the grant under which another failure domain sends it, or 0
    :param client: the caller's address, whose block decides which clients are shifted first
    """

    service: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline_ms: int
    key: str = ""
    home: str = ""
    purpose: Purpose = Purpose.RUN
    attempt: int = 0
    grant: int = 0
    client: str = ""


@attrs.frozen
class Forwarded:
    """A target's complete answer to a forwarded request.

    :param target: the name of the target that ran it
    """

    status: int
    headers: list[Header]
    body: bytes
    target: str = ""


@attrs.frozen
class Refused:
    """The refusal of a message that expects an answer.

    :param kind: the value of an ``ErrorKind``
    """

    kind: str
    detail: str
