"""Comparison of the policies in the caller simulation, at a light load and at an overload."""

from __future__ import annotations

from carawayquay_benchmarks.caller_policies import CALLER_POLICIES
from carawayquay_benchmarks.caller_simulation import (
    CallerSimulation,
    lightly_loaded_site,
    overloaded_site,
)

__all__ = ["main"]

_SECONDS = 20.0


def main() -> None:
    """Simulate every policy on both sites and print a table of the outcomes."""
    print(
        "| site | policy | credit | worst domain | on time | late | refused | failed | refusals |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, site in (
        ("light load", lightly_loaded_site()),
        ("overload", overloaded_site()),
    ):
        for policy in CALLER_POLICIES:
            result = CallerSimulation(site, policy).run(_SECONDS)
            print(
                f"| {name} | {policy.__name__} "
                f"| {result.credit_ratio:.3f} | {result.worst_domain:.3f} "
                f"| {result.on_time} | {result.late} | {result.refused} | {result.failed} "
                f"| {result.refusals} |"
            )


if __name__ == "__main__":
    main()
