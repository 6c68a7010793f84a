"""Output of the check of a model, with all safeguards and without each one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import enum
    from collections.abc import Callable, Iterable

__all__ = ["counterexamples", "print_verdicts"]


def counterexamples(report: dict[str, Any]) -> dict[str, tuple[str, ...]]:
    """Return the shortest counterexample of each violated property, as the labels of its steps."""
    return {
        name: tuple(step["label"] for step in found["counterexample"][1:])
        for name, found in report["properties"].items()
        if found["holds"] is False
    }


def print_verdicts(
    name: str, check: Callable[..., dict[str, Any]], safeguards: Iterable[enum.Enum]
) -> None:
    """Check a model and print its violations, then those without each safeguard in turn."""
    whole = check()
    exhaustive = "exhaustive" if whole["exhaustive"] else "INCOMPLETE"
    states = whole["reachable_states"]
    print(f"{name}: {states} states, {exhaustive}; violated: {counterexamples(whole) or 'none'}")
    for safeguard in safeguards:
        print(f"  without: {safeguard.value}")
        for rule, steps in counterexamples(check(safeguard)).items():
            print(f"    {rule}: {'; '.join(steps)}")
