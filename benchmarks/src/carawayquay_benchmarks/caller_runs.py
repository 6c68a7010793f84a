"""Prints what callers get under each policy, on a quiet and on a heavy site."""

from __future__ import annotations

from carawayquay_benchmarks.caller_load import CallerLoad, heavy, quiet
from carawayquay_benchmarks.caller_policies import CALLER_POLICIES

__all__ = ["main"]

_SECONDS = 20.0


def main() -> None:
    """Play every policy and print a table."""
    print("| site | policy | worth | worst domain | in aim | late | refused | failed | refusals |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, site in (("quiet", quiet()), ("heavy", heavy())):
        for policy in CALLER_POLICIES:
            result = CallerLoad(site, policy).run(_SECONDS)
            print(
                f"| {name} | {policy.__name__} | {result.worth:.3f} | {result.worst_domain:.3f} "
                f"| {result.in_aim} | {result.late} | {result.refused} | {result.failed} "
                f"| {result.refusals} |"
            )


if __name__ == "__main__":
    main()
