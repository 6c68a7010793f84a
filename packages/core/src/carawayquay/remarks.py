"""Remarks on parts of an object that a reader did not understand, and their effects."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Remark", "RemarkEffect", "Remarks"]


class RemarkEffect(enum.Enum):
    """How a part that was not understood is treated."""

    #: The part is ignored; its last valid version stays in force, if there is one.
    REFUSED = "refused"
    #: The part is used with its most conservative interpretation.
    ASSUMED = "assumed"
    #: The part is a field that this version of the program does not know, and is ignored.
    PASSED_OVER = "passed-over"


@attrs.frozen
class Remark:
    """A part of an object that was not understood.

    :param subject: path of the part, by which an operator finds it
    :param detail: what is wrong with the part
    """

    effect: RemarkEffect
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.effect.value}: {self.subject}: {self.detail}"


class Remarks:
    """The remarks on one object, with the number of occurrences of each."""

    def __init__(self) -> None:
        self._counts: dict[Remark, int] = {}

    def add(self, effect: RemarkEffect, subject: str, detail: str) -> None:
        """Add a remark, or count another occurrence of an equal one."""
        remark = Remark(effect, subject, detail)
        self._counts[remark] = self._counts.get(remark, 0) + 1

    def counts(self) -> tuple[tuple[Remark, int], ...]:
        """Return each remark and the number of its occurrences, in order of the first."""
        return tuple(self._counts.items())
