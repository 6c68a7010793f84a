"""Replicas of the store's objects, exchanged between VMs; accepted versions only increase."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from carawayquay.errors import ObjectError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    Adopter = Callable[["StoredObject"], None]

__all__ = [
    "DOCUMENTS",
    "MAX_PULL_BYTES",
    "VM_LISTS",
    "Digest",
    "ObjectTable",
    "Pull",
    "Pulled",
    "StoredObject",
]

#: Kinds of objects that every entry VM replicates.
DOCUMENTS = "documents"
VM_LISTS = "vms"

#: Size limit of a reply to a pull in bytes; the object that exceeds it is the last one included.
MAX_PULL_BYTES = 1024 * 1024

#: Number of recent changes in a heartbeat; a VM that missed more compares all digests.
_MAX_RECENT = 4


@attrs.frozen
class StoredObject:
    """An object received from the store or a peer.

    :param version: resource version of the object in the store
    :param value: the stored value as JSON
    """

    kind: str
    name: str
    version: int
    value: bytes


@attrs.frozen
class Digest:
    """The versions of an object that a process has.

    :param seen: newest version, 0 if there is none
    :param in_force: newest version accepted as valid, 0 if there is none
    """

    kind: str
    name: str
    seen: int
    in_force: int


@attrs.frozen
class Pull:
    """Requests objects from another entry VM that are newer than the given digests.

    :param complete: whether the digests cover all objects of the requester, so that the reply
        includes objects without a digest
    """

    digests: list[Digest]
    complete: bool


@attrs.frozen
class Pulled:
    """The reply to a ``Pull``.

    :param more: whether objects were left out because of the size limit
    """

    objects: list[StoredObject]
    more: bool = False


@attrs.define
class _Entry:
    newest: StoredObject
    in_force: StoredObject | None = None

    @property
    def in_force_version(self) -> int:
        return self.in_force.version if self.in_force else 0


class ObjectTable:
    """Keeps the newest version and the newest accepted version of each object.

    Both are kept because the newest one may have been refused: a process that starts while the
    store's newest version is invalid gets the last valid one from its peers.
    """

    def __init__(self) -> None:
        self._adopters: dict[str, Adopter] = {}
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._recent: list[tuple[str, str]] = []
        self._summary = 0
        self._newest = 0

    @property
    def kinds(self) -> tuple[str, ...]:
        """The registered kinds in alphabetical order."""
        return tuple(sorted(self._adopters))

    @property
    def summary(self) -> int:
        """A hash over all digests, equal for two processes with the same versions."""
        return self._summary

    @property
    def newest(self) -> int:
        """The highest version of all objects, or 0 if there are none."""
        return self._newest

    @property
    def recent(self) -> list[Digest]:
        """The digests of the most recently changed objects."""
        return [self.digest(kind, name) for kind, name in self._recent]

    def digest(self, kind: str, name: str) -> Digest:
        """Return the digest of one object."""
        entry = self._entries.get((kind, name))
        if entry is None:
            return Digest(kind, name, 0, 0)
        return Digest(kind, name, entry.newest.version, entry.in_force_version)

    def in_force(self, kind: str, name: str) -> StoredObject | None:
        """Return the newest accepted version of an object, or None if there is none."""
        entry = self._entries.get((kind, name))
        return None if entry is None else entry.in_force

    def digests(self) -> list[Digest]:
        """Return the digests of all objects."""
        return [self.digest(kind, name) for kind, name in self._entries]

    def outdated(self, digests: Iterable[Digest]) -> list[Digest]:
        """Return the own digests of objects of which another process has a newer version.

        :param digests: the digests of the other process
        """
        found = []
        for theirs in digests:
            ours = self.digest(theirs.kind, theirs.name)
            newer = theirs.seen > ours.seen or theirs.in_force > ours.in_force
            if newer and theirs.kind in self._adopters:
                found.append(ours)
        return found

    def answer(self, pull: Pull) -> Pulled:
        """Return the objects that are newer here than at the requester, up to the size limit."""
        known = {(digest.kind, digest.name): digest for digest in pull.digests}
        keys = list(self._entries if pull.complete else known)
        objects: list[StoredObject] = []
        size = 0
        for key in keys:
            for item in self._newer(key, known.get(key) or Digest(*key, 0, 0)):
                if size > MAX_PULL_BYTES:
                    return Pulled(objects, more=True)
                objects.append(item)
                size += len(item.value)
        return Pulled(objects)

    def register(self, kind: str, adopter: Adopter) -> None:
        """Register a kind of object to replicate.

        :param adopter: applies an object, or raises ``ObjectError`` to refuse it
        """
        self._adopters[kind] = adopter

    def offer(self, item: StoredObject) -> bool:
        """Apply an object if it is newer than the one in force; return whether it was accepted.

        :raises ObjectError: if the object is refused; the newest version is not tried again
        """
        adopter = self._adopters.get(item.kind)
        entry = self._entries.get((item.kind, item.name))
        if adopter is None:
            return False
        known = entry is not None and item.version in (entry.newest.version, entry.in_force_version)
        if known or (entry is not None and item.version < entry.in_force_version):
            return False
        try:
            adopter(item)
        except ObjectError:
            self._store(item, accepted=False)
            raise
        self._store(item, accepted=True)
        return True

    def _newer(self, key: tuple[str, str], theirs: Digest) -> list[StoredObject]:
        """Return the accepted and the newest version of an object, as far as a peer lacks them."""
        entry = self._entries.get(key)
        if entry is None:
            return []
        items = []
        if entry.in_force is not None and entry.in_force.version > theirs.in_force:
            items.append(entry.in_force)
        if entry.newest.version > max(theirs.seen, entry.in_force_version):
            items.append(entry.newest)
        return items

    def _store(self, item: StoredObject, *, accepted: bool) -> None:
        key = (item.kind, item.name)
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry(item)
        else:
            self._summary ^= _hash(self.digest(*key))
        if item.version > entry.newest.version:
            entry.newest = item
        if accepted:
            entry.in_force = item
        self._summary ^= _hash(self.digest(*key))
        self._newest = max(self._newest, item.version)
        self._recent = [*(recent for recent in self._recent if recent != key), key][-_MAX_RECENT:]


def _hash(digest: Digest) -> int:
    text = f"{digest.kind}\0{digest.name}\0{digest.seen}\0{digest.in_force}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
