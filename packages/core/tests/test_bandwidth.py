from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from steering_builders import seconds

from carawayquay.bandwidth import LinkBudgets

MBIT = 1_000_000


@given(
    sizes=st.lists(st.integers(1, 60_000), min_size=1, max_size=200),
    wait=st.sampled_from([0.001, 0.01, 0.1]),
    vms=st.integers(1, 4),
)
def test_requests_stay_within_half_the_link_except_for_a_burst_and_one_message(sizes, wait, vms):
    budgets = [LinkBudgets(8 * MBIT) for _ in range(vms)]
    sent = 0
    for index, size in enumerate(sizes):
        now = seconds(index * wait)
        for budget in budgets:
            if budget.take("inland", "sledway", size, vms, now):
                sent += size
    elapsed = (len(sizes) - 1) * wait
    assert sent <= 500_000 * (elapsed + 0.25) + vms * max(sizes)


def test_new_process_starts_with_an_empty_budget():
    assert not LinkBudgets(300 * MBIT).take("inland", "sledway", 1, 1, seconds(5))


def test_large_answers_exhaust_the_answer_budget():
    budgets = LinkBudgets(8 * MBIT)
    budgets.take("inland", "sledway", 1, 1, seconds(0))
    assert budgets.take("inland", "sledway", 1, 1, seconds(1))
    budgets.charge_answer("inland", "sledway", 1_000_000)
    assert not budgets.take("inland", "sledway", 1, 1, seconds(2))
    assert budgets.take("willamette", "sledway", 1, 1, seconds(2)) is False
    assert budgets.take("inland", "sledway", 1, 1, seconds(4))
