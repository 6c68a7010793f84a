"""Age of the last confirmation that the objects of a process are current."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["FRESHNESS_LIMIT", "UNCONFIRMED_MS", "Freshness", "watch_complete_at"]

#: Age of a confirmation from which the objects no longer count as current.
FRESHNESS_LIMIT = timedelta(seconds=3)

#: Age in a heartbeat, in milliseconds, if the objects have never been confirmed.
UNCONFIRMED_MS = 2**32 - 1

_MILLISECOND = timedelta(milliseconds=1)


class Freshness:
    """Tracks when the store last confirmed each kind of object, directly or through peers.

    Processes exchange ages only, and a receiver subtracts an age from the time at which it sent the
    request, so neither wall clocks nor slow links make a copy look newer than it is.
    """

    def __init__(self) -> None:
        self._confirmed: dict[str, timedelta | None] = {}

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the oldest confirmation, or None if a kind was never confirmed."""
        instants = [instant for instant in self._confirmed.values() if instant is not None]
        if not instants or len(instants) < len(self._confirmed):
            return None
        return now - min(instants)

    def age_ms(self, now: timedelta) -> int:
        """Return the age in milliseconds, rounded up, or ``UNCONFIRMED_MS`` if there is none."""
        return _milliseconds(self.age(now))

    def age_ms_of(self, kind: str, now: timedelta) -> int:
        """Return the age of one kind in milliseconds, or ``UNCONFIRMED_MS`` if there is none."""
        return _milliseconds(self.age_of(kind, now))

    def age_of(self, kind: str, now: timedelta) -> timedelta | None:
        """Return the age of the confirmation of one kind, or None if it was never confirmed."""
        instant = self._confirmed.get(kind)
        return None if instant is None else now - instant

    def current(self, now: timedelta) -> bool:
        """Return whether the age is below ``FRESHNESS_LIMIT``."""
        age = self.age(now)
        return age is not None and age < FRESHNESS_LIMIT

    def track(self, kind: str) -> None:
        """Include a kind of object, which is unconfirmed at first."""
        self._confirmed.setdefault(kind)

    def confirm(self, kind: str, at: timedelta) -> None:
        """Record that the store had no newer object of a kind at a given time."""
        held = self._confirmed.get(kind)
        if held is None or held < at:
            self._confirmed[kind] = at

    def confirm_from_peer(self, asked_at: timedelta, age_ms: int) -> None:
        """Apply the confirmation of a peer that has the same objects to all kinds, if it has one.

        :param asked_at: time at which the request to the peer was sent
        :param age_ms: age of the peer's confirmation in milliseconds, or ``UNCONFIRMED_MS``
        """
        if age_ms == UNCONFIRMED_MS:
            return
        for kind in self._confirmed:
            self.confirm(kind, asked_at - age_ms * _MILLISECOND)


def watch_complete_at(
    asked_at: timedelta, answered_at: timedelta, wait: timedelta, *, changed: bool
) -> timedelta:
    """Return an instant up to which the answer to a watch is certain to contain every change.

    An answer without changes was made at the end of the wait; any other answer may have been made
    as soon as the store received the call.

    :param asked_at: when the watch was sent
    :param wait: how long the store was to wait for a change
    :param changed: whether the answer has changes
    """
    waited = answered_at - asked_at >= wait
    return asked_at + wait if waited and not changed else asked_at


def _milliseconds(age: timedelta | None) -> int:
    """Return an age in milliseconds, rounded up, or ``UNCONFIRMED_MS`` if there is none."""
    if age is None:
        return UNCONFIRMED_MS
    return min(-(-age // _MILLISECOND), UNCONFIRMED_MS)
