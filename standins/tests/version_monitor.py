"""Layouts for document tests, and a monitor of the versions in force on entry VMs."""

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

#: Required time within which a change is in force on every entry VM.
IN_FORCE_SECONDS = 3.0

SERVICE = SMALL.services[0]
ONE_DOMAIN = attrs.evolve(SMALL, domains_per_region=1, vms_per_domain=4)
THREE_DOMAINS = attrs.evolve(
    SMALL, regions=("puget", "willamette", "inland"), domains_per_region=1, vms_per_domain=2
)


def logged_versions(folder: Path, vm: str) -> list[int]:
    """Return the versions that an entry VM adopted over all its restarts, in order of its log."""
    pattern = rf"event=object-adopted kind=documents name={SERVICE.name} version=(\d+)"
    return [int(version) for version in re.findall(pattern, (folder / f"{vm}.log").read_text())]


class VersionMonitor:
    """Reads the versions in force and asserts that no entry VM ever goes back to a lower one.

    A restarted process may have no version at first.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._highest: dict[str, int] = {}
        self._pids: dict[str, int] = {}

    def version(self, vm: str) -> int:
        """Return the version in force on an entry VM; 0 if there is none."""
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
        """Write the document with these drains to the store and return the new version."""
        stored = self._site.stored("documents", SERVICE.name)
        document = self._site.document(SERVICE, drains=list(drains))
        return self._site.write_document(SERVICE.name, document, replaces=stored["version"])

    def wait_in_force(
        self, version: int, vms: Iterable[str] | None = None, seconds: float = IN_FORCE_SECONDS
    ) -> float:
        """Wait until a version is in force on entry VMs and return the elapsed seconds.

        :param vms: names of the entry VMs to check; None for all; VMs that do not run are skipped
        :param seconds: timeout
        :raises SiteError: if the version is not in force in time
        """
        names = [name for name in vms or self._site.vms if self._site.vms[name].running]
        return wait_until(
            lambda: self._versions(names) == {version},
            f"version {version} is in force on {names}",
            seconds,
        )

    def _versions(self, vms: Iterable[str]) -> set[int]:
        """Return the set of versions in force, with 0 for a VM that does not answer yet."""
        versions = set()
        for vm in vms:
            try:
                versions.add(self.version(vm))
            except (CarawayquayError, OSError):
                versions.add(0)
        return versions
