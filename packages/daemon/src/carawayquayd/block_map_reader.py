"""Keeps the map from client address blocks to sites in step with the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from carawayquay.blocks import parse_index
from carawayquay.errors import BlockMapError, StoreError
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay_wire.store import StoreClient
    from carawayquayd.state import NodeState

__all__ = ["BlockMapReader"]

_log = EventLog("blocks")

_KIND = "blocks"
_INDEX = "index"

#: The map changes a few times a day, and each read costs one store call per VM.
_READ_INTERVAL_SECONDS = 300.0
_RETRY_SECONDS = 5.0


class BlockMapReader:
    """Polls the map's index and reads the chunks whose digest has changed."""

    def __init__(self, state: NodeState, store: StoreClient) -> None:
        self._state = state
        self._store = store

    async def run(self) -> None:
        """Poll until cancelled; the last map stays in force while the store is unreachable."""
        while True:
            try:
                await self.read()
            except StoreError:
                await curio.sleep(_RETRY_SECONDS)
            else:
                await curio.sleep(_READ_INTERVAL_SECONDS)

    async def read(self) -> None:
        """Read the index, and the chunks that have changed since the last read.

        :raises StoreError: if the store does not answer
        """
        found = await self._store.get(_KIND, _INDEX)
        if found is None:
            return
        try:
            index = parse_index(found.value)
        except BlockMapError as error:
            _log.warning(Event.BLOCKS_REFUSED, chunk=_INDEX, reason=error)
            return
        for name in self._state.blocks.missing(index):
            await self._read_chunk(name, index[name])
        self._state.blocks.retain(index)

    async def _read_chunk(self, name: str, digest: str) -> None:
        found = await self._store.get(_KIND, name)
        try:
            self._state.blocks.adopt(name, digest, found.value if found else None)
        except BlockMapError as error:
            _log.warning(Event.BLOCKS_REFUSED, chunk=name, reason=error)
            return
        _log.info(Event.BLOCKS_ADOPTED, chunk=name, digest=digest)
