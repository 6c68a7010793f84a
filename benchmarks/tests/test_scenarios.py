"""Tests of the scenarios, and of the policies in them."""

from __future__ import annotations

import csv

import attrs
import pytest

from carawayquay_benchmarks.scenario_list import SCENARIOS
from carawayquay_benchmarks.scenario_policies import POLICIES, NearestOnly, NoGrants, Steered
from carawayquay_benchmarks.scenario_runs import run
from carawayquay_benchmarks.scenarios import write_report

#: Tolerance of the measured cap, since a window of a few hundred requests may end between moves.
CAP_MARGIN = 0.03


def scenario(words: str, seconds: float):
    found = next(item for item in SCENARIOS if words in item.name)
    return attrs.evolve(found, seconds=seconds)


@pytest.mark.parametrize("words", ["region lost", "flapping", "cold caches", "thin link"])
def test_no_target_group_is_offered_more_than_its_slots_and_no_cap_is_exceeded(words):
    result = run(scenario(words, 70), Steered)
    assert result.shed == 0
    assert result.cap_excess <= CAP_MARGIN


def test_without_grants_offers_exceed_the_slots():
    assert run(scenario("region lost", 60), NoGrants).shed > 100


def test_steering_refuses_fewer_requests_of_a_lost_region_than_nearest_only():
    lost = scenario("region lost", 90)
    assert run(lost, Steered).refused_share < run(lost, NearestOnly).refused_share * 0.7


def test_services_with_low_traffic_are_not_refused_when_a_hot_one_is_drained():
    assert run(scenario("hot service", 80), Steered).refused == 0


def test_report_has_a_row_for_each_policy_and_a_plot(tmp_path, monkeypatch):
    monkeypatch.setattr("carawayquay_benchmarks.scenarios.SCENARIOS", (scenario("thin link", 25),))
    write_report(tmp_path)
    rows = list(csv.DictReader((tmp_path / "scenarios.csv").open()))
    assert [row["policy"] for row in rows] == [policy.name for policy in POLICIES]
    assert (tmp_path / "thin-link-filled.svg").exists()
