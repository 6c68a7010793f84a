"""Deadlines are read under the platform's names; an unusable one changes nothing."""

from __future__ import annotations

from datetime import timedelta

import attrs
import pytest

from carawayquay.deadlines import Deadlines
from carawayquay_platform.bounds import parse_deadlines


def test_deadlines_are_read_and_other_bounds_ignored():
    bounds = {
        "contact": "3500ms",
        "config_deadline": "2.5s",
        "drain": "1500ms",
        "evacuation_deadline": "6s",
        "max_shift": "0.15",
    }
    seconds = (3.5, 2.5, 1.5, 6)
    expected = Deadlines(*(timedelta(seconds=it) for it in seconds))
    assert parse_deadlines(bounds, Deadlines()) == (expected, ())


@pytest.mark.parametrize(
    "text", ["", "soon", "0s", "-2s", "2", "{{bounds.drain}}", "9" * 400 + "s"]
)
def test_unusable_deadline_keeps_the_one_in_force(text):
    current = Deadlines(departure=timedelta(seconds=4))
    found, problems = parse_deadlines({"drain": text, "contact": "2s"}, current)
    assert found == attrs.evolve(current, contact=timedelta(seconds=2))
    assert len(problems) == 1
