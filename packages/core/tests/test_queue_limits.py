"""Requests queue only if the answer can be in time, or briefly."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.queue_limits import max_queue_wait
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
