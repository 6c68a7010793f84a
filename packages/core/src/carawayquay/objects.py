"""The store's objects that a process holds and passes on, which only move up in version."""

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

#: The kinds of objects that every entry VM holds.
DOCUMENTS = "documents"
VM_LISTS = "vms"

#: An answer to a pull ends with the object that passes this size.
MAX_PULL_BYTES = 1024 * 1024

#: Changes that a heartbeat names; whoever missed more compares all digests.
_MAX_RECENT = 4


@attrs.frozen
class StoredObject:
    """An object as the store or a peer gives it.

    :param version: the version of the object in the store
    :param value: the stored value as JSON
    """

    kind: str
    name: str
    version: int
    value: bytes


@attrs.frozen
class Digest:
    """The versions of an object that a process holds.

    :param seen: the newest version, 0 if there is none
    :param in_force: the newest version that its reader accepted, 0 if there is none
    """

    kind: str
    name: str
    seen: int
    in_force: int


@attrs.frozen
class Pull:
    """The call that asks another entry VM for objects newer than one's own.

    :param complete: whether the digests name all that the caller holds, so that the answer is to
        include objects that they do not name
    """

    digests: list[Digest]
    complete: bool


@attrs.frozen
class Pulled:
    """The answer to a pull.

    :param more: whether the size limit left objects out
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
    """The newest object and the newest accepted one under each kind and name.

    A refused object is kept beside the accepted one, so that a process that starts while the
    store's newest object is bad gets the last good one from its peers.
    """

    def __init__(self) -> None:
        self._adopters: dict[str, Adopter] = {}
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._recent: list[tuple[str, str]] = []
        self._summary = 0
        self._newest = 0

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds that are held, in order."""
        return tuple(sorted(self._adopters))

    @property
    def summary(self) -> int:
        """A hash of every digest; two processes that hold the same objects have the same."""
        return self._summary

    @property
    def newest(self) -> int:
        """The highest version of any object, or 0."""
        return self._newest

    @property
    def recent(self) -> list[Digest]:
        """The digests of the objects that changed last."""
        return [self.digest(kind, name) for kind, name in self._recent]

    def digest(self, kind: str, name: str) -> Digest:
        """Return the versions that are held of one object."""
        entry = self._entries.get((kind, name))
        if entry is None:
            return Digest(kind, name, 0, 0)
        return Digest(kind, name, entry.newest.version, entry.in_force_version)

    def digests(self) -> list[Digest]:
        """Return the versions that are held of every object."""
        return [self.digest(kind, name) for kind, name in self._entries]

    def behind(self, digests: Iterable[Digest]) -> list[Digest]:
        """Return what is held of the objects of which another process holds newer versions."""
        found = []
        for theirs in digests:
            ours = self.digest(theirs.kind, theirs.name)
            newer = theirs.seen > ours.seen or theirs.in_force > ours.in_force
            if newer and theirs.kind in self._adopters:
                found.append(ours)
        return found

    def answer(self, pull: Pull) -> Pulled:
        """Return the objects that are newer here than with the caller, up to a size limit."""
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
        """Hold objects of a kind.

        :param adopter: puts an object in force; it raises ``ObjectError`` to refuse it
        """
        self._adopters[kind] = adopter

    def offer(self, item: StoredObject) -> bool:
        """Take an object if it is newer than the one in force; return whether it was accepted.

        :raises ObjectError: if it is refused and was not refused before
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
            self._hold(item, accepted=False)
            raise
        self._hold(item, accepted=True)
        return True

    def _newer(self, key: tuple[str, str], theirs: Digest) -> list[StoredObject]:
        """Return the accepted and the newest object if they are newer than another's."""
        entry = self._entries.get(key)
        if entry is None:
            return []
        items = []
        if entry.in_force is not None and entry.in_force.version > theirs.in_force:
            items.append(entry.in_force)
        if entry.newest.version > max(theirs.seen, entry.in_force_version):
            items.append(entry.newest)
        return items

    def _hold(self, item: StoredObject, *, accepted: bool) -> None:
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
