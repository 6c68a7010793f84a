"""Requests that many VMs send through others are spread, ask few VMs and find one that helps."""

from __future__ import annotations

from collections import Counter
from math import sqrt

import pytest
from spread_fleet import SpreadFleet

#: Number of VMs that one request asks at most, as in the gateway.
_MAX_ASKED = 6

#: Requests that each VM that is cut off has in flight: one starts in each step of 0.1 s, and lasts
#: two. Fewer than the distance of the next domain, so that the nearest VMs get them all.
_IN_FLIGHT = 2

#: Steps after the cut in which VMs of other domains are still being found out, and the users' rule
#: for the requests after it that may fail: 10 and 1 in 50.
_FOUND_OUT_AFTER = 10
_ALLOWED_FAILURES = 10
_ALLOWED_RATIO = 1 / 50

_FLEETS = [(6, 6), (24, 6), (72, 8), (195, 9)]


def _run(fleet):
    fleet.run(30, requests_per_step=1, request_steps=_IN_FLIGHT, max_asked=_MAX_ASKED)


def _even_shares(fleet):
    """Return the requests in flight at each VM if all were spread evenly over the nearest ones."""
    shares = Counter()
    for vm in fleet.cut:
        nearest = fleet.nearest(vm)
        for helper in nearest:
            shares[helper.name] += _IN_FLIGHT / len(nearest)
    return shares


def _check_spread(fleet):
    """Check that no VM has more than its even share and what independent choices add to it.

    VMs that are cut off choose by themselves: four standard deviations of a Poisson distribution,
    and four for requests that find nobody nearer.
    """
    shares = _even_shares(fleet)
    for vm in fleet.sound:
        share = shares[vm.name]
        assert fleet.peaks[vm.name] <= share + 4 * sqrt(share) + 4
    assert fleet.most_asked <= _MAX_ASKED


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("share", [0.3, 0.6, 0.9])
@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_requests_of_vms_that_are_cut_off_are_spread_and_find_a_vm(vms, domains, share, seed):
    fleet = SpreadFleet(vms, domains, seed)
    fleet.cut_share(share)
    _run(fleet)
    _check_spread(fleet)
    failed = sum(n for step, n in fleet.unserved_at.items() if step >= _FOUND_OUT_AFTER)
    requests = fleet.requests * (30 - _FOUND_OUT_AFTER) / 30
    assert failed <= _ALLOWED_FAILURES + _ALLOWED_RATIO * requests


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cut", [1, 2])
@pytest.mark.parametrize(("vms", "domains"), _FLEETS)
def test_requests_of_whole_domains_that_are_cut_off_all_find_a_vm(vms, domains, cut, seed):
    fleet = SpreadFleet(vms, domains, seed)
    fleet.cut_domains(cut)
    _run(fleet)
    _check_spread(fleet)
    assert fleet.unserved == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_goes_to_farther_vms_before_any_has_seventeen_more(seed):
    fleet = SpreadFleet(72, 8, seed)
    fleet.cut_domains(2)
    fleet.run(3, requests_per_step=60, request_steps=10, max_asked=_MAX_ASKED)
    for vm in fleet.cut:
        in_flight = fleet.in_flight_from(vm).values()
        assert max(in_flight) - min(in_flight) <= 17
