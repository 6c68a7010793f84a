"""Backoff delays double up to a limit and are jittered."""

from __future__ import annotations

from random import Random

from object_builders import seconds

from carawayquay.backoff import Backoff


def test_delay_doubles_up_to_its_limit_and_starts_again_after_a_success():
    backoff = Backoff(seconds(0.25), seconds(2), Random(1))
    delays = [backoff.next() for _ in range(40)]
    for delay, longest in zip(delays, [0.25, 0.5, 1, 2, 2, 2], strict=False):
        assert seconds(longest / 2) <= delay <= seconds(longest)
    assert max(delays) <= seconds(2)
    assert len(set(delays)) == len(delays)
    backoff.reset()
    assert backoff.next() <= seconds(0.25)
