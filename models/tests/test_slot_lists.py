"""Tests of the model of slot shares across list versions, with and without each safeguard."""

from __future__ import annotations

import pytest

from carawayquay_models.slot_lists import Safeguard, check

PROPERTY = "running_at_most_slots"

#: Limit of states within which a counterexample after a restart is found.
SHORT_SEARCH = 60_000

#: Safeguards that only affect a restarted process.
AFTER_START = {Safeguard.HOLD_AFTER_START, Safeguard.SETTLE_AFTER_START}


def test_running_requests_never_exceed_the_slots():
    result = check()
    assert result["exhaustive"]
    assert result["properties"][PROPERTY]["holds"]


@pytest.mark.parametrize("safeguard", sorted(set(Safeguard) - AFTER_START, key=lambda s: s.name))
def test_each_safeguard_is_needed(safeguard):
    result = check(disabled=safeguard, restarts=False)["properties"][PROPERTY]
    assert result["holds"] is False
    assert result["counterexample"]


@pytest.mark.parametrize("safeguard", sorted(AFTER_START, key=lambda s: s.name))
def test_each_safeguard_of_a_restart_is_needed(safeguard):
    result = check(disabled=safeguard, max_states=SHORT_SEARCH)["properties"][PROPERTY]
    assert result["holds"] is False
    assert result["counterexample"]
