"""How often entry VMs and failure domains report, by how far apart and how many they are."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayquay.load_reports import VMIdentity

__all__ = ["Distance", "ReportTiming", "distance", "report_timing", "summary_timing"]

#: Reports/s that a VM takes from the VMs of one distance at the most.
_MAX_REPORTS_PER_SECOND = 16.0

#: Summaries/s that a VM takes from all domains of one distance at the most.
_MAX_SUMMARIES_PER_SECOND = 3.5

#: Copies/s of one domain's summary that a relay passes on to the VMs of its own domain at the most.
_MAX_COPIES_PER_SECOND = 16.0

#: Reports never come less often, so that a VM that is gone is known to be before long.
_MAX_INTERVAL = timedelta(seconds=2.4)

#: Intervals of silence after which a VM is taken for gone where reports come less often than usual.
_FAILURE_INTERVALS = 2.5


class Distance(enum.Enum):
    """How far apart two VMs are."""

    DOMAIN = "domain"
    REGION = "region"
    FAR = "far"


@attrs.frozen
class ReportTiming:
    """How often VMs report to each other.

    :param interval: time between two reports to one VM
    :param silence: time without a report after which a VM is taken for gone
    """

    interval: timedelta
    failure_timeout: timedelta


_TIMINGS = {
    Distance.DOMAIN: ReportTiming(timedelta(seconds=0.2), timedelta(seconds=1.2)),
    Distance.REGION: ReportTiming(timedelta(seconds=0.6), timedelta(seconds=2.5)),
    Distance.FAR: ReportTiming(timedelta(seconds=1.2), timedelta(seconds=4)),
}


def distance(one: VMIdentity, other: VMIdentity) -> Distance:
    """Return how far apart two VMs are."""
    if one.domain == other.domain:
        return Distance.DOMAIN
    return Distance.REGION if one.region == other.region else Distance.FAR


def report_timing(distance: Distance, vms: int) -> ReportTiming:
    """Return the pace of reports between VMs at a distance.

    Where they are many, each reports less often, so that a VM's work grows more slowly than the
    fleet, up to the number at which reports come as seldom as they may.

    :param vms: the number of other VMs at that distance

    >>> report_timing(Distance.DOMAIN, 40).interval
    datetime.timedelta(seconds=2, microseconds=400000)
    """
    usual = _TIMINGS[distance]
    required = timedelta(seconds=vms / _MAX_REPORTS_PER_SECOND)
    interval = max(usual.interval, min(required, _MAX_INTERVAL))
    return ReportTiming(interval, max(usual.failure_timeout, _FAILURE_INTERVALS * interval))


def summary_timing(
    distance: Distance, domains: Mapping[Distance, int], domain_peers: int
) -> ReportTiming:
    """Return the pace of summaries between failure domains at a distance.

    :param domains: the number of other domains at each distance
    :param near: the number of other VMs of the domain to which a summary is passed on

    >>> summary_timing(Distance.FAR, {Distance.REGION: 1, Distance.FAR: 4}, 3).interval
    datetime.timedelta(seconds=1, microseconds=200000)
    >>> summary_timing(Distance.FAR, {Distance.REGION: 2, Distance.FAR: 6}, 21).interval
    datetime.timedelta(seconds=1, microseconds=714286)
    >>> summary_timing(Distance.REGION, {Distance.REGION: 2, Distance.FAR: 6}, 21).interval
    datetime.timedelta(seconds=1, microseconds=312500)
    """
    usual = _TIMINGS[distance]
    required = max(
        domains.get(distance, 0) / _MAX_SUMMARIES_PER_SECOND, domain_peers / _MAX_COPIES_PER_SECOND
    )
    interval = max(usual.interval, timedelta(seconds=required))
    return ReportTiming(interval, max(usual.failure_timeout, _FAILURE_INTERVALS * interval))
