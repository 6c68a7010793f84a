"""Updates on warm objects are repeated for a short time, and bounded in number."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.load_reports import WarmObject
from carawayquay.warm_gossip import WarmGossip

NOW = timedelta(seconds=4)


def test_update_is_repeated_until_its_lifetime_ends():
    gossip = WarmGossip()
    gossip.add(1, 7, NOW)
    assert gossip.current(NOW + timedelta(seconds=1)) == (WarmObject(1, 7),)
    assert gossip.current(NOW + timedelta(seconds=2)) == ()


def test_oldest_updates_are_evicted():
    gossip = WarmGossip()
    for key in range(1000):
        gossip.add(1, key, NOW)
    current = gossip.current(NOW)
    assert len(current) == 400
    assert current[-1] == WarmObject(1, 999)
