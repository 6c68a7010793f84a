"""Tests of the model of requests through other VMs, with all safeguards and without each one."""

from __future__ import annotations

import pytest

from carawayquay_models.peer_forwarding import Safeguard, check
from carawayquay_models.verdicts import counterexamples

ONCE = "a request that must not be repeated runs at most once"
TRUE_REFUSAL = "a request that is told as not run does not run"
ATTEMPTS = "no more targets than max_attempts receive a request"
ONE_HOP = "a request goes through one other VM at a time"
DEADLINE = "the caller is answered by its deadline"
VERSION = "no request is sent by an older configuration"


@pytest.mark.parametrize("repeatable", [False, True])
def test_whole_model_holds(repeatable):
    report = check(repeatable=repeatable)
    assert report["exhaustive"]
    assert counterexamples(report) == {}


@pytest.mark.parametrize(
    ("safeguard", "repeatable", "rules"),
    [
        (Safeguard.ONE_HOP, False, {ONE_HOP}),
        (Safeguard.ONE_HOP, True, {ONE_HOP}),
        (Safeguard.UNKNOWN_IS_NOT_REFUSED, False, {TRUE_REFUSAL}),
        (Safeguard.UNKNOWN_IS_NOT_REFUSED, True, {TRUE_REFUSAL}),
        (Safeguard.SENT_ONCE, False, {ONCE}),
        (Safeguard.COUNTED_BY_SENDER, True, {ATTEMPTS}),
        (Safeguard.ONE_TARGET, True, {ATTEMPTS, TRUE_REFUSAL}),
        (Safeguard.OWN_TIMER, False, {DEADLINE}),
        (Safeguard.OWN_TIMER, True, {DEADLINE}),
        (Safeguard.VERSION, False, {VERSION}),
        (Safeguard.VERSION, True, {VERSION}),
    ],
)
def test_each_safeguard_guards_exactly_its_properties(safeguard, repeatable, rules):
    report = check(safeguard, repeatable=repeatable)
    assert report["exhaustive"]
    assert set(counterexamples(report)) == rules
