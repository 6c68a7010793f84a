"""Looks whether a socket can be read, without waiting."""

from __future__ import annotations

import select
from typing import Any

__all__ = ["is_readable"]


def is_readable(sock: Any) -> bool:
    """Return whether bytes, or the other end's close, wait to be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
