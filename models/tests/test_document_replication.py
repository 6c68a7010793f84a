"""Tests of the model of document replication, with all safeguards and without each one."""

from __future__ import annotations

from carawayquay_models.document_replication import Safeguard, check
from carawayquay_models.verdicts import counterexamples

MONOTONIC = "the version in force never decreases"
VALID = "no invalid document is in force"
CONVERGENCE = "connected VMs converge on the last valid document"


def test_whole_model_holds():
    report = check()
    assert report["exhaustive"]
    assert counterexamples(report) == {}


def test_without_monotonic_versions_a_stale_store_lowers_a_version():
    assert counterexamples(check(Safeguard.MONOTONIC_VERSIONS))[MONOTONIC] == (
        "a valid document is written",
        "a reads version 2",
        "a reads version 1",
    )


def test_without_validation_an_invalid_document_is_in_force():
    assert counterexamples(check(Safeguard.VALIDATION)) == {
        VALID: ("an invalid document is written", "a reads version 2")
    }


def test_without_the_accepted_digest_a_new_vm_never_gets_the_last_valid_document():
    found = counterexamples(check(Safeguard.ACCEPTED_DIGEST))
    assert found[CONVERGENCE] == (
        "an invalid document is written",
        "a reads version 1",
        "a reads version 2",
    )
    assert "b restarts" in found[MONOTONIC]


def test_without_peers_first_a_restarted_vm_takes_an_older_copy_of_the_store():
    assert counterexamples(check(Safeguard.PEERS_FIRST))[MONOTONIC] == (
        "a valid document is written",
        "a reads version 2",
        "b reads version 2",
        "a restarts",
        "a reads version 1",
    )


def test_without_anti_entropy_a_lost_change_is_never_pulled_again():
    assert CONVERGENCE in counterexamples(check(Safeguard.ANTI_ENTROPY))
