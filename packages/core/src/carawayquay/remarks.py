"""What a reader found in an object that it did not understand, and what it did about it."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Remark", "RemarkEffect", "Remarks"]


class RemarkEffect(enum.Enum):
    """What follows from a part that was not understood."""

    #: The part is not used; its last good version stays in force, if there is one.
    REFUSED = "refused"
    #: The part is used, with the most careful meaning that it can have.
    ASSUMED = "assumed"
    #: The part is a field that this version of the program does not know.
    PASSED_OVER = "passed-over"


@attrs.frozen
class Remark:
    """One thing that was not understood.

    :param subject: the part, named so that an operator finds it
    :param detail: what is wrong with it
    """

    effect: RemarkEffect
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.effect.value}: {self.subject}: {self.detail}"


class Remarks:
    """Remarks on one object, equal ones counted together."""

    def __init__(self) -> None:
        self._counts: dict[Remark, int] = {}

    def add(self, effect: RemarkEffect, subject: str, detail: str) -> None:
        """Take a remark."""
        remark = Remark(effect, subject, detail)
        self._counts[remark] = self._counts.get(remark, 0) + 1

    def counts(self) -> tuple[tuple[Remark, int], ...]:
        """Return each remark and how often it was made, in order of their first time."""
        return tuple(self._counts.items())
