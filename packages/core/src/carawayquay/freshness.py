"""Whether a process knows that what it holds is current."""

from __future__ import annotations

from datetime import timedelta

__all__ = ["FRESHNESS_LIMIT", "UNCONFIRMED_MS", "Freshness"]

#: A process whose last confirmation is older does not know whether it is current.
FRESHNESS_LIMIT = timedelta(seconds=3)

#: The age that a heartbeat carries when there was no confirmation, in milliseconds.
UNCONFIRMED_MS = 2**32 - 1

_MILLISECOND = timedelta(milliseconds=1)


class Freshness:
    """The instants at which the store, or a peer on its behalf, said that nothing is newer.

    Only ages travel between processes, and a receiver counts an age back from the instant at which
    it asked, so that neither wall clocks nor slow links make a copy look newer than it is.
    """

    def __init__(self) -> None:
        self._confirmed: dict[str, timedelta | None] = {}

    def age(self, now: timedelta) -> timedelta | None:
        """Return how long ago everything held was confirmed, or None if it never was."""
        instants = [instant for instant in self._confirmed.values() if instant is not None]
        if not instants or len(instants) < len(self._confirmed):
            return None
        return now - min(instants)

    def age_ms(self, now: timedelta) -> int:
        """Return the age in milliseconds as heartbeats carry it."""
        age = self.age(now)
        if age is None:
            return UNCONFIRMED_MS
        return min(-(-age // _MILLISECOND), UNCONFIRMED_MS)

    def current(self, now: timedelta) -> bool:
        """Return whether everything held was confirmed lately."""
        age = self.age(now)
        return age is not None and age < FRESHNESS_LIMIT

    def track(self, kind: str) -> None:
        """Ask that objects of a kind be confirmed too."""
        self._confirmed.setdefault(kind)

    def confirm(self, kind: str, at: timedelta) -> None:
        """Note that the store had nothing newer of a kind at an instant."""
        held = self._confirmed.get(kind)
        if held is None or held < at:
            self._confirmed[kind] = at

    def confirm_from_peer(self, asked_at: timedelta, age_ms: int) -> None:
        """Note the confirmation of a peer that holds nothing newer.

        :param asked_at: when the peer was asked
        :param age_ms: the age of the peer's confirmation, in milliseconds
        """
        if age_ms == UNCONFIRMED_MS:
            return
        for kind in self._confirmed:
            self.confirm(kind, asked_at - age_ms * _MILLISECOND)
