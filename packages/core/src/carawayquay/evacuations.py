"""The evacuated failure domains, kept through restores of the store from older copies."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawayquay.store_revision import StoreRevision

__all__ = ["Evacuations"]

#: Time after a restore in which what was confirmed before it counts, since it is written again.
_REWRITE_GRACE = timedelta(seconds=5)

#: Maximum number of ended evacuations that are remembered; the oldest are forgotten first.
_MAX_ENDED = 200


class Evacuations:
    """The evacuated failure domains.

    A restored store may lack an evacuation that it had confirmed, or bring back one that had ended.
    Until these are written again, or a grace period is over, the state before the restore counts.
    """

    def __init__(self) -> None:
        self._started: dict[str, StoreRevision] = {}
        self._ended: dict[str, StoreRevision] = {}
        self._missing_until: dict[str, timedelta] = {}
        self._returned: dict[str, tuple[StoreRevision, timedelta]] = {}

    def __contains__(self, domain: str) -> bool:
        return domain in self._started

    def __iter__(self) -> Iterator[str]:
        return iter(self._started)

    def __len__(self) -> int:
        return len(self._started)

    def start(self, domain: str, revision: StoreRevision, now: timedelta) -> bool:
        """Evacuate a domain; return False if the evacuation ended before the store was restored.

        :param revision: of the evacuation's object
        """
        ended = self._ended.get(domain)
        if ended is not None and revision.era > ended.era and revision.number == ended.number:
            self._returned[domain] = (revision, now + _REWRITE_GRACE)
            return False
        self._ended.pop(domain, None)
        self._returned.pop(domain, None)
        self._missing_until.pop(domain, None)
        self._started[domain] = revision
        return True

    def end(self, domain: str) -> bool:
        """End the evacuation of a domain; return whether it was evacuated."""
        self._missing_until.pop(domain, None)
        self._returned.pop(domain, None)
        revision = self._started.pop(domain, None)
        if revision is None:
            return False
        self._ended.pop(domain, None)
        self._ended[domain] = revision
        while len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        return True

    def keep_missing(self, domain: str, now: timedelta) -> None:
        """Keep an evacuation that the restored store lacks until it is written again or expires."""
        if domain in self._started:
            self._missing_until.setdefault(domain, now + _REWRITE_GRACE)

    def pop_expired(self, now: timedelta) -> tuple[list[str], list[str]]:
        """Apply what the store holds where the grace period is over.

        :returns: the domains whose evacuation ended, and those whose evacuation started
        """
        ended = [domain for domain, until in self._missing_until.items() if now >= until]
        started = [domain for domain, (_, until) in self._returned.items() if now >= until]
        for domain in ended:
            self.end(domain)
        for domain in started:
            revision, _ = self._returned.pop(domain)
            self._ended.pop(domain, None)
            self._started[domain] = revision
        return ended, started
