"""Requests between callers and targets, as this system reads them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from datetime import timedelta

__all__ = ["CallerRequest", "TargetAnswer", "TargetLoad"]

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class CallerRequest:
    """One attempt of a caller.

    :param request_id: unique to this attempt; empty if the caller sent none
    :param object_key: the same for all requests about one object; empty if there is none
    :param time_left: how long the caller waits from now, or None if it did not say
    :param headers: those that are passed on, with lower-case names
    """

    request_id: str
    host: str
    method: str
    path: str
    object_key: str
    time_left: timedelta | None
    headers: Headers
    body: bytes


@attrs.frozen
class TargetLoad:
    """What a target says of its load."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class TargetAnswer:
    """A target's whole answer.

    :param not_run: whether the target says that it did not run the request
    :param address_reused: whether another target has the address now
    :param keep_alive_timeout: how long it keeps an idle connection, or None if it does not say
    """

    status: int
    headers: Headers
    body: bytes
    not_run: bool
    address_reused: bool
    load: TargetLoad | None
    keep_alive_timeout: timedelta | None
