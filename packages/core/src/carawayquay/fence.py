"""Fencing of late requests by a start deadline on the target's own clock."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.loans import CLOCK_MARGIN

if TYPE_CHECKING:
    from carawayquay.slots import Ticket

__all__ = ["ClockReading", "Fence", "TargetReport", "start_fence"]


@attrs.frozen
class TargetReport:
    """The reply of a target's health endpoint, which may be stale or wrong.

    :param load: number of requests that the target reports as running
    :param boot: random word that identifies this start of the target
    :param clock_ms: the target's clock in milliseconds, from an arbitrary origin
    """

    healthy: bool
    draining: bool
    load: int
    boot: str
    clock_ms: float


@attrs.frozen
class ClockReading:
    """A reading of a target's clock by a health probe.

    :param boot: the start of the target whose clock was read
    :param clock_ms: the target's clock in milliseconds
    :param received_at: time on this process's clock when the reply arrived, after the reading
    """

    boot: str
    clock_ms: float
    received_at: timedelta


@attrs.frozen
class Fence:
    """The start deadline that a target checks before it starts a request.

    :param boot: the start of the target whose clock the deadline refers to
    :param start_by_ms: latest start time on that clock, in milliseconds
    """

    boot: str
    start_by_ms: int


def start_fence(reading: ClockReading, ticket: Ticket) -> Fence:
    """Compute a fence that expires no later than a ticket's right to start.

    When the reply arrived, the target's clock was already past the reading. It runs slower than
    this process's clock by at most ``CLOCK_MARGIN``, so it reaches the returned deadline before
    the right expires here.
    """
    remaining_ms = (ticket.start_by - reading.received_at) / timedelta(milliseconds=1)
    return Fence(reading.boot, int(reading.clock_ms + remaining_ms * (1 - CLOCK_MARGIN)))
