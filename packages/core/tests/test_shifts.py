from __future__ import annotations

from datetime import timedelta
from fractions import Fraction
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import TrafficRecord, moving_budget, seconds

from carawayquay.documents import Cap
from carawayquay.shifts import Destination, Goal, Move, ShiftBudget, client_fraction

CAP = Cap(0.1, 0.34, seconds(10))

#: Steps of a run: seconds to wait, number of requests, goal, move and event.
STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.001, 0.05, 0.1, 0.5, 1.0, 4.9, 5.0, 9.99, 10.0, 25.0]),
        st.integers(0, 30),
        st.sampled_from(Goal),
        st.sampled_from(Move),
        st.sampled_from(["go", "go", "go", "freeze", "restart"]),
    ),
    max_size=60,
)
CAPS = st.sampled_from([Cap(0.1, 0.34, seconds(10)), Cap(0.5, 1.0, seconds(2)), Cap(0, 0.05)])


def exact(value: float) -> Fraction:
    return Fraction(value) + Fraction(1, 10**9)


@given(cap=CAPS, steps=STEPS)
def test_moved_share_never_rises_by_more_than_the_cap(cap, steps):
    now = seconds(100)
    budget, record, levels = ShiftBudget(cap, now), TrafficRecord(cap.window), []
    for wait, requests, goal, move, event in steps:
        now += seconds(wait)
        if event == "restart":
            budget, record, levels = ShiftBudget(cap, now), TrafficRecord(cap.window), []
        budget.advance(goal, now, frozen=event == "freeze")
        levels.append((now, budget.level))
        for _ in range(requests):
            budget.count_request(now)
            record.add(now, False)
            if budget.take(move, now):
                record.events.pop()
                record.add(now, True)
                check_move(budget, record, levels, move, now)


def check_move(budget, record, levels, move, now):
    """Check a move against the rules by counts that are independent of the budget."""
    cap = budget._cap
    rise = cap.planned if move is Move.PLANNED else cap.failure
    window_start = now - cap.window
    level_before = max((level for at, level in levels if at <= window_start), default=0.0)
    before = record.share(window_start)
    seen_before, _ = record.count(window_start - cap.window, window_start)
    if seen_before * rise < 2:
        before = max(before, Fraction(level_before))
    share = record.share(now)
    assert share <= exact(float(before) + rise)
    if move is Move.PLANNED:
        assert share <= exact(max(budget.level, float(before) - rise))


@given(steps=STEPS)
def test_level_changes_by_at_most_the_cap_in_any_window(steps):
    now = seconds(0)
    budget = ShiftBudget(CAP, now)
    levels = [(now, 0.0)]
    for wait, _, goal, _, event in steps:
        now += seconds(wait)
        budget.advance(goal, now, frozen=event == "freeze")
        for at, level in levels:
            if now - at <= CAP.window:
                assert budget.level - level <= CAP.failure + 1e-9
                assert level - budget.level <= CAP.planned + 1e-9
        levels.append((now, budget.level))


def test_fresh_process_may_move_nothing_before_it_has_seen_traffic():
    budget = ShiftBudget(CAP, seconds(0))
    budget.advance(Goal.LOST, seconds(0))
    outcomes = []
    for _ in range(6):
        budget.count_request(seconds(0))
        outcomes.append(budget.take(Move.FAILURE, seconds(0)))
    assert outcomes == [False, False, True, False, False, True]


def drain(rate: float, longest: float) -> float | None:
    """Return the seconds until all traffic of a drained region is moved, or None if it never is."""
    budget, now, step = ShiftBudget(CAP, seconds(0)), seconds(0), 0.25
    owed = 0.0
    last_home = 0.0
    while now < seconds(longest):
        now += seconds(step)
        budget.advance(Goal.DRAINED, now)
        owed += rate * step
        while owed >= 1:
            owed -= 1
            budget.count_request(now)
            destinations = budget.destinations(0.5, now)
            if destinations[0] is not Destination.AWAY_PLANNED or not budget.take(
                Move.PLANNED, now
            ):
                last_home = now.total_seconds()
    return last_home if last_home < longest - 20 else None


@pytest.mark.parametrize("rate", [0.05, 0.5, 1.3, 2, 4, 40])
def test_drain_ends_at_any_rate_of_traffic_even_with_a_single_client(rate):
    assert drain(rate, 400) is not None


def test_drain_takes_no_less_than_the_cap_allows():
    assert drain(40, 400) >= 90


def test_paused_process_resumes_at_its_previous_level():
    budget = ShiftBudget(CAP, seconds(0))
    for second in range(11):
        budget.advance(Goal.DRAINED, seconds(second))
    before = budget.level
    budget.advance(Goal.DRAINED, seconds(1000))
    assert budget.level <= before + CAP.planned * 0.1 + 1e-9


def test_frozen_level_stays():
    budget = ShiftBudget(CAP, seconds(0))
    for second in range(30):
        budget.advance(Goal.DRAINED, seconds(second), frozen=True)
    assert budget.level == 0


def test_adopted_level_limits_moves_without_earlier_traffic():
    budget = ShiftBudget(CAP, seconds(0))
    budget.adopt(0.5, seconds(0))
    taken = 0
    for _ in range(100):
        budget.count_request(seconds(0))
        taken += budget.take(Move.PLANNED, seconds(0))
    assert taken == 50


@pytest.mark.parametrize("clients", [1, 600])
def test_traffic_comes_back_no_faster_than_the_cap(clients):
    budget, now = moving_budget(Goal.DRAINED, 0.9)
    record = TrafficRecord(CAP.window)
    for index in range(20 * 130):
        now += seconds(0.05)
        budget.advance(Goal.HOME, now)
        budget.count_request(now)
        fraction = (0.5 + index % clients * 0.618) % 1
        first = budget.destinations(fraction, now)[0]
        away = first is not Destination.HOME and budget.take(Move.PLANNED, now)
        record.add(now, away)
    start = now - seconds(130)
    shares = [float(record.share(start + seconds(at))) for at in range(10, 131, 10)]
    assert shares[-1] == 0
    assert all(before - after <= CAP.planned + 0.01 for before, after in pairwise(shares))


def test_spill_over_returns_at_once_when_home_has_room():
    budget = ShiftBudget(CAP, seconds(0))
    for index in range(200):
        now = seconds(index / 20)
        budget.advance(Goal.HOME, now)
        budget.count_request(now)
        budget.take(Move.FAILURE, now)
    assert budget.share(now) > 0.3
    assert budget.destinations(0.0, now) == (Destination.HOME, Destination.AWAY_FAILURE)


def test_the_same_clients_move_first_in_every_process():
    clients = [f"192.0.{block}.{host}" for block in range(50) for host in (1, 99)]
    fractions = [client_fraction("sledway", client) for client in clients]
    assert fractions[0::2] == fractions[1::2]
    early = {c for c, f in zip(clients, fractions, strict=True) if f < 0.3}
    late = {c for c, f in zip(clients, fractions, strict=True) if f < 0.6}
    assert early < late


def test_newer_caps_take_effect_and_another_window_keeps_the_level():
    budget, now = moving_budget(Goal.DRAINED, 0.5)
    level = budget.level
    budget.set_cap(Cap(0.1, 0.34, timedelta(seconds=20)))
    budget.count_request(now)
    assert budget.level == level
    assert budget.allowed(Move.PLANNED, now) <= level
