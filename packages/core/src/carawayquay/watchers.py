"""Selects the members of a failure domain that watch the store."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["WATCHER_COUNT", "Candidate", "StoreHealth", "ranked_watchers", "watchers"]

#: Number of members of a failure domain that watch the store.
WATCHER_COUNT = 2

#: Time for which a failed call to the store counts: the minimum, and the time per member.
_MIN_RETRY = timedelta(seconds=5)
_RETRY_PER_MEMBER = timedelta(milliseconds=250)


@attrs.frozen
class Candidate:
    """A live member of a failure domain.

    :param store_failed: whether its calls to the store failed recently
    """

    name: str
    store_failed: bool = False


def ranked_watchers(domain: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return the members of a failure domain in the order of preference as watchers."""
    return ranked(f"watch/{domain}", members)


def watchers(domain: str, candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """Return the members that watch the store; those with failed calls are chosen last.

    >>> healthy = [Candidate("a"), Candidate("b"), Candidate("c")]
    >>> first, second = watchers("puget-a", healthy)
    >>> failing = [attrs.evolve(vm, store_failed=vm.name == first) for vm in healthy]
    >>> first in watchers("puget-a", failing)
    False
    """
    failed = {candidate.name: candidate.store_failed for candidate in candidates}
    order = ranked_watchers(domain, failed)
    return tuple(sorted(order, key=lambda name: failed[name]))[:WATCHER_COUNT]


class StoreHealth:
    """Whether this process's calls to the store failed recently.

    A failure counts for a time that grows with the number of members in the failure domain, so that
    the call rate of a domain during a long outage does not grow with its members.
    """

    def __init__(self) -> None:
        self._failed_at: timedelta | None = None

    def recently_failed(self, now: timedelta, members: int) -> bool:
        """Return whether a failure is recent, so that another member should watch the store.

        :param members: the number of members of the failure domain
        """
        if self._failed_at is None:
            return False
        return now - self._failed_at < max(_MIN_RETRY, members * _RETRY_PER_MEMBER)

    def record_failure(self, now: timedelta) -> None:
        """Record a failed call."""
        self._failed_at = now

    def record_success(self) -> None:
        """Record a successful call, which clears an earlier failure."""
        self._failed_at = None
