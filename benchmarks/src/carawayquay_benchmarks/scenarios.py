"""Comparison of the policies in the scenarios, as a table and plots.

Run as ``python -m carawayquay_benchmarks.scenarios --out report``.
"""

from __future__ import annotations

import csv
from pathlib import Path
from typing import TYPE_CHECKING

import fire
import matplotlib as mpl

from carawayquay_benchmarks.scenario_list import SCENARIOS
from carawayquay_benchmarks.scenario_policies import POLICIES
from carawayquay_benchmarks.scenario_runs import Result, Scenario, run

mpl.use("svg")

from matplotlib import pyplot

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["main", "write_report"]

_COLUMNS = (
    "scenario",
    "policy",
    "p50 ms",
    "p99 ms",
    "refused %",
    "least headroom %",
    "least headroom at",
    "offered over",
    "cap excess %",
    "moved after s",
)


def write_report(out: Path, only: str = "") -> None:
    """Run the scenarios and write ``scenarios.csv``, ``scenarios.md`` and a plot of each.

    :param only: text that the names of the scenarios to run contain
    """
    out.mkdir(parents=True, exist_ok=True)
    results = []
    for scenario in SCENARIOS:
        if only in scenario.name:
            scenario_results = [run(scenario, policy) for policy in POLICIES]
            _plot(scenario, scenario_results, out)
            results.extend(scenario_results)
    rows = [_row(result) for result in results]
    with (out / "scenarios.csv").open("w", newline="") as file:
        csv.writer(file).writerows([_COLUMNS, *rows])
    (out / "scenarios.md").write_text(_table(rows))


def _row(result: Result) -> tuple[str, ...]:
    min_spare = result.min_headroom
    moved = "" if result.move_seconds is None else f"{result.move_seconds:.0f}"
    return (
        result.scenario,
        result.policy,
        f"{result.milliseconds(50):.0f}",
        f"{result.milliseconds(99):.0f}",
        f"{result.refused_share * 100:.2f}",
        f"{min_spare.spare * 100:.0f}",
        f"{min_spare.region} {min_spare.at:.0f} s",
        str(result.shed),
        f"{max(0.0, result.cap_excess) * 100:.1f}",
        moved,
    )


def _table(rows: Iterable[tuple[str, ...]]) -> str:
    lines = [_COLUMNS, tuple("---" for _ in _COLUMNS), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _plot(scenario: Scenario, results: list[Result], out: Path) -> None:
    """Plot the moved share and the lowest spare capacity over time."""
    figure, (moved, spare) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    home = (scenario.evacuated_regions or scenario.layout.regions)[0]
    for result in results:
        seconds = range(5, int(scenario.seconds))
        moved.plot(seconds, [result.share(home, s, 5)[0] for s in seconds], label=result.policy)
        min_spare: dict[float, float] = {}
        for point in result.headroom:
            min_spare[point.at] = min(point.spare, min_spare.get(point.at, 1.0))
        spare.plot(list(min_spare), list(min_spare.values()), label=result.policy, linewidth=0.8)
    moved.set_ylabel(f"share of {home} moved")
    moved.legend(fontsize="small")
    spare.set_ylabel("least spare capacity")
    spare.set_xlabel("seconds")
    figure.suptitle(scenario.name)
    figure.savefig(out / f"{scenario.name.replace(',', '').replace(' ', '-')}.svg")
    pyplot.close(figure)


def main(out: str = "report", only: str = "") -> None:
    """Write the report.

    :param out: directory of the report
    :param only: text that the names of the scenarios to run contain
    """
    write_report(Path(out), str(only))


if __name__ == "__main__":
    fire.Fire(main)
