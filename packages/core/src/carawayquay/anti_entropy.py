"""Anti-entropy: decides from a peer's heartbeat whether to pull objects from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.objects import Pull

if TYPE_CHECKING:
    from carawayquay.heartbeats import Heartbeat
    from carawayquay.objects import ObjectTable

__all__ = ["AntiEntropy"]


class AntiEntropy:
    """Compares the digests in heartbeats with the objects of this process.

    Usually only objects that a heartbeat lists as recently changed are pulled. All digests are
    compared if the peer's newest version is higher than any here although no recent change is
    missing, or if the same difference persists over two heartbeats.
    """

    def __init__(self, objects: ObjectTable) -> None:
        self._objects = objects
        self._last_difference: dict[str, tuple[int, int]] = {}

    def in_sync(self, heartbeat: Heartbeat) -> bool:
        """Return whether the sender has the same versions of all objects."""
        return heartbeat.summary == self._objects.summary

    def plan(self, heartbeat: Heartbeat) -> Pull | None:
        """Return the pull request to send to the sender, or None if none is needed."""
        if self.in_sync(heartbeat):
            self._last_difference.pop(heartbeat.vm, None)
            return None
        outdated = self._objects.outdated(heartbeat.recent)
        if outdated:
            return Pull(outdated, complete=False)
        difference = (heartbeat.summary, self._objects.summary)
        persistent = self._last_difference.get(heartbeat.vm) == difference
        self._last_difference[heartbeat.vm] = difference
        if persistent or heartbeat.newest > self._objects.newest:
            return Pull(self._objects.digests(), complete=True)
        return None
