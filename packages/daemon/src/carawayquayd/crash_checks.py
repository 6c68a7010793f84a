"""Finds out whether a target whose connection broke has crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio

from carawayquay_wire.http_client import HttpError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawayquay.fence import ClockReading

__all__ = ["has_crashed"]

#: Probes of a target, while they are reset, and the pause between them.
_MAX_PROBES = 6
_PROBE_INTERVAL_SECONDS = 0.05


async def has_crashed(
    probe: Callable[[], Awaitable[Any]], last_reading: ClockReading | None
) -> bool:
    """Return whether nothing listens at a target, or another start of it than before.

    A process that ends closes its sockets one after the other, so its listener may still take a
    connection that is reset then; such an answer says nothing yet.

    :param probe: returns the target's report, or raises ``HttpError``
    :param before: what the target said of its start before its connection broke
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
