"""The local share of a region follows its capacity at a limited rate."""

from __future__ import annotations

from datetime import timedelta

import attrs
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.local_share import LocalShare, RegionLoad, desired_share

LOAD = RegionLoad(demand=10, capacity=20, all_demand=50, all_capacity=100, regions=3)


def test_region_with_free_capacity_keeps_all_requests():
    assert desired_share(LOAD) == 1.0


def test_share_falls_while_targets_are_busier_than_estimated():
    share = LocalShare()
    now = timedelta()
    share.update(LOAD, now)
    for _ in range(10):
        now += timedelta(seconds=1)
        share.update(attrs.evolve(LOAD, demand=40), now)
    assert share.share < 0.7


def test_share_before_the_first_request_is_for_an_equal_demand_of_all_regions():
    share = LocalShare()
    small = RegionLoad(demand=0, capacity=18, all_demand=0, all_capacity=108, regions=3)
    share.update(small, timedelta())
    assert 0.5 < share.share < 0.8
    share.update(small, timedelta(seconds=10))
    assert 0.5 < share.share < 0.8


def test_loss_of_all_capacity_moves_the_share_at_once():
    share = LocalShare()
    share.update(LOAD, timedelta())
    share.update(attrs.evolve(LOAD, capacity=0), timedelta(seconds=0.1))
    assert share.share == 0.0


@given(
    steps=st.lists(
        st.tuples(st.floats(0.01, 3), st.floats(0.1, 200), st.floats(1, 200)), min_size=2
    )
)
def test_share_never_moves_by_more_than_a_twentieth_in_a_second(steps):
    share = LocalShare()
    now = timedelta()
    share.update(LOAD, now)
    for seconds, demand, capacity in steps:
        before = share.share
        now += timedelta(seconds=seconds)
        share.update(attrs.evolve(LOAD, demand=demand, capacity=capacity), now)
        assert abs(share.share - before) <= 0.05 * seconds + 1e-9
        assert 0.0 <= share.share <= 1.0


def test_share_before_any_request_follows_the_targets_that_register():
    share = LocalShare()
    share.update(RegionLoad(0, capacity=0, all_demand=0, all_capacity=6, regions=3), timedelta())
    assert share.share == 0.0
    share.update(RegionLoad(0, capacity=12, all_demand=0, all_capacity=36, regions=3), timedelta())
    assert share.share == 1.0
    share.update(RegionLoad(1, capacity=12, all_demand=3, all_capacity=36, regions=3), timedelta())
    share.update(RegionLoad(0, capacity=2, all_demand=0, all_capacity=36, regions=3), timedelta())
    assert share.share == 1.0
