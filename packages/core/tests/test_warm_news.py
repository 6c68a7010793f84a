"""News of warm objects is repeated for a short time, within a bounded number."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.load_reports import WarmObject
from carawayquay.warm_news import WarmNews

NOW = timedelta(seconds=4)


def test_news_is_repeated_and_then_forgotten():
    news = WarmNews()
    news.add(1, 7, NOW)
    assert news.current(NOW + timedelta(seconds=1)) == (WarmObject(1, 7),)
    assert news.current(NOW + timedelta(seconds=2)) == ()


def test_oldest_news_gives_way():
    news = WarmNews()
    for key in range(1000):
        news.add(1, key, NOW)
    current = news.current(NOW)
    assert len(current) == 400
    assert current[-1] == WarmObject(1, 999)
