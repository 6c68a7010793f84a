"""The growth of a service's request rate shows bursts, and no chance."""

from __future__ import annotations

import random
from datetime import timedelta

from gateway_builders import settings

from carawayquay_gateway.service_state import ServiceState


def _play(service, start, seconds, rate, generator):
    """Count requests at random times and return the growth after each."""
    growths = []
    now = start
    while (now := now + generator.expovariate(rate)) < start + seconds:
        service.count_request(timedelta(seconds=now))
        growths.append(service.growth(timedelta(seconds=now)))
    return growths


def test_steady_requests_do_not_count_as_growth():
    for rate in (1.0, 5.0, 25.0, 100.0):
        growths = _play(ServiceState(settings()), 0.0, 60.0, rate, random.Random(1))
        assert sum(growths[5:]) / len(growths[5:]) < 1.2


def test_threefold_rate_counts_as_growth_within_half_a_second():
    generator = random.Random(1)
    service = ServiceState(settings())
    _play(service, 0.0, 10.0, 25.0, generator)
    assert max(_play(service, 10.0, 0.6, 75.0, generator)) > 1.5


def test_service_without_requests_has_not_grown():
    assert ServiceState(settings()).growth(timedelta(seconds=9)) == 1.0
