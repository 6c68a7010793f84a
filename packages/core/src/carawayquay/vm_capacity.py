"""What entry VMs of different size carry, and how look-ups spread callers over them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

__all__ = ["request_capacity", "sample_by_capacity"]

#: Processor time in core seconds, and bytes in each direction, of a request.
_CORE_SECONDS = 0.002
_BYTES = 20_000

_BITS_IN_BYTE = 8
_BITS_IN_MEGABIT = 1_000_000

#: VMs with at least this fraction of the greatest capacity are all named.
_LARGE_FRACTION = 0.5

#: Minimum number of VMs in a sample, so that callers have a choice when some of them fail.
_MIN_SAMPLE = 4


def request_capacity(cores: float, link_mbps: float) -> int:
    """Return the requests/s that a VM's processor and link carry, at least 1.

    :param cores: core seconds per second, 0 if unknown
    :param link_mbps: bandwidth in Mbit/s, 0 if unknown
    :returns: 0 if nothing is known

    >>> request_capacity(0.3, 10), request_capacity(2.15, 200), request_capacity(0, 0)
    (62, 1075, 0)
    """
    bounds = []
    if cores > 0:
        bounds.append(cores / _CORE_SECONDS)
    if link_mbps > 0:
        bounds.append(link_mbps * _BITS_IN_MEGABIT / (_BITS_IN_BYTE * _BYTES))
    return max(1, int(min(bounds))) if bounds else 0


def sample_by_capacity(capacities: Mapping[str, int], random: Random) -> frozenset[str]:
    """Return VMs among which a caller may choose at random, so that load follows capacity.

    All large VMs are in the sample, with as many of the smaller ones as make up their part of the
    capacity over many samples.

    :param capacities: requests/s by name of the VM, 0 if unknown
    :returns: all VMs if a capacity is unknown or the VMs are about equal
    """
    if not capacities or min(capacities.values()) <= 0:
        return frozenset(capacities)
    least = _LARGE_FRACTION * max(capacities.values())
    large = sorted(name for name, capacity in capacities.items() if capacity >= least)
    small = sorted(capacities.keys() - set(large))
    ratio = sum(capacities[name] for name in small) / sum(capacities[name] for name in large)
    wanted = math.floor(len(large) * ratio + random.random())
    count = min(len(small), max(wanted, _MIN_SAMPLE - len(large)))
    return frozenset([*large, *random.sample(small, count)])
