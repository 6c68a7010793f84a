"""Late requests are taken in a planned stop only if they end before it does."""

from __future__ import annotations

from datetime import timedelta

import pytest

from carawayquay.planned_stop import PlannedStop

STOP = PlannedStop(timedelta(seconds=2.8), timedelta(seconds=5.6))


@pytest.mark.parametrize(
    ("now", "deadline", "admitted"),
    [(0.0, 9.0, True), (2.7, 9.0, True), (2.8, 5.6, True), (2.8, 5.7, False), (5.0, 5.5, True)],
)
def test_request_is_admitted_until_lookups_expire_or_if_it_ends_in_time(now, deadline, admitted):
    assert STOP.admits(timedelta(seconds=deadline), timedelta(seconds=now)) == admitted
