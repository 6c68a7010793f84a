"""Tests that the check of callers' results reports every violated guarantee."""

from __future__ import annotations

import pytest

from carawayquay_standins.caller import RequestResult, ResultKind
from carawayquay_standins.workload import Record, check_records


def record(kind=ResultKind.ANSWERED, key="k1", answer_matches=True, maybe_run=False):
    return Record(
        "puget-a/0",
        "sledway",
        "/stones",
        key,
        "steady",
        0.0,
        0.1,
        RequestResult(kind, 1, None, maybe_run),
        answer_matches,
    )


def run(key="k1"):
    return {"key": key}


@pytest.mark.parametrize(
    ("found", "runs"),
    [
        (record(), [run()]),
        (record(key=""), [run("")]),
        (record(ResultKind.NOT_RUN), []),
        (record(ResultKind.NOT_RUN, maybe_run=True), [run()]),
        (record(ResultKind.UNKNOWN), []),
        (record(ResultKind.UNKNOWN), [run()]),
    ],
)
def test_correct_answers_and_refusals_give_no_problem(found, runs):
    assert check_records([found], runs).problems == ()


@pytest.mark.parametrize(
    ("found", "runs", "problem"),
    [
        (record(), [run(), run()], "ran 2 times"),
        (record(ResultKind.UNKNOWN), [run(), run()], "ran 2 times"),
        (record(), [], "has no run"),
        (record(answer_matches=False), [run()], "belongs to another request or is incomplete"),
        (record(ResultKind.NOT_RUN), [run()], "was reported as not run"),
        (record(ResultKind.NO_ANSWER), [], "neither answered nor refused"),
    ],
)
def test_violated_guarantee_is_reported(found, runs, problem):
    [sentence] = check_records([found], runs).problems
    assert problem in sentence
