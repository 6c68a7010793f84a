from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from steering_builders import TrafficRecord, seconds

from carawayquay.moved_share import MovedShare

WINDOW = seconds(10)


@given(
    st.lists(
        st.tuples(st.sampled_from([0.0, 0.01, 0.02, 0.3, 5.0, 9.99, 10.0]), st.booleans()),
        max_size=150,
    )
)
def test_counts_are_conservative_bounds(arrivals):
    counts, record, now = MovedShare(WINDOW), TrafficRecord(WINDOW), seconds(50)
    for wait, moved in arrivals:
        now += seconds(wait)
        counts.record_arrival(now)
        if moved:
            counts.record_move(now)
        record.add(now, moved)
        seen, moves = record.count(now - WINDOW, now)
        assert counts.arrivals(now) <= seen
        assert counts.moved(now) >= moves
        assert counts.previous_share(now) <= float(record.share(now - WINDOW)) + 1e-9
        assert counts.previous_arrivals(now) >= record.count(now - 2 * WINDOW, now - WINDOW)[0]


def test_counts_are_exact_for_requests_in_separate_buckets():
    counts = MovedShare(WINDOW)
    for index in range(200):
        now = seconds(index / 10)
        counts.record_arrival(now)
        if index % 4 == 0:
            counts.record_move(now)
    assert (counts.arrivals(now), counts.moved(now)) == (100, 25)
    assert counts.previous_share(now) == 0.25


def test_memory_does_not_grow_with_traffic():
    counts = MovedShare(WINDOW)
    for index in range(50_000):
        counts.record_arrival(seconds(index / 1000))
    assert len(counts._last.buckets) + len(counts._previous.buckets) <= 900
