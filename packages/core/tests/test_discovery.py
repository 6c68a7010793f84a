"""The registry keeps the newest registration of each target and its cold time."""

from __future__ import annotations

from datetime import timedelta

import attrs
from target_builders import registered_target

from carawayquay.discovery import TargetRegistry, TargetState

NOW = timedelta(seconds=100)
TARGET = registered_target(incarnation=5, sequence=3)


def _registry(*targets):
    registry = TargetRegistry()
    for target in targets or (TARGET,):
        registry.register(target, NOW)
    return registry


def test_draining_target_takes_no_new_requests():
    registry = _registry()
    assert registry.ready("granite") == (TARGET,)
    registry.register(attrs.evolve(TARGET, state=TargetState.DRAINING, sequence=4), NOW)
    assert registry.ready("granite") == ()


def test_outdated_registration_is_ignored():
    registry = _registry()
    draining = attrs.evolve(TARGET, state=TargetState.DRAINING)
    assert registry.register(attrs.evolve(draining, sequence=2), NOW) is None
    assert registry.register(attrs.evolve(draining, incarnation=4, sequence=9), NOW) is None
    assert registry.ready("granite") == (TARGET,)


def test_restart_under_the_same_name_replaces_the_registration():
    registry = _registry(attrs.evolve(TARGET, state=TargetState.DRAINING))
    again = attrs.evolve(TARGET, incarnation=6, sequence=1)
    assert registry.register(again, NOW) is not None
    assert registry.ready("granite") == (again,)


def test_removal_is_reported_once_and_keeps_the_other_targets():
    other = attrs.evolve(TARGET, name="i-2")
    registry = _registry(TARGET, other)
    assert registry.remove("i-2").before == other
    assert registry.remove("i-2") is None
    assert list(registry) == [TARGET]


def test_target_is_cold_for_its_registered_time():
    registry = _registry(attrs.evolve(TARGET, cold_for=timedelta(seconds=3)))
    assert registry.cold("i-1", NOW + timedelta(seconds=2.9))
    assert not registry.cold("i-1", NOW + timedelta(seconds=3))
    later = attrs.evolve(TARGET, sequence=4, cold_for=timedelta(seconds=1))
    registry.register(later, NOW)
    assert registry.cold("i-1", NOW + timedelta(seconds=2.9))
