"""A target is warm for the objects that it handled last, until it restarts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawayquay.warm_objects import WarmObjects


def test_oldest_objects_are_forgotten_first():
    warm = WarmObjects()
    assert warm.record("t0", 0)
    for key in range(1, 128):
        warm.record("t0", key)
    assert not warm.record("t0", 0)
    warm.record("t0", 500)
    assert warm.warm("t0", 0)
    assert not warm.warm("t0", 1)


def test_restarted_target_is_cold_for_all_objects():
    warm = WarmObjects()
    warm.record("t0", 7)
    warm.record("t1", 7)
    warm.forget("t0")
    assert not warm.warm("t0", 7)
    assert set(warm.targets(7)) == {"t1"}


@given(
    st.lists(
        st.tuples(st.sampled_from(["t0", "t1", "t2"]), st.integers(0, 300), st.booleans()),
        max_size=400,
    )
)
def test_both_directions_agree(steps):
    warm = WarmObjects()
    for target, key, forget in steps:
        if forget and key % 50 == 0:
            warm.forget(target)
        else:
            warm.record(target, key)
    for key in range(301):
        named = {target for target in ("t0", "t1", "t2") if warm.warm(target, key)}
        assert named == set(warm.targets(key))
