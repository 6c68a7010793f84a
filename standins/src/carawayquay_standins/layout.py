"""Layouts of small sites: regions, failure domains, entry VMs and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["CASCADE", "KOHLENGLUT", "LAYOUTS", "SMALL", "Layout", "Service"]


@attrs.frozen
class Service:
    """A service and its targets.

    :param slots: concurrency limit of each target
    :param work_ms: run time of a request on a warm target in milliseconds
    :param document: document keys that replace those of the generated document
    """

    name: str
    slots: int
    targets_per_domain: int = 2
    work_ms: float = 5.0
    document: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Layout:
    """Regions, services and sizes of a site."""

    name: str
    regions: tuple[str, ...]
    services: tuple[Service, ...]
    domains_per_region: int = 2
    vms_per_domain: int = 1

    @property
    def domains(self) -> tuple[tuple[str, str], ...]:
        """Pairs of region and failure domain, for all domains."""
        letters = "abcdefgh"[: self.domains_per_region]
        return tuple(
            (region, f"{region}-{letter}") for region in self.regions for letter in letters
        )


CASCADE = Layout(
    "cascade",
    ("puget", "willamette", "inland"),
    (Service("granite-ledger", 7), Service("sledway", 4), Service("pebblecal", 7)),
)
KOHLENGLUT = Layout(
    "kohlenglut",
    ("wien", "graz", "linz"),
    (Service("lagerblick", 4), Service("sackbuch", 3), Service("saisonarchiv", 5)),
)
SMALL = Layout(
    "small", ("puget",), (Service("sledway", 4, targets_per_domain=1),), domains_per_region=2
)
LAYOUTS = {layout.name: layout for layout in (CASCADE, KOHLENGLUT, SMALL)}
