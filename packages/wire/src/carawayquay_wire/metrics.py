"""Counters, histograms and gauges of one process, and their text exposition format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayquay.errors import ErrorKind

__all__ = ["DurationHistogram", "Metrics"]

_PREFIX = "carawayquay_"
_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120_000_000
_SIGNIFICANT_FIGURES = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class DurationHistogram:
    """A histogram of durations since the start of the process."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_FIGURES
        )
        self._total_seconds = 0.0

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return self._histogram.get_total_count()

    @property
    def total(self) -> float:
        """The sum of the recorded durations, in seconds."""
        return self._total_seconds

    def record(self, seconds: float) -> None:
        """Record a duration; quantiles count it as at least 1 microsecond, at most two minutes."""
        self._total_seconds += seconds
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        self._histogram.record_value(
            min(max(microseconds, _LOWEST_MICROSECONDS), _HIGHEST_MICROSECONDS)
        )

    def quantile(self, fraction: float) -> float:
        """Return a quantile in seconds.

        :param fraction: the fraction of the durations that are at most the quantile, such as 0.99
        """
        return self._histogram.get_value_at_percentile(fraction * 100) / _MICROSECONDS_PER_SECOND

    def dump(self) -> dict[str, float]:
        """Return the count, and the quantiles in milliseconds, as values for JSON."""
        quantiles = {f"p{100 * q:g}_ms": round(self.quantile(q) * 1000, 3) for q in _QUANTILES}
        return {"count": self.count, **quantiles}


class Metrics:
    """All metrics of one process.

    Names are given without the prefix ``carawayquay_``; those of counters end in ``_total``, those
    of durations in ``_seconds``.
    """

    def __init__(self) -> None:
        self._counters: dict[str, dict[Labels, int]] = {}
        self._histograms: dict[str, dict[Labels, DurationHistogram]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge.

        :param read: returns the current value; called on every dump and exposition
        """
        self._gauges[name] = read

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter by one."""
        self.add(name, 1, **labels)

    def add(self, name: str, amount: int, **labels: str) -> None:
        """Increment a counter by an amount."""
        key = tuple(labels.items())
        counters = self._counters.setdefault(name, {})
        counters[key] = counters.get(key, 0) + amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        key = tuple(labels.items())
        by_labels = self._histograms.setdefault(name, {})
        histogram = by_labels.get(key)
        if histogram is None:
            histogram = by_labels[key] = DurationHistogram()
        histogram.record(seconds)

    def count_refusal(self, kind: ErrorKind) -> None:
        """Count the refusal of a caller's request."""
        self.count("refusals_total", kind=kind.value)

    def observe_store_call(self, call: str, answered: bool, seconds: float) -> None:
        """Record the duration of a call to the platform's store, and count it if it failed.

        :param call: the name of the operation
        :param answered: whether the client got a response that it does not count as a failure
        """
        self.record("store_call_seconds", seconds, call=call)
        if not answered:
            self.count("store_failures_total", call=call)

    def dump(self) -> dict[str, Any]:
        """Return all metrics as values for JSON."""
        return {
            "counters": {
                name + _format_labels(labels): value
                for name, counters in sorted(self._counters.items())
                for labels, value in counters.items()
            },
            "timings": {
                name + _format_labels(labels): histogram.dump()
                for name, by_labels in sorted(self._histograms.items())
                for labels, histogram in by_labels.items()
            },
            "gauges": {name: read() for name, read in sorted(self._gauges.items())},
        }

    def exposition(self) -> str:
        """Return all metrics in the text exposition format.

        >>> metrics = Metrics()
        >>> metrics.count("lookups_total", service="sledway")
        >>> print(metrics.exposition(), end="")
        # TYPE carawayquay_lookups_total counter
        carawayquay_lookups_total{service="sledway"} 1
        """
        lines = [*self._counter_lines(), *self._histogram_lines(), *self._gauge_lines()]
        return "".join(f"{line}\n" for line in lines)

    def _counter_lines(self) -> Iterator[str]:
        for name, counters in sorted(self._counters.items()):
            yield f"# TYPE {_PREFIX}{name} counter"
            for labels, value in sorted(counters.items()):
                yield f"{_PREFIX}{name}{_format_labels(labels)} {value}"

    def _histogram_lines(self) -> Iterator[str]:
        for name, by_labels in sorted(self._histograms.items()):
            yield f"# TYPE {_PREFIX}{name} summary"
            for labels, histogram in sorted(by_labels.items()):
                for q in _QUANTILES:
                    q_labels = (*labels, ("quantile", f"{q:g}"))
                    yield f"{_PREFIX}{name}{_format_labels(q_labels)} {histogram.quantile(q):.6f}"
                yield f"{_PREFIX}{name}_sum{_format_labels(labels)} {histogram.total:.6f}"
                yield f"{_PREFIX}{name}_count{_format_labels(labels)} {histogram.count}"

    def _gauge_lines(self) -> Iterator[str]:
        for name, read in sorted(self._gauges.items()):
            yield f"# TYPE {_PREFIX}{name} gauge"
            yield f"{_PREFIX}{name} {read():g}"


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape_value(value)}"' for name, value in labels) + "}"


def _escape_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
