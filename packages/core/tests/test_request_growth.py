"""The growth of requests shows a burst while it is new, and little by chance."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from carawayquay.request_growth import RequestGrowth


def _play(growth, start, seconds, rate, generator):
    """Count requests at random times and return the growth after each."""
    found = []
    now = start
    while (now := now + generator.expovariate(rate)) < start + seconds:
        growth.count(timedelta(seconds=now))
        found.append(growth.growth(timedelta(seconds=now)))
    return found


def _mean(values):
    return sum(values) / len(values)


@pytest.mark.parametrize("rate", [0.2, 1.0, 3.6, 25.0, 100.0])
def test_steady_requests_show_little_growth(rate):
    assert _mean(_play(RequestGrowth(), 0.0, 600.0, rate, random.Random(1))) < 1.2


@pytest.mark.parametrize(("rate", "least"), [(3.6, 1.8), (25.0, 2.3), (100.0, 2.5)])
def test_burst_shows_for_seconds(rate, least):
    during = []
    for seed in range(20):
        generator = random.Random(seed)
        growth = RequestGrowth()
        _play(growth, 0.0, 10.0, rate, generator)
        _play(growth, 10.0, 1.0, 3 * rate, generator)
        during += _play(growth, 11.0, 1.0, 3 * rate, generator)
    assert _mean(during) > least


def test_lasting_rise_is_no_growth_any_more():
    generator = random.Random(1)
    growth = RequestGrowth()
    _play(growth, 0.0, 10.0, 25.0, generator)
    _play(growth, 10.0, 8.0, 75.0, generator)
    assert _mean(_play(growth, 18.0, 20.0, 75.0, generator)) < 1.1


@pytest.mark.parametrize("seconds", [0.5, 1.5, 4.0])
def test_requests_of_a_vm_that_just_started_show_little_growth(seconds):
    for seed in range(10):
        found = _play(RequestGrowth(), 100.0, seconds, 50.0, random.Random(seed))
        assert _mean(found) < 1.2


def test_without_requests_there_is_no_growth():
    assert RequestGrowth().growth(timedelta(seconds=9)) == 1.0
