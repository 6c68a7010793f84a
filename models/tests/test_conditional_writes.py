"""Tests of the model of conditional writes, with all safeguards and without each one."""

from __future__ import annotations

from carawayquay_models.conditional_writes import Safeguard, check
from carawayquay_models.verdicts import counterexamples

TRUE_OUTCOME = "each writer reports the true outcome"
BASE_REPLACED = "each change replaces only its base"


def test_whole_model_holds():
    report = check()
    assert report["exhaustive"]
    assert counterexamples(report) == {}


def test_without_conditional_update_two_writers_replace_the_same_version():
    found = counterexamples(check(Safeguard.CONDITIONAL_UPDATE))
    assert found[BASE_REPLACED] == (
        "one reads and sends",
        "two reads and sends",
        "one write arrives, answer is lost",
        "two write arrives, answer is lost",
    )
    assert TRUE_OUTCOME in found


def test_without_read_back_a_writer_reports_a_written_change_as_not_written():
    assert counterexamples(check(Safeguard.READ_BACK)) == {
        TRUE_OUTCOME: (
            "one reads and sends",
            "one write arrives, answer is lost",
            "one times out",
            "one reads back",
        )
    }
