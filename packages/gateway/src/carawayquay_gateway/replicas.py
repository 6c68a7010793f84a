"""Local replicas of the store's objects, one for each kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.store_revision import NO_REVISION, StoreRevision
from carawayquay_gateway.object_history import ObjectHistory
from carawayquay_platform.object_changes import ObjectChanges, ObjectEvent
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayquay_platform.object_changes import ObjectListing
    from carawayquay_platform.objects import ObjectKind, StoredObject

__all__ = ["ObjectHandler", "Replica", "latest_era"]

_log = EventLog("replicas")


def _ignore(_: str) -> None:
    """Do nothing."""


@attrs.frozen
class ObjectHandler:
    """Callbacks for changes to the objects of one kind.

    :param on_put: called with each object that was created or replaced; returns whether the object
        was taken into use, so that a VM that has it needs no former version
    :param on_delete: called with the name of each deleted object
    :param on_lost: called with the name of an object before ``on_delete``, if the store lacks the
        object because it was restored from an older copy
    :param keeps_deleted: whether an object's last value stays in use when the object is deleted
    """

    on_put: Callable[[StoredObject], bool]
    on_delete: Callable[[str], None]
    on_lost: Callable[[str], None] = _ignore
    keeps_deleted: bool = False


class Replica:
    """Replica of the objects of one kind at a revision of the store, with a history of changes.

    The history goes on when the store is restored from an older copy, with what the restored store
    lacks or has changed, so that peers that followed this VM before need not list all objects.

    :param handler: callbacks for changes, called once for each change
    """

    def __init__(self, kind: ObjectKind, handler: ObjectHandler) -> None:
        self._kind = kind
        self._handler = handler
        self._objects: dict[str, StoredObject] = {}
        self._revision: StoreRevision | None = None
        self._change_revision = NO_REVISION
        #: Complete but for deletions by a restore.
        self._history = ObjectHistory(keeps_deleted=handler.keeps_deleted)
        #: The first revision reached in the current era, and the last one in the era before it.
        self._era_start = NO_REVISION
        self._former_end: StoreRevision | None = None
        self._first_era = 0

    @property
    def kind(self) -> ObjectKind:
        """The kind of the objects."""
        return self._kind

    @property
    def revision(self) -> StoreRevision | None:
        """The store's revision that the replica has reached, or None before the first listing."""
        return self._revision

    @property
    def change_revision(self) -> StoreRevision:
        """The revision of the last change applied, which is comparable between VMs."""
        return self._change_revision

    @property
    def first_era(self) -> int:
        """The era of the first listing, 0 before it."""
        return self._first_era

    @property
    def objects(self) -> list[StoredObject]:
        """All objects."""
        return list(self._objects.values())

    @property
    def history_bytes(self) -> int:
        """Bytes of JSON that the history keeps beside the objects."""
        return self._history.kept_bytes

    def apply_listing(self, listing: ObjectListing, *, from_peer: bool = False) -> bool:
        """Replace all objects; return False if the replica is newer than the listing.

        :param from_peer: whether another VM sent the listing, with the revision of its last change
        """
        if self._revision is not None and listing.revision < self._revision:
            return False
        if self._revision is None:
            self._begin_history(listing.revision)
        restored = self._begin_era_if_restored(listing.revision)
        names = frozenset(stored.name for stored in listing.objects)
        lost = self._delete_unlisted(names, listing.revision, restored=restored)
        changed = sum(self._put(stored) for stored in listing.objects)
        if restored:
            self._log_restore(listing.revision, lost, changed)
        self._revision = listing.revision
        if from_peer:
            self._change_revision = max(self._change_revision, listing.revision)
        return True

    def apply_changes(self, changes: ObjectChanges) -> None:
        """Apply the changes since the replica's revision."""
        restored = self._begin_era_if_restored(changes.revision)
        changed, lost = 0, 0
        for event in changes.events:
            if not event.deleted:
                changed += self._put(event.object)
                continue
            known = self._objects.get(event.object.name)
            if known is not None and event.object.revision <= known.revision:
                # The event carries the revision of the object, not of its deletion.
                self._change_revision = max(self._change_revision, changes.revision)
            self._change_revision = max(self._change_revision, event.object.revision)
            self._delete(event.object.name, event.object)
        if changes.names is not None:
            lost = self._delete_unlisted(changes.names, changes.revision, restored=restored)
        if restored:
            self._adopt_era(changes.revision.era)
            self._log_restore(changes.revision, lost, changed)
        self._revision = max(changes.revision, self._revision or NO_REVISION)

    def changes_since(self, revision: StoreRevision) -> ObjectChanges | None:
        """Return the changes since a revision, or None if they are not known."""
        if self._revision is None:
            return None
        if revision.era == self._revision.era:
            if self._former_end is not None and revision < self._era_start:
                return self._changes_by_objects(revision)
            if revision < self._history.start:
                return None
            return ObjectChanges(self._change_revision, self._events_since(revision))
        return self._changes_since_former_era(revision)

    def _changes_by_objects(self, revision: StoreRevision) -> ObjectChanges:
        """Return the changes since a revision from before this VM's first in the same era."""
        events = tuple(
            ObjectEvent(stored, deleted=False)
            for stored in self._objects.values()
            if stored.revision > revision
        )
        return ObjectChanges(self._change_revision, events, frozenset(self._objects))

    def _changes_since_former_era(self, revision: StoreRevision) -> ObjectChanges | None:
        """Return the changes since a revision of the era before the current one, if known."""
        former_end = self._former_end
        if former_end is None or revision.era != former_end.era:
            return None
        if not self._history.start <= revision <= former_end:
            return None
        events = self._events_since(revision)
        return ObjectChanges(self._change_revision, events, frozenset(self._objects))

    def _events_since(self, revision: StoreRevision) -> tuple[ObjectEvent, ...]:
        return self._history.events_since(revision, self._objects)

    def _begin_history(self, revision: StoreRevision) -> None:
        """Begin the history at the first listing; deletions before it are unknown."""
        self._first_era = revision.era
        self._history.start = revision
        self._change_revision = StoreRevision(revision.era, 0)

    def _begin_era_if_restored(self, revision: StoreRevision) -> bool:
        """Begin a new era if a revision is of a later one; return whether it is."""
        if self._revision is None or revision.era <= self._revision.era:
            return False
        self._former_end = self._revision
        self._era_start = revision
        self._change_revision = revision
        return True

    def _adopt_era(self, era: int) -> None:
        """Count the objects that a restore did not change as objects of the new era.

        They are in the copy that was restored, so that they have the same number in both eras.
        """
        for name, stored in self._objects.items():
            if stored.revision.era != era:
                revision = StoreRevision(era, stored.revision.number)
                self._objects[name] = attrs.evolve(stored, revision=revision)

    def _log_restore(self, revision: StoreRevision, lost: int, changed: int) -> None:
        _log.warning(
            Event.REPLICA_RESTORED,
            kind=self._kind.name,
            revision=revision,
            known=self._former_end,
            objects=len(self._objects),
            lost=lost,
            changed=changed,
        )

    def _delete_unlisted(
        self, names: frozenset[str], revision: StoreRevision, *, restored: bool
    ) -> int:
        """Delete the objects that are not among all names at a revision; return their number."""
        unlisted = [name for name in self._objects if name not in names]
        for name in unlisted:
            # The revision of the deletion is unknown, but VMs that follow this one must see it.
            self._change_revision = max(self._change_revision, revision)
            if restored:
                self._handler.on_lost(name)
            self._delete(name)
        return len(unlisted)

    def _put(self, stored: StoredObject) -> bool:
        """Apply an object; return whether it changes the one that is known."""
        known = self._objects.get(stored.name)
        self._change_revision = max(self._change_revision, stored.revision)
        if known is not None and known.revision >= stored.revision:
            self._log_passed_over(stored, known)
            return False
        self._objects[stored.name] = stored
        if known is not None and _unchanged_by_restore(stored, known):
            return False
        accepted = self._handler.on_put(stored)
        self._history.record_put(stored, stored.revision, known, accepted=accepted)
        return True

    def _log_passed_over(self, stored: StoredObject, known: StoredObject) -> None:
        """Log an object that is not newer than the known one but differs from it."""
        if stored.revision == known.revision and stored.value != known.value:
            _log.warning(
                Event.OBJECT_PASSED_OVER,
                kind=self._kind.name,
                name=stored.name,
                revision=stored.revision,
            )

    def _delete(self, name: str, deleted: StoredObject | None = None) -> None:
        """Delete an object.

        An unknown one was created and deleted since the last change that this VM had; other VMs may
        have seen it between.

        :param deleted: the object in the event of the deletion, if there was one
        """
        known = self._objects.pop(name, None)
        former = known or deleted
        if former is not None:
            self._history.record_deletion(former, self._change_revision)
        if known is not None:
            self._handler.on_delete(name)


def _unchanged_by_restore(stored: StoredObject, known: StoredObject) -> bool:
    """Return whether an object of a new era is the known one of the era before."""
    return (
        stored.revision.number == known.revision.number
        and stored.value == known.value
        and stored.deletion_pending == known.deletion_pending
    )


def latest_era(replicas: Iterable[Replica]) -> int:
    """Return the latest era of the store that any replica has reached."""
    return max(replica.change_revision.era for replica in replicas)
