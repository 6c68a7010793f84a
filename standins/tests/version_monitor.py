"""Builders of small sites, and samples of the versions that entry VMs have in force."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

from carawayquay.errors import CarawayquayError
from carawayquay_standins.layout import SMALL
from carawayquay_standins.site import Site, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

__all__ = [
    "IN_FORCE_SECONDS",
    "ONE_DOMAIN",
    "SERVICE",
    "THREE_DOMAINS",
    "VersionMonitor",
    "logged_versions",
]

#: The brief's bound on the time until a change is in force everywhere.
IN_FORCE_SECONDS = 3.0

SERVICE = SMALL.services[0]
ONE_DOMAIN = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=4)
THREE_DOMAINS = attrs.evolve(
    SMALL, regions=("puget", "willamette", "inland"), domains_per_region=1, vms_per_domain=2
)


def logged_versions(folder: Path, vm: str) -> list[int]:
    """Return every version that an entry VM put in force, through all its restarts, by its log."""
    pattern = rf"event=object-adopted kind=documents name={SERVICE.name} version=(\d+)"
    return [int(version) for version in re.findall(pattern, (folder / f"{vm}.log").read_text())]


class VersionMonitor:
    """Reads versions in force and fails when one is lower than that VM had before.

    A process that was started anew may have no version at first.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._highest: dict[str, int] = {}
        self._pids: dict[str, int] = {}

    def version(self, vm: str) -> int:
        """Return the version that an entry VM has in force, 0 while it has none."""
        documents = self._site.state(vm)["documents"]
        version = documents.get(SERVICE.name, {}).get("version", 0)
        highest = self._highest.get(vm, 0)
        pid = self._site.vms[vm].pid
        empty = version == 0 and self._pids.get(vm) != pid
        assert empty or version >= highest, f"{vm} went from {highest} to {version}"
        self._highest[vm] = max(highest, version)
        if not empty:
            self._pids[vm] = pid
        return version

    def change(self, *drains: str) -> int:
        """Change the document directly in the store and return the new version."""
        found = self._site.stored("documents", SERVICE.name)
        document = self._site.document(SERVICE, drains=list(drains))
        return self._site.write_document(SERVICE.name, document, replaces=found["version"])

    def wait_in_force(
        self, version: int, vms: Iterable[str] | None = None, seconds: float = IN_FORCE_SECONDS
    ) -> float:
        """Wait until entry VMs have a version in force and return the seconds that it took."""
        names = [name for name in vms or self._site.vms if self._site.vms[name].running]
        return wait_until(
            lambda: self._versions(names) == {version},
            f"version {version} is in force on {names}",
            seconds,
        )

    def _versions(self, vms: Iterable[str]) -> set[int]:
        """Return the versions in force; a VM that does not answer yet counts as having none."""
        versions = set()
        for vm in vms:
            try:
                versions.add(self.version(vm))
            except (CarawayquayError, OSError):
                versions.add(0)
        return versions
