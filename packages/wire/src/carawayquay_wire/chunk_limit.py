"""Limit of the number of chunks of an HTTP body, which may have no end."""

from __future__ import annotations

import curio
import h11

__all__ = ["ChunkLimit"]

#: Chunks that a body may have whatever their size, and the bytes for each of which it may have one
#: more. A chunk of a few bytes costs as much processor time as a large one.
_FREE_CHUNKS = 4096
_BYTES_PER_CHUNK = 64

#: Parts of a body that are parsed before other tasks get their turn.
_PARTS_PER_TURN = 16


class ChunkLimit:
    """Counts the chunks of one body, and lets other tasks run in between.

    :param status: the status that the error names if there are too many
    """

    def __init__(self, status: int = 400) -> None:
        self._status = status
        self._parts = 0
        self._chunks = 0

    async def add(self, part: h11.Data, size: int) -> None:
        """Count a part of the body.

        :param size: the bytes of the body so far
        :raises h11.RemoteProtocolError: if the body has too many chunks for its size
        """
        self._parts += 1
        self._chunks += part.chunk_end
        if self._chunks > _FREE_CHUNKS + size // _BYTES_PER_CHUNK:
            reason = f"{self._chunks} chunks in a body of {size} bytes"
            raise h11.RemoteProtocolError(reason, self._status)
        if self._parts % _PARTS_PER_TURN == 0:
            await curio.sleep(0)
