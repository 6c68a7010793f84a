from __future__ import annotations

from steering_builders import seconds

from carawayquay.slow_start import SlowStart

WARM_UP = seconds(20)


def run(ramp: SlowStart, per_second: int, start: float, length: int) -> list[int]:
    offered = []
    for second in range(length):
        now = seconds(start + second)
        for _ in range(per_second):
            ramp.record_completion(now)
        offered.append(ramp.offered(8, WARM_UP, now))
    return offered


def test_cold_service_offers_one_slot():
    assert SlowStart().offered(8, WARM_UP, seconds(100)) == 1


def test_offer_grows_with_completed_requests_over_the_warm_up_time():
    offered = run(SlowStart(), 50, 0, 21)
    assert offered[0] == 1 and offered[10] in (4, 5) and offered[20] == 8
    assert offered == sorted(offered)


def test_time_alone_does_not_warm_a_service():
    ramp = SlowStart()
    ramp.record_completion(seconds(0))
    assert ramp.offered(8, WARM_UP, seconds(50)) == 1


def test_idle_service_is_cold_again():
    ramp = SlowStart()
    run(ramp, 50, 0, 30)
    assert ramp.offered(8, WARM_UP, seconds(80)) == 8
    assert ramp.offered(8, WARM_UP, seconds(100)) == 1


def test_service_without_warm_up_offers_all():
    assert SlowStart().offered(8, seconds(0), seconds(0)) == 8
