"""What callers get under load: this system's decisions against baselines, played on one clock."""

from __future__ import annotations

from functools import lru_cache

import pytest

from carawayquay_benchmarks.caller_load import CallerLoad, Target, heavy, quiet
from carawayquay_benchmarks.caller_policies import (
    AffinityOnly,
    LeastLoaded,
    NearestOnly,
    RandomTarget,
    ReturnLate,
    SecondWhileFull,
    Steered,
)
from carawayquay_benchmarks.scenario_world import Agenda

SECONDS = 8.0


@lru_cache
def played(policy, site=quiet):
    return CallerLoad(site(), policy).run(SECONDS)


def test_target_works_faster_on_what_it_handled_and_sheds_what_it_can_not_queue():
    site, agenda, ends = quiet(), Agenda(), []
    target = Target("t0", "puget-a", site, agenda, 1)
    taken = [
        target.offer("k", lambda _: ends.append(agenda.seconds)) is not None
        for _ in range(site.slots + site.queue + 1)
    ]
    assert taken == [True] * (site.slots + site.queue) + [False]
    agenda.run()
    first, rest = ends[: site.slots], ends[site.slots :]
    assert min(first) > 0.8 * site.work
    assert max(rest) - max(first) < (site.queue / site.slots) * 0.5 * site.work


def test_every_call_ends_once_and_in_one_way():
    result = played(Steered, heavy)
    ended = result.in_aim + result.late + result.refused + result.failed
    assert ended == sum(result.asked.values())
    assert result.credit.keys() == result.asked.keys()


@pytest.mark.parametrize("baseline", [RandomTarget, LeastLoaded, NearestOnly])
@pytest.mark.parametrize("site", [quiet, heavy])
def test_callers_get_more_than_from_baselines_that_do_not_know_what_is_warm(baseline, site):
    assert played(Steered, site).worth > played(baseline, site).worth + 0.2
    assert played(Steered, site).worst_domain > played(baseline, site).worst_domain


def test_busy_fleet_serves_more_while_second_targets_are_left_warm_for_their_own_objects():
    assert played(Steered, heavy).worth > played(SecondWhileFull, heavy).worth + 0.03
    assert played(Steered, heavy).refusals < played(SecondWhileFull, heavy).refusals


def test_callers_that_are_asked_back_soon_get_more_than_those_that_are_spread_out():
    assert played(Steered, heavy).worth > played(ReturnLate, heavy).worth + 0.01


def test_callers_get_about_what_affinity_alone_gives_while_most_stay_in_their_region():
    assert played(Steered).worth > played(AffinityOnly).worth - 0.05
