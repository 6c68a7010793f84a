"""Copies of the store's objects that a process holds, by kind."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from carawayquay_platform.store import ObjectChanges, ObjectEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_platform.objects import ObjectKind, StoredObject
    from carawayquay_platform.store import ObjectListing

__all__ = ["Adopter", "Replica"]

#: Changes that are kept for VMs that are behind; one that is farther behind takes all objects.
_MAX_HISTORY = 1000


@attrs.frozen
class Adopter:
    """What is told of the changes of one kind.

    :param put: takes an object that was created or replaced
    :param drop: takes the name of an object that is gone
    """

    put: Callable[[StoredObject], None]
    drop: Callable[[str], None]


class Replica:
    """The objects of one kind, as the store had them at a revision.

    :param adopter: told of each change, once
    """

    def __init__(self, kind: ObjectKind, adopter: Adopter) -> None:
        self._kind = kind
        self._adopter = adopter
        self._objects: dict[str, StoredObject] = {}
        self._revision: int | None = None
        self._changed = 0
        self._history: deque[tuple[int, ObjectEvent]] = deque()
        #: The revision up to which changes are not in the history any more.
        self._forgotten = 0

    @property
    def kind(self) -> ObjectKind:
        """The kind of the objects."""
        return self._kind

    @property
    def revision(self) -> int | None:
        """The store's revision up to which the copy is complete, or None before the first list."""
        return self._revision

    @property
    def changed(self) -> int:
        """The revision of the last change that was seen, the same wherever it was seen."""
        return self._changed

    @property
    def objects(self) -> list[StoredObject]:
        """All objects."""
        return list(self._objects.values())

    def apply_listing(self, listing: ObjectListing, *, from_peer: bool = False) -> bool:
        """Take all objects; return False if the copy is newer than they are.

        :param from_peer: whether another VM gave them, whose revision is that of its last change
        """
        if self._revision is not None and listing.revision < self._revision:
            return False
        listed = {stored.name for stored in listing.objects}
        for name in [name for name in self._objects if name not in listed]:
            # When it went is not known, but others who follow this VM must hear of it.
            self._changed = max(self._changed, listing.revision)
            self._drop(name)
        for stored in listing.objects:
            self._put(stored)
        if self._revision is None:
            # What was removed before is not known.
            self._forgotten = listing.revision
        self._revision = listing.revision
        if from_peer:
            self._changed = max(self._changed, listing.revision)
        return True

    def apply_changes(self, changes: ObjectChanges) -> None:
        """Take what changed since the copy's revision."""
        for event in changes.events:
            if not event.deleted:
                self._put(event.object)
                continue
            known = self._objects.get(event.object.name)
            if known is not None and event.object.revision <= known.revision:
                # The event names the revision of the object, not that of its deletion.
                self._changed = max(self._changed, changes.revision)
            self._changed = max(self._changed, event.object.revision)
            self._drop(event.object.name)
        self._revision = max(changes.revision, self._revision or 0)

    def changes_since(self, revision: int) -> ObjectChanges | None:
        """Return what changed since a revision, or None if that is not remembered."""
        if revision < self._forgotten or self._revision is None:
            return None
        events = tuple(event for changed, event in self._history if changed > revision)
        return ObjectChanges(self._changed, events)

    def _remember(self, revision: int, event: ObjectEvent) -> None:
        self._history.append((revision, event))
        if len(self._history) > _MAX_HISTORY:
            self._forgotten = max(self._forgotten, self._history.popleft()[0])

    def _put(self, stored: StoredObject) -> None:
        known = self._objects.get(stored.name)
        self._changed = max(self._changed, stored.revision)
        if known is not None and known.revision >= stored.revision:
            return
        self._objects[stored.name] = stored
        self._remember(stored.revision, ObjectEvent(stored, deleted=False))
        self._adopter.put(stored)

    def _drop(self, name: str) -> None:
        known = self._objects.pop(name, None)
        if known is not None:
            self._remember(self._changed, ObjectEvent(known, deleted=True))
            self._adopter.drop(name)
