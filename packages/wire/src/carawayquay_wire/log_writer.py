"""Non-blocking, rate-limited writing of log lines to a file descriptor."""

from __future__ import annotations

import os
import select
import time
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LogWriter"]

_MAX_QUEUED_LINES = 4000
_MAX_LINES_PER_SECOND = 1000

#: A write of up to this size to a pipe that select reports as writable does not block.
_ATOMIC_BYTES = select.PIPE_BUF


class LogWriter:
    """Queues log lines for a file descriptor, and drops and counts those over a limit.

    The limits are a rate of lines for each second and the length of the queue.

    :param descriptor: the file descriptor, which may be shared and stays in blocking mode
    :param clock: returns the current time in seconds
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0

    @property
    def dropped(self) -> int:
        """The number of lines dropped since the last ``lines-dropped`` event."""
        return self._dropped

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the rate limit or the queue length is exceeded."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > _MAX_LINES_PER_SECOND or len(self._lines) >= _MAX_QUEUED_LINES:
            self._dropped += 1
            return
        if self._dropped:
            self._lines.append(b"level=WARNING event=lines-dropped count=%d\n" % self._dropped)
            self._dropped = 0
        self._lines.append(line.encode(errors="replace") + b"\n")

    def flush(self) -> None:
        """Write queued lines until the descriptor would block, each cut to ``PIPE_BUF`` bytes."""
        while self._lines and self._writable():
            chunk_lines = [self._lines.popleft()[:_ATOMIC_BYTES]]
            size = len(chunk_lines[0])
            while self._lines and size + len(self._lines[0]) <= _ATOMIC_BYTES:
                size += len(self._lines[0])
                chunk_lines.append(self._lines.popleft())
            with suppress(OSError):
                os.write(self._descriptor, b"".join(chunk_lines))

    def _writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)
