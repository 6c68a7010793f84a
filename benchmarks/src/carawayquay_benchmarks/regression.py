"""Measurement of costs at several sizes, with a linear regression."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["Slope", "bytes_slope", "cpu_slope", "memory_slope"]

_REPEATS = 5


@attrs.frozen
class Slope:
    """A cost that is linear in a size.

    :param unit: unit of the costs
    :param per_item: slope, the cost of one more item
    :param base: intercept, the cost at size zero
    :param sizes: measured sizes
    :param costs: cost at each of these sizes
    """

    name: str
    unit: str
    per_item: float
    base: float
    sizes: tuple[int, ...]
    costs: tuple[float, ...]

    def at(self, size: int) -> float:
        """Return the estimated cost at a size."""
        return self.base + self.per_item * size

    def __str__(self) -> str:
        points = " ".join(
            f"{size}:{cost:.0f}" for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return (
            f"{self.name}: {self.per_item:.2f} {self.unit} per item, "
            f"{self.base:.0f} base ({points})"
        )


def cpu_slope(
    name: str, sizes: Sequence[int], prepare: Callable[[int], Callable[[], Any]]
) -> Slope:
    """Measure the processor time in microseconds, as the minimum of several runs at each size.

    :param prepare: returns the function to time, for a size
    """
    return _fit(name, "us", sizes, [_cpu_microseconds(prepare(size)) for size in sizes])


def memory_slope(name: str, sizes: Sequence[int], build: Callable[[int], Any]) -> Slope:
    """Measure the memory in bytes that an object retains.

    :param build: returns the object, for a size
    """
    return _fit(name, "bytes", sizes, [_retained_bytes(build, size) for size in sizes])


def bytes_slope(name: str, sizes: Sequence[int], count: Callable[[int], int]) -> Slope:
    """Fit a line to numbers of bytes.

    :param count: returns the number of bytes, for a size
    """
    return _fit(name, "bytes", sizes, [count(size) for size in sizes])


def _fit(name: str, unit: str, sizes: Sequence[int], costs: Sequence[float]) -> Slope:
    line = statistics.linear_regression(sizes, costs)
    return Slope(name, unit, line.slope, line.intercept, tuple(sizes), tuple(costs))


def _cpu_microseconds(work: Callable[[], Any]) -> float:
    best = float("inf")
    for _ in range(_REPEATS):
        started = time.process_time_ns()
        work()
        best = min(best, (time.process_time_ns() - started) / 1000)
    return best


def _retained_bytes(build: Callable[[int], Any], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return after - before
