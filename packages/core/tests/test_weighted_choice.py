"""Choices follow the weights in every short sequence, whatever the offset of a process."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from carawayquay.routes import WeightedService
from carawayquay.weighted_choice import WeightedChoice


@given(
    weights=st.lists(st.integers(1, 100), min_size=1, max_size=5),
    offset=st.floats(0, 0.99),
    skipped=st.integers(0, 50),
    span=st.integers(1, 200),
)
def test_each_service_is_chosen_within_a_few_of_its_share(weights, offset, skipped, span):
    services = tuple(WeightedService(str(i), weight) for i, weight in enumerate(weights))
    choice = WeightedChoice(services, offset)
    for _ in range(skipped):
        choice.next()
    counts = Counter(choice.next() for _ in range(span))
    for service in services:
        assert abs(counts[service.service] - span * service.weight / sum(weights)) <= 2


def test_processes_do_not_all_begin_with_the_same_service():
    services = (WeightedService("a", 90), WeightedService("b", 10))
    first = Counter(WeightedChoice(services, i / 100).next() for i in range(100))
    assert 5 <= first["b"] <= 15


def test_service_of_weight_zero_gets_nothing():
    services = (WeightedService("a", 5), WeightedService("b", 0))
    choice = WeightedChoice(services, 0.3)
    assert {choice.next() for _ in range(50)} == {"a"}
