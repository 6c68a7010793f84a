"""Suspects are kept apart from each other, and only while they run."""

from __future__ import annotations

from carawayquay.running_requests import RunningRequests


def test_targets_of_other_suspects_are_those_that_run_one_now():
    running = RunningRequests()
    with running.running("t0", 1), running.running("t1", 2), running.running("t2", 3):
        assert running.targets_of_other_suspects(1, {1, 2}.__contains__) == {"t1"}
        with running.running("t1", 2):
            pass
        assert running.targets_of_other_suspects(3, {1, 2}.__contains__) == {"t0", "t1"}
    assert running.targets_of_other_suspects(9, lambda _: True) == set()
