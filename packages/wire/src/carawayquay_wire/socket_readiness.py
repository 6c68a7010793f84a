"""Non-blocking check of whether a socket is readable."""

from __future__ import annotations

import select
from typing import Any

__all__ = ["is_readable"]


def is_readable(sock: Any) -> bool:
    """Return whether a read would not block: bytes have arrived, or the other end closed."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
