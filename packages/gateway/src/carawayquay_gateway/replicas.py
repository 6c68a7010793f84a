"""Local replicas of the store's objects, one for each kind."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from carawayquay_platform.store import ObjectChanges, ObjectEvent
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_platform.objects import ObjectKind, StoredObject
    from carawayquay_platform.store import ObjectListing

__all__ = ["ObjectHandler", "Replica"]

_log = EventLog("replicas")

#: Maximum number of changes in the history; a peer that is farther behind lists all objects.
_MAX_HISTORY = 1000


@attrs.frozen
class ObjectHandler:
    """Callbacks for changes to the objects of one kind.

    :param on_put: called with each object that was created or replaced
    :param on_delete: called with the name of each deleted object
    """

    on_put: Callable[[StoredObject], None]
    on_delete: Callable[[str], None]


class Replica:
    """Replica of the objects of one kind at a revision of the store, with a history of changes.

    :param handler: callbacks for changes, called once for each change
    """

    def __init__(self, kind: ObjectKind, handler: ObjectHandler) -> None:
        self._kind = kind
        self._handler = handler
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
        self._change_revision = 0
        self._history: deque[tuple[int, ObjectEvent]] = deque()
        #: The revision after which the history is complete.
        self._history_start = 0

    @property
    def kind(self) -> ObjectKind:
        """The kind of the objects."""
        return self._kind

    @property
    def revision(self) -> int | None:
        """The store's revision that the replica has reached, or None before the first listing."""
        return self._revision

    @property
    def change_revision(self) -> int:
        """The revision of the last change applied, which is comparable between VMs."""
        return self._change_revision

    @property
    def objects(self) -> list[StoredObject]:
        """All objects."""
        return list(self._objects.values())

    def apply_listing(self, listing: ObjectListing, *, from_peer: bool = False) -> bool:
        """Replace all objects; return False if the replica is newer than the listing.

        :param from_peer: whether another VM sent the listing, with the revision of its last change
        """
        if self._revision is not None and listing.revision < self._revision:
            return False
        listed = {stored.name for stored in listing.objects}
        for name in [name for name in self._objects if name not in listed]:
            # The revision of the deletion is unknown, but VMs that follow this one must see it.
            self._change_revision = max(self._change_revision, listing.revision)
            self._delete(name)
        for stored in listing.objects:
            self._put(stored)
        if self._revision is None:
            # Deletions before the first listing are unknown.
            self._history_start = listing.revision
        self._revision = listing.revision
        if from_peer:
            self._change_revision = max(self._change_revision, listing.revision)
        return True

    def apply_changes(self, changes: ObjectChanges) -> None:
        """Apply the changes since the replica's revision."""
        for event in changes.events:
            if not event.deleted:
                self._put(event.object)
                continue
            known = self._objects.get(event.object.name)
            if known is not None and event.object.revision <= known.revision:
                # The event carries the revision of the object, not of its deletion.
                self._change_revision = max(self._change_revision, changes.revision)
            self._change_revision = max(self._change_revision, event.object.revision)
            self._delete(event.object.name)
        self._revision = max(changes.revision, self._revision or 0)

    def changes_since(self, revision: int) -> ObjectChanges | None:
        """Return the changes since a revision, or None if the history does not reach back to it."""
        if revision < self._history_start or self._revision is None:
            return None
        events = tuple(
            event for change_revision, event in self._history if change_revision > revision
        )
        return ObjectChanges(self._change_revision, events)

    def _append_history(self, revision: int, event: ObjectEvent) -> None:
        self._history.append((revision, event))
        if len(self._history) > _MAX_HISTORY:
            self._history_start = max(self._history_start, self._history.popleft()[0])

    def _put(self, stored: StoredObject) -> None:
        known = self._objects.get(stored.name)
        self._change_revision = max(self._change_revision, stored.revision)
        if known is not None and known.revision >= stored.revision:
            if known.value != stored.value:
                _log.warning(
                    Event.OBJECT_PASSED_OVER,
                    kind=self._kind.name,
                    name=stored.name,
                    revision=stored.revision,
                    known=known.revision,
                )
            return
        self._objects[stored.name] = stored
        self._append_history(stored.revision, ObjectEvent(stored, deleted=False))
        self._handler.on_put(stored)

    def _delete(self, name: str) -> None:
        known = self._objects.pop(name, None)
        if known is not None:
            self._append_history(self._change_revision, ObjectEvent(known, deleted=True))
            self._handler.on_delete(name)
