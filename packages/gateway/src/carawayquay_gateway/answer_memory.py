"""The memory for answers while they are received, from targets and through other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay_wire.body_budget import BodyBudget

if TYPE_CHECKING:
    from carawayquay_gateway.settings import GatewaySettings

__all__ = ["AnswerMemory", "new_answer_memory"]

#: Shares of the process's memory for all answers while they are received, and for a single one.
_ALL_ANSWERS_SHARE = 0.2
_ONE_ANSWER_SHARE = 0.15
_BYTES_IN_MB = 1_000_000


@attrs.frozen
class AnswerMemory:
    """The memory for answers.

    :param budget: what all answers share
    :param max_answer_bytes: the limit of one answer's body
    """

    budget: BodyBudget
    max_answer_bytes: int


def new_answer_memory(settings: GatewaySettings) -> AnswerMemory:
    """Return the memory for answers of a process with some settings."""
    memory = settings.memory_mb * _BYTES_IN_MB
    return AnswerMemory(
        BodyBudget(int(memory * _ALL_ANSWERS_SHARE)), int(memory * _ONE_ANSWER_SHARE)
    )
