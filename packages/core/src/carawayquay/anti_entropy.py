"""Decides from a peer's heartbeat whether to pull objects from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.objects import Pull

if TYPE_CHECKING:
    from carawayquay.heartbeats import Heartbeat
    from carawayquay.objects import ObjectTable

__all__ = ["AntiEntropy"]


class AntiEntropy:
    """Compares heartbeats with the objects held here.

    Most pulls name the few objects that a heartbeat calls recent. All digests are compared only if
    the peer holds a version that no recent change explains, or if two tables stay different from
    one heartbeat to the next.
    """

    def __init__(self, objects: ObjectTable) -> None:
        self._objects = objects
        self._differing: dict[str, tuple[int, int]] = {}

    def in_sync(self, heartbeat: Heartbeat) -> bool:
        """Return whether the sender holds the same objects."""
        return heartbeat.summary == self._objects.summary

    def plan(self, heartbeat: Heartbeat) -> Pull | None:
        """Return what to ask of the sender, or None if nothing."""
        if self.in_sync(heartbeat):
            self._differing.pop(heartbeat.vm, None)
            return None
        behind = self._objects.behind(heartbeat.recent)
        if behind:
            return Pull(behind, complete=False)
        difference = (heartbeat.summary, self._objects.summary)
        lasting = self._differing.get(heartbeat.vm) == difference
        self._differing[heartbeat.vm] = difference
        if lasting or heartbeat.newest > self._objects.newest:
            return Pull(self._objects.digests(), complete=True)
        return None
