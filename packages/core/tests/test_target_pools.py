"""Preference orders are deterministic, and the loss of a target moves only its objects."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from target_builders import registered_target

from carawayquay.rendezvous import ranked
from carawayquay.target_pools import TargetPool


def _targets(count):
    return tuple(registered_target(f"t{index}") for index in range(count))


def _first(pool, key, usable=lambda _: True, count=1):
    return [target.name for target in pool.first(key, usable, count)]


def test_loss_of_a_target_moves_only_its_own_objects():
    targets = _targets(12)
    whole, fewer = TargetPool(targets), TargetPool(targets[:-1])
    for index in range(200):
        before = _first(whole, f"k{index}")
        if before != ["t11"]:
            assert _first(fewer, f"k{index}") == before


@given(
    count=st.integers(0, 20),
    wanted=st.integers(1, 4),
    unusable=st.sets(st.integers(0, 19)),
    key=st.text(max_size=5),
)
def test_first_returns_the_most_preferred_usable_targets(count, wanted, unusable, key):
    targets = _targets(count)
    names = {f"t{index}" for index in unusable}
    expected = ranked(key, [target.name for target in targets if target.name not in names])
    pool = TargetPool(targets)
    for _ in range(2):
        found = _first(pool, key, lambda target: target.name not in names, wanted)
        assert found == list(expected[:wanted])
