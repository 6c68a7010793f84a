"""Retry-after times are short and jittered, or as long as a target's limit asks for."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from carawayquay.retry_times import limited_retry_after, retry_after


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


def test_retry_after_for_a_limit_is_not_cut_to_the_callers_deadline():
    generator = random.Random(1)
    times = [limited_retry_after(6.0, generator) for _ in range(50)]
    assert min(times) > 6.0
    assert max(times) <= 30.0
    assert limited_retry_after(1000.0, generator) == 30.0
