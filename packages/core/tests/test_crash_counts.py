"""A request that crashes targets is refused by every VM after its third crash."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.crash_counts import CrashCounts, request_fingerprint
from carawayquay.forwarding import CallerRequest

NOW = timedelta(seconds=5)


def _call(**changes):
    values = {
        "request_id": "r1",
        "host": "h",
        "method": "GET",
        "path": "/a/",
        "object_key": "k",
        "time_left": None,
        "headers": (),
        "body": b"",
    }
    return CallerRequest(**(values | changes))


def test_equal_requests_share_a_fingerprint_whatever_their_ids():
    assert request_fingerprint(_call()) == request_fingerprint(_call(request_id="r2"))
    assert request_fingerprint(_call()) != request_fingerprint(_call(body=b"x"))
    assert request_fingerprint(_call(path="/a/b")) != request_fingerprint(_call(host="hb"))


def test_request_is_refused_after_its_third_crash_wherever_the_crashes_were_seen():
    here, there = CrashCounts(), CrashCounts()
    here.record_crash(1, NOW)
    here.record_crash(1, NOW)
    there.merge(here.reports(NOW), NOW)
    assert not there.refused(1, NOW)
    there.record_crash(1, NOW)
    assert there.refused(1, NOW)
    here.merge(there.reports(NOW), NOW)
    assert here.refused(1, NOW)
    assert not here.refused(1, NOW + timedelta(seconds=200))


def test_request_that_completes_is_cleared():
    counts = CrashCounts()
    counts.record_crash(1, NOW)
    counts.record_crash(1, NOW)
    counts.record_completion(1)
    counts.record_crash(1, NOW)
    assert not counts.refused(1, NOW)


def test_counts_are_bounded_in_number():
    counts = CrashCounts()
    for fingerprint in range(5000):
        counts.record_crash(fingerprint, NOW)
    assert len(counts.reports(NOW)) <= 16
    assert counts.record_crash(9999, NOW) == 0
