"""Tests of the model of watches without an answer, with all safeguards and without each one."""

from __future__ import annotations

import pytest

from carawayquay_models.store_watches import Safeguard, check
from carawayquay_models.verdicts import counterexamples

SOUND = "no VM is confirmed beyond what it knows"
LEARNS = "a VM that the store answers learns every change"
ANSWERED = "a VM on which another one relies was answered"


def test_whole_model_holds():
    report = check()
    assert report["exhaustive"]
    assert counterexamples(report) == {}


@pytest.mark.parametrize(
    ("safeguard", "rule"),
    [
        (Safeguard.CHECK, LEARNS),
        (Safeguard.CONFIRM_BY_ANSWER, SOUND),
        (Safeguard.ANSWER_FIRST, ANSWERED),
        (Safeguard.COMPARE_REPORT, SOUND),
    ],
)
def test_each_safeguard_is_needed(safeguard, rule):
    assert rule in counterexamples(check(safeguard))
