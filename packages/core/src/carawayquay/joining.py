"""Decides when a VM that starts has the objects that its peers have in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.freshness import UNCONFIRMED_MS

if TYPE_CHECKING:
    from carawayquay.heartbeats import Heartbeat

__all__ = ["Joining"]

#: Rounds in which a starting VM contacts listed members before it trusts the store alone.
_MAX_ROUNDS = 3


class Joining:
    """The contacts of a starting VM, until it may read documents from the store.

    A store that answers with an older copy could replace newer documents that peers have in force.
    A peer whose own objects were never confirmed is starting as well and may lack them, so its
    reply proves nothing.
    """

    def __init__(self) -> None:
        self._rounds = 0
        self._caught_up = False

    @property
    def done(self) -> bool:
        """Whether the objects in force were taken from a peer, or no peer seems to have any."""
        return self._caught_up or self._rounds >= _MAX_ROUNDS

    def record(self, reply: Heartbeat, *, has_objects: bool) -> None:
        """Record the reply of a contact.

        :param has_objects: whether this VM now has all objects of the sender
        """
        if has_objects and reply.confirmed_age_ms != UNCONFIRMED_MS:
            self._caught_up = True

    def end_round(self, *, listed: bool) -> None:
        """Record that every contact of a round has replied or failed.

        :param listed: whether members of a VM list were among the contacts
        """
        self._rounds += listed
