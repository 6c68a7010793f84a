"""The scenarios in which policies are compared."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from carawayquay_benchmarks.scenario_runs import CASCADE, KOHLENGLUT, Event, Scenario, Traffic

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_benchmarks.scenario_simulation import Simulation

__all__ = ["SCENARIOS"]

_PLANNED_CAP = 0.10
_FAILURE_CAP = 0.34
_LEDGER = "granite-ledger"
_STOCK = "lagerblick"
_ORDERS = "sackbuch"
_ARCHIVE = "saisonarchiv"

#: Capacity in requests/s of one region of Cascade: two failure domains with 14 slots each.
_REGION_CAPACITY = 140.0


def _steady(rate: float) -> Callable[[float], float]:
    return lambda _: rate


def _ramp(low: float, high: float, start: float, end: float) -> Callable[[float], float]:
    """Return a rate that rises linearly between two times in seconds and then stays constant."""

    def rate(seconds: float) -> float:
        part = min(1.0, max(0.0, (seconds - start) / (end - start)))
        return low + (high - low) * part

    return rate


def _cascade(puget: Callable[[float], float], others: float, size: int = 2000) -> tuple:
    return (
        Traffic(_LEDGER, "puget", puget, size),
        Traffic(_LEDGER, "willamette", _steady(others)),
        Traffic(_LEDGER, "inland", _steady(others)),
    )


def _drain(*regions: str) -> Callable[[Simulation], None]:
    return lambda simulation: simulation.drained_regions.update(regions)


def _set_alive(region: str, alive: bool, simulation: Simulation) -> None:
    for group in simulation.groups.values():
        if group.region == region:
            group.alive = alive


def _set_reporting(reporting: bool, simulation: Simulation) -> None:
    simulation.reporting = reporting


_FLAPS = tuple(
    Event(30 + 3 * turn, partial(_set_alive, "puget", turn % 2 == 1)) for turn in range(20)
)
_LEAGUE_NIGHT = _cascade(
    _ramp(0.3 * _REGION_CAPACITY, 0.8 * _REGION_CAPACITY, 20, 60), 0.4 * _REGION_CAPACITY
)

SCENARIOS = (
    Scenario(
        name="league night with a drain",
        layout=CASCADE,
        seconds=200,
        traffic=_LEAGUE_NIGHT,
        events=(Event(50, _drain("puget")),),
        first_event_at=50,
        expected_cap=_PLANNED_CAP,
        evacuated_regions=("puget",),
    ),
    Scenario(
        name="region lost at peak",
        layout=CASCADE,
        seconds=120,
        traffic=_cascade(_steady(0.7 * _REGION_CAPACITY), 0.5 * _REGION_CAPACITY),
        events=(Event(40, partial(_set_alive, "puget", False)),),
        first_event_at=40,
        expected_cap=_FAILURE_CAP,
        evacuated_regions=("puget",),
    ),
    Scenario(
        name="move into cold caches",
        layout=CASCADE,
        seconds=200,
        traffic=(Traffic(_LEDGER, "puget", _steady(0.6 * _REGION_CAPACITY)),),
        events=(Event(30, _drain("puget")),),
        first_event_at=30,
        expected_cap=_PLANNED_CAP,
        evacuated_regions=("puget",),
        cold_regions=("willamette", "inland"),
        cold_factor=6.0,
    ),
    Scenario(
        name="measurements stopped for minutes",
        layout=CASCADE,
        seconds=200,
        traffic=_cascade(
            _ramp(0.1 * _REGION_CAPACITY, 0.9 * _REGION_CAPACITY, 30, 40), 0.6 * _REGION_CAPACITY
        ),
        events=(
            Event(20, partial(_set_reporting, False)),
            Event(170, partial(_set_reporting, True)),
        ),
        first_event_at=20,
        expected_cap=_FAILURE_CAP,
    ),
    Scenario(
        name="two drains at once",
        layout=CASCADE,
        seconds=200,
        traffic=_cascade(_steady(0.3 * _REGION_CAPACITY), 0.3 * _REGION_CAPACITY),
        events=(Event(30, _drain("puget", "willamette")),),
        first_event_at=30,
        expected_cap=_PLANNED_CAP,
        evacuated_regions=("puget", "willamette"),
    ),
    Scenario(
        name="flapping health",
        layout=CASCADE,
        seconds=150,
        traffic=_cascade(_steady(0.6 * _REGION_CAPACITY), 0.5 * _REGION_CAPACITY),
        events=_FLAPS,
        first_event_at=30,
        expected_cap=_FAILURE_CAP,
    ),
    Scenario(
        name="thin link filled",
        layout=CASCADE,
        seconds=120,
        traffic=_cascade(
            _ramp(0.5 * _REGION_CAPACITY, 1.8 * _REGION_CAPACITY, 20, 60),
            0.2 * _REGION_CAPACITY,
            size=600_000,
        ),
        events=(),
        first_event_at=20,
        expected_cap=_FAILURE_CAP,
    ),
    Scenario(
        name="hot service beside quiet ones, its region drained",
        layout=KOHLENGLUT,
        seconds=200,
        traffic=(
            Traffic(_STOCK, "wien", _steady(100.0)),
            Traffic(_STOCK, "graz", _steady(50.0)),
            Traffic(_ORDERS, "wien", _steady(0.1)),
            Traffic(_ARCHIVE, "wien", _steady(0.1)),
        ),
        events=(Event(30, _drain("wien")),),
        first_event_at=30,
        expected_cap=_PLANNED_CAP,
        evacuated_regions=("wien",),
        measured=frozenset({_ORDERS, _ARCHIVE}),
    ),
)
