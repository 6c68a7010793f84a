"""The requests that this VM has at targets, by the fingerprints of equal requests."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["RunningRequests"]


class RunningRequests:
    """Counts the requests at targets, to keep those apart that may crash their target."""

    def __init__(self) -> None:
        self._running: Counter[tuple[str, int]] = Counter()

    @contextmanager
    def running(self, target: str, fingerprint: int) -> Iterator[None]:
        """Count a request as running at a target within the context."""
        key = target, fingerprint
        self._running[key] += 1
        try:
            yield
        finally:
            self._running[key] -= 1
            if not self._running[key]:
                del self._running[key]

    def targets_of_other_suspects(
        self, fingerprint: int, is_suspect: Callable[[int], bool]
    ) -> set[str]:
        """Return the names of the targets that run suspects with other fingerprints."""
        return {
            target for target, other in self._running if other != fingerprint and is_suspect(other)
        }
