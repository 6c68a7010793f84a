"""Determines whether a target whose connection broke has crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

from carawayquay_wire.http_client import HttpError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.fence import ClockReading

__all__ = ["has_crashed"]

#: Maximum number of probes of a target that resets connections, and the time between two.
_MAX_PROBES = 6
_PROBE_INTERVAL_SECONDS = 0.05


async def has_crashed(
    probe: Callable[[], Awaitable[Any]], last_reading: ClockReading | None
) -> bool:
    """Return whether a target refuses connections, or has restarted since its last reading.

    A process that ends closes its sockets one after the other, so its listener may still accept a
    connection that is then reset; a reset is therefore inconclusive and probed again.

    :param probe: returns the target's health report, or raises ``HttpError``
    :param last_reading: the target's boot identity and clock before its connection broke, or None
        if unknown
    """
    for _ in range(_MAX_PROBES):
        try:
            report = await probe()
        except HttpError as failure:
            if failure.refused or failure.timed_out:
                return failure.refused
            await curio.sleep(_PROBE_INTERVAL_SECONDS)
        else:
            return last_reading is not None and report.boot != last_reading.boot
    return False
