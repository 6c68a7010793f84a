"""Tests of the model of key claims, with all safeguards and without each one."""

from __future__ import annotations

import pytest

from carawayquay_models.key_claims import CONFIGURATIONS, Configuration, Safeguard, check

TAKEOVER, RELEASED, _, _ = CONFIGURATIONS
PAIR = Configuration("pair", nodes=2, epochs=3, attempts=2, restarts=0, late_messages=0)
RESTARTED = Configuration("restarted", nodes=2, epochs=2, attempts=2, restarts=1, late_messages=0)
NOT_RUN = "not_run_is_true"
RUNS = "runs_at_most_once"

#: By safeguard: a configuration in which a check without it fails, and the invariant violated.
COUNTEREXAMPLES = {
    Safeguard.ACKNOWLEDGE_BEFORE_DISPATCH: (TAKEOVER, RUNS),
    Safeguard.REJECT_OLD_EPOCH: (TAKEOVER, RUNS),
    Safeguard.UNDECIDED_AFTER_TAKEOVER: (TAKEOVER, RUNS),
    Safeguard.COMPLETE_BEFORE_TAKEOVER: (PAIR, RUNS),
    Safeguard.COMPLETE_SINCE: (TAKEOVER, RUNS),
    Safeguard.KEY_EPOCH: (TAKEOVER, RUNS),
    Safeguard.CONDITIONAL_WRITE: (TAKEOVER, RUNS),
    Safeguard.INCARNATION: (RESTARTED, RUNS),
    Safeguard.RELEASE_ON_REJECTION: (TAKEOVER, RUNS),
    Safeguard.SEQUENCE: (RELEASED, RUNS),
    Safeguard.REJECT_FIRST_ATTEMPT_ONLY: (TAKEOVER, NOT_RUN),
}


@pytest.mark.parametrize("configuration", CONFIGURATIONS, ids=lambda c: c.name)
def test_protocol_satisfies_its_invariants(configuration):
    report = check(configuration)
    assert report.exhaustive
    assert report.violations == {}


@pytest.mark.parametrize("safeguard", Safeguard, ids=lambda s: s.name)
def test_protocol_without_a_safeguard_violates_an_invariant(safeguard):
    configuration, invariant = COUNTEREXAMPLES[safeguard]
    report = check(configuration, frozenset({safeguard}), max_states=80_000)
    assert invariant in report.violations
