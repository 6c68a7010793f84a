"""The token bucket limits retries to a fraction of the requests."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from carawayquay.retry_tokens import RetryTokenBucket


@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_a_fraction_of_the_requests(steps):
    budget = RetryTokenBucket(fraction=0.1, capacity=10)
    requests = retries = 0
    for is_request in steps:
        if is_request:
            budget.earn()
            requests += 1
        else:
            retries += budget.spend()
        assert retries <= 10 + 0.1 * requests + 1e-6
