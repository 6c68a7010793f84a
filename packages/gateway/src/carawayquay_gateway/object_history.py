"""History of the changes to the objects of one kind, without the versions that are superseded."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from carawayquay.store_revision import NO_REVISION, StoreRevision
from carawayquay_platform.object_changes import ObjectEvent
from carawayquay_platform.objects import deleted_object

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayquay_platform.objects import StoredObject

__all__ = ["MAX_HISTORY_BYTES", "ObjectHistory"]

#: Bytes of JSON that one history keeps beside the objects that exist.
MAX_HISTORY_BYTES = 2 * 1024 * 1024

#: Bytes that a deletion counts beside the name of the object.
_DELETION_BYTES = 1024


@attrs.frozen
class _LiveChange:
    """The last change of an object that exists.

    :param accepted: whether the object was taken into use, so that no former version is needed
    """

    changed_at: StoreRevision
    accepted: bool


@attrs.frozen
class _KeptEvent:
    """A change that is kept beside the objects that exist: a deletion, or a version still in use.

    :param size: bytes that it counts
    """

    changed_at: StoreRevision
    event: ObjectEvent
    size: int


class ObjectHistory:
    """The changes that a VM needs which knows the objects up to an earlier revision.

    Of an object that exists it names only the revision of the last change. Beside that it keeps
    deletions, without the deleted value, and the version in use of each object whose later versions
    were refused. What is kept is bounded in bytes; the oldest is dropped first, and VMs that are
    farther behind list all objects.

    :param keeps_deleted: whether an object's last value stays in use when the object is deleted
    :ivar start: the revision after which the history is complete
    """

    def __init__(self, *, keeps_deleted: bool = False) -> None:
        self._keeps_deleted = keeps_deleted
        self._live: dict[str, _LiveChange] = {}
        #: In the order of the changes, by the name of the object and whether it was deleted.
        self._kept: dict[tuple[str, bool], _KeptEvent] = {}
        self._kept_bytes = 0
        self.start = NO_REVISION

    @property
    def kept_bytes(self) -> int:
        """Bytes of what is kept beside the objects that exist."""
        return self._kept_bytes

    def record_put(
        self,
        stored: StoredObject,
        changed_at: StoreRevision,
        former: StoredObject | None,
        *,
        accepted: bool,
    ) -> None:
        """Record that an object was created or replaced.

        :param former: the object before, or None if there was none
        :param accepted: whether the object was taken into use, so that no former version is needed
        """
        name = stored.name
        if accepted:
            self._drop((name, False))
            self._drop((name, True))
        else:
            self._keep_former(name, former)
        self._live[name] = _LiveChange(changed_at, accepted)
        self._trim()

    def record_deletion(self, former: StoredObject, changed_at: StoreRevision) -> None:
        """Record that an object was deleted."""
        name = former.name
        if self._keeps_deleted:
            self._keep_former(name, former)
        else:
            self._drop((name, False))
        self._live.pop(name, None)
        event = ObjectEvent(deleted_object(former, changed_at), deleted=True)
        self._keep(_KeptEvent(changed_at, event, len(name) + _DELETION_BYTES))
        self._trim()

    def events_since(
        self, revision: StoreRevision, objects: Mapping[str, StoredObject]
    ) -> tuple[ObjectEvent, ...]:
        """Return the changes after a revision in their order.

        :param objects: the objects that exist, by name
        """
        kept = [(it.changed_at, it.event) for it in self._kept.values()]
        live = [
            (change.changed_at, ObjectEvent(objects[name], deleted=False))
            for name, change in self._live.items()
        ]
        later = [change for change in (*kept, *live) if change[0] > revision]
        return tuple(event for _, event in sorted(later, key=lambda change: change[0]))

    def _keep_former(self, name: str, former: StoredObject | None) -> None:
        """Keep the version in use of an object that is replaced or deleted."""
        change = self._live.get(name)
        if former is None or change is None or not change.accepted:
            return
        size = len(json.dumps(former.raw, separators=(",", ":")))
        self._keep(_KeptEvent(change.changed_at, ObjectEvent(former, deleted=False), size))

    def _keep(self, kept: _KeptEvent) -> None:
        key = kept.event.object.name, kept.event.deleted
        self._drop(key)
        self._kept[key] = kept
        self._kept_bytes += kept.size

    def _drop(self, key: tuple[str, bool]) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._kept_bytes -= kept.size

    def _trim(self) -> None:
        while self._kept_bytes > MAX_HISTORY_BYTES:
            key = next(iter(self._kept))
            self.start = max(self.start, self._kept[key].changed_at)
            self._drop(key)
