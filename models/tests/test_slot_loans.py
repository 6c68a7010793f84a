"""Tests of the model of slot loans, with all safeguards and without each one."""

from __future__ import annotations

import pytest

from carawayquay_models.slot_loans import Safeguard, check

PROPERTY = "running_at_most_slots"


def test_running_requests_never_exceed_the_slots():
    result = check()
    assert result["exhaustive"]
    assert result["properties"][PROPERTY]["holds"]


@pytest.mark.parametrize("safeguard", Safeguard)
def test_each_safeguard_is_needed(safeguard):
    result = check(disabled=safeguard)["properties"][PROPERTY]
    assert result["holds"] is False
    assert result["counterexample"]
