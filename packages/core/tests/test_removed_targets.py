"""Registrations of removed targets are recognised, newer ones are not held up."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.discovery import RegisteredTarget, TargetState
from carawayquay.membership import Address
from carawayquay.removed_targets import RemovedTargets

NOW = timedelta(seconds=100)


def _target(name="t1", incarnation=5, sequence=3):
    return RegisteredTarget(
        name=name,
        service="granite",
        address=Address("127.0.0.1", 80),
        domain="puget-a",
        region="puget",
        slots=4,
        state=TargetState.READY,
        cold_for=timedelta(),
        incarnation=incarnation,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ("registration", "covered"),
    [
        (_target(), True),
        (_target(sequence=2), True),
        (_target(sequence=4), False),
        (_target(incarnation=6, sequence=1), False),
        (_target("t2"), False),
    ],
)
def test_only_registrations_that_are_not_newer_are_covered(registration, covered):
    removed = RemovedTargets()
    removed.record(_target(), NOW)
    assert removed.covers(registration, NOW) == covered


def test_removal_is_forgotten_in_time_and_when_the_target_is_back():
    removed = RemovedTargets()
    removed.record(_target(), NOW)
    assert not removed.covers(_target(), NOW + timedelta(seconds=121))
    removed.forget("t1")
    assert not removed.covers(_target(), NOW)


def test_number_of_remembered_removals_is_bounded():
    removed = RemovedTargets()
    for number in range(5010):
        removed.record(_target(f"t{number}"), NOW)
    assert len(removed) == 5000
    assert not removed.covers(_target("t9"), NOW)
    assert removed.covers(_target("t10"), NOW)
