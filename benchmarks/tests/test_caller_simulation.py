"""Tests of the caller simulation, and of the gateway's decisions against baselines in it."""

from __future__ import annotations

from functools import lru_cache

import pytest

from carawayquay_benchmarks.caller_policies import (
    AffinityOnly,
    LeastLoaded,
    NearestOnly,
    RandomTarget,
    ReturnLate,
    SecondWhileFull,
    Steered,
)
from carawayquay_benchmarks.caller_simulation import (
    CallerSimulation,
    Target,
    lightly_loaded_site,
    overloaded_site,
)
from carawayquay_benchmarks.scenario_simulation import EventScheduler

SECONDS = 8.0


@lru_cache
def simulate(policy, site=lightly_loaded_site):
    return CallerSimulation(site(), policy).run(SECONDS)


def test_target_runs_warm_requests_faster_and_sheds_above_its_queue_limit():
    site, scheduler, ends = lightly_loaded_site(), EventScheduler(), []
    target = Target("t0", "puget-a", site, scheduler, 1)
    accepted = [
        target.offer("k", lambda _: ends.append(scheduler.seconds)) is not None
        for _ in range(site.slots + site.queue_limit + 1)
    ]
    assert accepted == [True] * (site.slots + site.queue_limit) + [False]
    scheduler.run()
    first, rest = ends[: site.slots], ends[site.slots :]
    assert min(first) > 0.8 * site.cold_work
    assert max(rest) - max(first) < (site.queue_limit / site.slots) * 0.5 * site.cold_work


def test_every_call_ends_once_and_in_one_way():
    result = simulate(Steered, overloaded_site)
    ended = result.on_time + result.late + result.refused + result.failed
    assert ended == sum(result.ended_calls.values())
    assert result.credit.keys() == result.ended_calls.keys()


@pytest.mark.parametrize("baseline", [RandomTarget, LeastLoaded, NearestOnly])
@pytest.mark.parametrize("site", [lightly_loaded_site, overloaded_site])
def test_callers_get_more_than_from_baselines_without_warmth_information(baseline, site):
    assert simulate(Steered, site).credit_ratio > simulate(baseline, site).credit_ratio + 0.2
    assert simulate(Steered, site).worst_domain > simulate(baseline, site).worst_domain


def test_busy_fleet_serves_more_if_busy_second_targets_take_no_cold_objects():
    assert (
        simulate(Steered, overloaded_site).credit_ratio
        > simulate(SecondWhileFull, overloaded_site).credit_ratio + 0.03
    )
    assert (
        simulate(Steered, overloaded_site).refusals
        < simulate(SecondWhileFull, overloaded_site).refusals
    )


def test_short_retry_after_gives_more_than_retries_spread_over_the_remaining_time():
    assert (
        simulate(Steered, overloaded_site).credit_ratio
        > simulate(ReturnLate, overloaded_site).credit_ratio + 0.01
    )


def test_callers_get_nearly_as_much_as_from_affinity_over_all_regions():
    assert simulate(Steered).credit_ratio > simulate(AffinityOnly).credit_ratio - 0.05
