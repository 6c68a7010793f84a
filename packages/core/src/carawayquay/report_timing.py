"""Report intervals and failure timeouts by the distance and number of VMs and domains."""

from __future__ import annotations

import enum
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawayquay.load_reports import VMIdentity

__all__ = ["Distance", "ReportTiming", "distance", "report_timing", "summary_timing"]

#: Maximum rate in reports/s that a VM receives from all VMs at one distance.
_MAX_REPORTS_PER_SECOND = 16.0

#: Maximum rate in summaries/s that a VM receives from all domains at one distance.
_MAX_SUMMARIES_PER_SECOND = 3.5

#: Maximum rate in copies/s at which a relay passes one domain's summaries on within its domain.
_MAX_COPIES_PER_SECOND = 16.0

#: Maximum report interval, which bounds the time until a failed VM is detected.
_MAX_INTERVAL = timedelta(seconds=2.4)

#: Minimum failure timeout in report intervals, for intervals longer than the default.
_FAILURE_INTERVALS = 2.5


class Distance(enum.Enum):
    """Whether two VMs share a failure domain, only a region, or neither."""

    DOMAIN = "domain"
    REGION = "region"
    FAR = "far"


@attrs.frozen
class ReportTiming:
    """Report interval and failure timeout between two VMs or domains.

    :param interval: time between two reports to the same receiver
    :param failure_timeout: time without a report after which the sender is considered failed
    """

    interval: timedelta
    failure_timeout: timedelta


_TIMINGS = {
    Distance.DOMAIN: ReportTiming(timedelta(seconds=0.2), timedelta(seconds=1.2)),
    Distance.REGION: ReportTiming(timedelta(seconds=0.6), timedelta(seconds=2.5)),
    Distance.FAR: ReportTiming(timedelta(seconds=1.2), timedelta(seconds=4)),
}


def distance(one: VMIdentity, other: VMIdentity) -> Distance:
    """Return the distance between two VMs."""
    if one.domain == other.domain:
        return Distance.DOMAIN
    return Distance.REGION if one.region == other.region else Distance.FAR


def report_timing(distance: Distance, vms: int) -> ReportTiming:
    """Return the timing of load reports between VMs at a distance.

    The interval grows with the number of VMs, which caps the rate at which one VM receives
    reports until the maximum interval is reached.

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
    """Return the timing of summaries between failure domains at a distance.

    :param domains: the number of other domains at each distance
    :param domain_peers: the number of other VMs in the domain, to which summaries are passed on

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
