from __future__ import annotations

from steering_builders import seconds

from carawayquay.region_health import HomeRegionHealth


def failing(*instants: float) -> HomeRegionHealth:
    health = HomeRegionHealth()
    for instant in instants:
        health.record_failure(seconds(instant))
    return health


def test_region_is_lost_after_a_second_of_failures_only():
    assert not failing(1.0, 1.5).lost
    assert failing(1.0, 1.5, 2.0).lost


def test_one_success_ends_the_loss_and_alternating_results_cause_none():
    health = failing(1.0, 2.0)
    health.record_success()
    assert not health.lost
    for instant in range(10):
        health.record_failure(seconds(3 + instant * 0.9))
        health.record_success()
    assert not health.lost


def test_lost_region_is_probed_at_intervals():
    health = failing(1.0, 2.0)
    assert not health.probe_due(seconds(2.1))
    assert health.probe_due(seconds(2.6))
    health.record_failure(seconds(2.6))
    assert not health.probe_due(seconds(2.7))
