"""Retry-after times are short and jittered; requests queue only if the answer can be in time."""

from __future__ import annotations

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from carawayquay.refusals import max_queue_wait, retry_after
from carawayquay.routes import Route, RouteKind, WeightedService

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.IDEMPOTENT,
    services=(WeightedService("s", 1.0),),
    timeout=timedelta(seconds=1.2),
    target_latency=timedelta(seconds=0.2),
)


def test_queue_ends_where_the_answer_would_be_late():
    assert abs(max_queue_wait(ROUTE, 0.0, 1.2, 0.08) - 0.12) < 1e-9


def test_request_that_is_late_in_any_case_may_queue_briefly():
    assert abs(max_queue_wait(ROUTE, 0.5, 0.7, 0.3) - 0.12) < 1e-9


def test_no_request_queues_past_its_deadline():
    assert max_queue_wait(ROUTE, 1.0, 0.2, 0.3) < 0


@given(
    wait=st.one_of(st.none(), st.floats(0, 100)),
    left=st.floats(0, 20),
    seed=st.integers(0, 1000),
)
def test_retry_after_is_within_a_third_of_the_remaining_time(wait, left, seed):
    assert 0 <= retry_after(wait, left, random.Random(seed)) <= left / 3


def test_retries_of_callers_refused_together_are_spread_out():
    generator = random.Random(1)
    times = {round(retry_after(0.5, 10.0, generator), 2) for _ in range(100)}
    assert len(times) > 20


def test_retry_after_grows_with_the_queue():
    generator = random.Random(1)
    short = [retry_after(0.02, 3.0, generator) for _ in range(50)]
    long = [retry_after(0.4, 3.0, generator) for _ in range(50)]
    assert max(short) < 0.15
    assert min(long) > 0.4
