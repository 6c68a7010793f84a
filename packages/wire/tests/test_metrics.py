"""Histograms are accurate, and the text exposition is well formed."""

from __future__ import annotations

import re

from carawayquay_wire.metrics import DurationHistogram, Metrics

_LINE = re.compile(
    r"# TYPE [a-z_]+ (counter|gauge|summary)|"
    r'[a-z_]+(\{[a-z_]+="([^"\\\n]|\\.)*"(,[a-z_]+="([^"\\\n]|\\.)*")*\})? [0-9.e+-]+'
)


def test_quantiles_are_within_the_histograms_resolution():
    histogram = DurationHistogram()
    for milliseconds in range(1, 101):
        histogram.record(milliseconds / 1000)
    assert histogram.count == 100
    assert abs(histogram.quantile(0.5) - 0.050) < 0.001
    assert abs(histogram.quantile(0.99) - 0.099) < 0.002


def test_durations_out_of_range_are_recorded():
    histogram = DurationHistogram()
    histogram.record(-1.0)
    histogram.record(1e9)
    assert histogram.count == 2


def test_exposition_is_one_well_formed_line_for_each_value():
    metrics = Metrics()
    metrics.count("refusals_total", kind='a"b\\c\nd')
    metrics.record("request_seconds", 0.01, service="sledway")
    metrics.gauge("stopping", lambda: 0.0)
    lines = metrics.exposition().splitlines()
    assert len(lines) == 11
    assert [line for line in lines if not _LINE.fullmatch(line)] == []
