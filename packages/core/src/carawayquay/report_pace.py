"""How often entry VMs report to each other, by how far apart and how many they are."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from carawayquay.load_reports import VMIdentity

__all__ = ["Distance", "ReportPace", "distance", "report_pace"]

#: Reports/s that a VM takes from the VMs of one distance at the most.
_MAX_REPORTS_PER_SECOND = 40.0

#: Reports never come less often, so that a VM that is gone is known to be before long.
_MAX_INTERVAL = timedelta(seconds=2.4)

#: Intervals of silence after which a VM is taken for gone where reports come less often than usual.
_SILENT_INTERVALS = 2.5


class Distance(enum.Enum):
    """How far apart two VMs are."""

    DOMAIN = "domain"
    REGION = "region"
    FAR = "far"


@attrs.frozen
class ReportPace:
    """How often VMs report to each other.

    :param interval: time between two reports to one VM
    :param silence: time without a report after which a VM is taken for gone
    """

    interval: timedelta
    silence: timedelta


_PACES = {
    Distance.DOMAIN: ReportPace(timedelta(seconds=0.2), timedelta(seconds=1.2)),
    Distance.REGION: ReportPace(timedelta(seconds=0.6), timedelta(seconds=2.5)),
    Distance.FAR: ReportPace(timedelta(seconds=1.2), timedelta(seconds=4)),
}


def distance(one: VMIdentity, other: VMIdentity) -> Distance:
    """Return how far apart two VMs are."""
    if one.domain == other.domain:
        return Distance.DOMAIN
    return Distance.REGION if one.region == other.region else Distance.FAR


def report_pace(distance: Distance, vms: int) -> ReportPace:
    """Return the pace of reports between VMs at a distance.

    Where they are many, each reports less often, so that a VM's work grows more slowly than the
    fleet, up to the number at which reports come as seldom as they may.

    :param vms: the number of other VMs at that distance

    >>> report_pace(Distance.FAR, 96).interval
    datetime.timedelta(seconds=2, microseconds=400000)
    """
    usual = _PACES[distance]
    wanted = timedelta(seconds=vms / _MAX_REPORTS_PER_SECOND)
    interval = max(usual.interval, min(wanted, _MAX_INTERVAL))
    return ReportPace(interval, max(usual.silence, _SILENT_INTERVALS * interval))
