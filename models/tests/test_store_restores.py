"""Tests of the model of a store that is restored, with all safeguards and without each one."""

from __future__ import annotations

import pytest

from carawayquay_models.store_restores import Safeguard, check
from carawayquay_models.verdicts import counterexamples

MONOTONIC = "the version in force never decreases"
FOLLOWS = "a VM that follows the store gets the newest version"
SHARED = "a VM gets a version that only another VM has"


def test_whole_model_holds():
    report = check()
    assert report["exhaustive"]
    assert counterexamples(report) == {}


@pytest.mark.parametrize(
    ("safeguard", "rule"),
    [
        (Safeguard.ERA_ORDER, FOLLOWS),
        (Safeguard.WATCH_IN_ERA, FOLLOWS),
        (Safeguard.VERSION_ORDER, MONOTONIC),
        (Safeguard.PULL_BY_VERSION, SHARED),
    ],
)
def test_each_safeguard_is_needed(safeguard, rule):
    assert rule in counterexamples(check(safeguard))
