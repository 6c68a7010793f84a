"""Load reports come back as they were sent, and broken datagrams are refused."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    CrashReport,
    LoadReport,
    ServiceRate,
    TargetCount,
    VMIdentity,
    WarmObject,
)
from carawayquay_wire.reports import decode_report, encode_report

SENDER = VMIdentity("puget-a-1", "10.0.0.1", "puget-a", "puget", 1764835200000)
WORDS = st.integers(0, 2**32 - 1)


@given(
    targets=st.lists(st.builds(TargetCount, WORDS, st.integers(0, 65535)), max_size=9),
    warmed=st.lists(st.builds(WarmObject, WORDS, WORDS), max_size=9),
    crashes=st.lists(st.builds(CrashReport, st.integers(0, 2**64 - 1), st.integers(0, 255))),
    leaving=st.booleans(),
    watching=st.booleans(),
)
def test_report_survives_the_wire(targets, warmed, crashes, leaving, watching):
    report = LoadReport(
        sender=SENDER,
        sequence=7,
        leaving=leaving,
        watching=watching,
        revisions=(530, 0, 12),
        targets=tuple(targets),
        rates=(ServiceRate(1, 2.5),),
        crashes=tuple(crashes),
        warmed=tuple(warmed),
        members=(SENDER,),
    )
    assert decode_report(encode_report(report)) == report


@pytest.mark.parametrize("data", [b"", b"\0", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 300])
def test_broken_datagram_is_refused(data):
    with pytest.raises(FrameError):
        decode_report(data)
