"""In-memory store with injected faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.errors import ConflictError, StoreError, UnconfirmedWriteError
from carawayquay_wire.store import StoreListing, StoreObject

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FakeStore"]


@attrs.define
class FakeStore:
    """In-memory store of one kind of objects.

    :param lose_responses: number of writes to apply without an answer
    :param lose_requests: number of writes to drop without applying them
    :param fail_reads: number of reads to fail
    :param before_put: called before each conditional write
    """

    objects: dict[str, StoreObject] = attrs.field(factory=dict)
    revision: int = 0
    lose_responses: int = 0
    lose_requests: int = 0
    fail_reads: int = 0
    before_put: Callable[[], None] | None = None

    async def get(self, kind: str, name: str) -> StoreObject | None:
        """Return an object, or None if there is none."""
        if self.fail_reads > 0:
            self.fail_reads -= 1
            raise StoreError("store is unreachable")
        return self.objects.get(name)

    async def list(self, kind: str) -> StoreListing:
        """Return all objects."""
        return StoreListing(self.revision, tuple(self.objects.values()))

    async def put(self, kind: str, name: str, value: Any, *, replaces: int) -> int:
        """Write an object if its stored version is the expected one."""
        if self.before_put is not None:
            self.before_put()
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise UnconfirmedWriteError("answer lost")
        current = self.objects.get(name)
        if (current.version if current else 0) != replaces:
            raise ConflictError("version does not match")
        version = self.write(name, value)
        if self.lose_responses > 0:
            self.lose_responses -= 1
            raise UnconfirmedWriteError("answer lost")
        return version

    def write(self, name: str, value: Any) -> int:
        """Write an object unconditionally and return its version."""
        self.revision += 1
        self.objects[name] = StoreObject("documents", name, self.revision, value)
        return self.revision
