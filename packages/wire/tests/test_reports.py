"""Load reports and domain summaries round-trip, also between versions of the schema."""

from __future__ import annotations

import re
import secrets
from importlib import resources

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    CrashReport,
    DomainSummary,
    LoadReport,
    ReportedCrash,
    ServiceRate,
    SuspectReport,
    TargetCount,
    TargetLimitReport,
    VMIdentity,
    WarmObject,
)
from carawayquay_wire import reports
from carawayquay_wire.reports import decode_report, decode_summary, encode_report, encode_summary

SENDER = VMIdentity("puget-a-1", "10.0.0.1", "puget-a", "puget", 1764835200000)
UINT32 = st.integers(0, 2**32 - 1)
SUSPECTS = st.builds(
    SuspectReport,
    st.integers(0, 2**64 - 1),
    st.lists(st.builds(ReportedCrash, UINT32, UINT32, UINT32), max_size=3).map(tuple),
    st.none() | UINT32,
)


@given(
    targets=st.lists(st.builds(TargetCount, UINT32, st.integers(0, 65535)), max_size=9),
    warmed=st.lists(st.builds(WarmObject, UINT32, UINT32), max_size=9),
    crashes=st.lists(st.builds(CrashReport, st.integers(0, 2**64 - 1), st.integers(0, 255))),
    suspects=st.lists(SUSPECTS, max_size=5),
    leaving=st.booleans(),
    watching=st.booleans(),
)
def test_report_round_trips(targets, warmed, crashes, suspects, leaving, watching):
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
        cut_off=True,
        confirmed_ms=(0, 1200, 2**32 - 1),
        capacity=1075,
        suspects=tuple(suspects),
    )
    assert decode_report(encode_report(report)) == report


@pytest.mark.parametrize("data", [b"", b"\0", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 300])
def test_undecodable_report_is_rejected(data):
    with pytest.raises(FrameError):
        decode_report(data)


SCHEMA = (resources.files("carawayquay_wire") / "schema" / "reports.capnp").read_text()


def _load_other_version(tmp_path, text):
    """Load another version of the schema and return its ``LoadReport``."""
    path = tmp_path / "other.capnp"
    # The schema files that a process loads need distinct ids.
    path.write_text(text.replace("@0xd21f86c5a0b7e943", f"@{secrets.randbits(63) | 1 << 63:#x}"))
    return capnp.load(str(path)).LoadReport


def _later_version(tmp_path):
    schema = SCHEMA.replace("incarnation @4 :UInt64;", "incarnation @4 :UInt64; a @5 :Text;")
    last = "suspectOrganisations @19 :List(UInt32);"
    added = f"{last} mood @20 :Text; moods @21 :List(Member);"
    return _load_other_version(tmp_path, schema.replace(last, added))


def _earlier_version(tmp_path):
    """Load a schema without the last fields of ``LoadReport`` and without ``DomainSummary``."""
    schema = SCHEMA.partition("struct DomainSummary")[0]
    return _load_other_version(
        tmp_path, re.sub(r".*@(8|9|10|11|12|13|14|15|16|17|18|19) :.*\n", "", schema)
    )


def _report(sender=SENDER, **changes):
    values = {"sequence": 7, "leaving": False, "revisions": (530, 0, 12)}
    return LoadReport(sender=sender, **(values | changes))


def test_summary_round_trips():
    summary = DomainSummary(
        sender=SENDER,
        sequence=9,
        revisions=(5, 6),
        vms=23,
        members=(SENDER,),
        targets=(TargetCount(5, 2),),
        rates=(ServiceRate(1, 2.5),),
        crashes=(CrashReport(7, 2),),
        warmed=(WarmObject(1, 2),),
        suspects=(SuspectReport(7, (ReportedCrash(1, 30, 20),), 10), SuspectReport(8, (), None)),
        suspect_organisations=(11, 0),
    )
    assert decode_summary(encode_summary(summary)) == summary


@pytest.mark.parametrize("data", [b"", b"\0", b"\xff" * 300])
def test_undecodable_summary_is_rejected(data):
    with pytest.raises(FrameError):
        decode_summary(data)


def test_known_fields_of_a_later_versions_report_are_decoded(tmp_path):
    sender = {name: getattr(SENDER, name) for name in ("name", "host", "domain", "region")}
    message = _later_version(tmp_path).new_message(
        sender=sender | {"incarnation": SENDER.incarnation, "a": "more"},
        sequence=7,
        revisions=[530, 0, 12, 99],
        targets=b"seven b",
        mood="calm",
        moods=[sender],
    )
    report = decode_report(message.to_bytes_packed())
    assert report == _report(revisions=(530, 0, 12, 99))


def test_report_of_an_earlier_version_is_decoded(tmp_path):
    sender = {name: getattr(SENDER, name) for name in ("name", "host", "domain", "region")}
    message = _earlier_version(tmp_path).new_message(
        sender=sender | {"incarnation": SENDER.incarnation}, sequence=7, revisions=[530, 0]
    )
    report = decode_report(message.to_bytes_packed())
    assert report == _report(revisions=(530, 0))


@pytest.mark.parametrize("version", [_later_version, _earlier_version])
def test_other_versions_decode_reports_of_this_version(tmp_path, version):
    report = _report(targets=(TargetCount(5, 2),), warmed=(WarmObject(1, 2),), members=(SENDER,))
    read = version(tmp_path).from_bytes_packed(encode_report(report))
    assert (read.sender.name, read.sequence, list(read.revisions)) == (SENDER.name, 7, [530, 0, 12])
    assert len(read.targets) == 6


LIMIT_REPORTS = st.builds(
    TargetLimitReport,
    UINT32,
    st.none() | st.floats(0, 1e9, width=32),
    st.integers(0, 60_000).map(lambda units: units * 0.01),
    st.floats(0, 60_000, width=16),
)


@given(limits=st.none() | st.lists(LIMIT_REPORTS, max_size=9).map(tuple))
def test_limits_round_trip_and_a_sender_that_reports_none_is_recognized(limits):
    read = decode_report(encode_report(_report(limits=limits))).limits
    assert (read is None) == (limits is None)
    for found, sent in zip(read or (), limits or (), strict=True):
        assert (found.target, found.rate, found.demand) == (sent.target, sent.rate, sent.demand)
        assert found.age == pytest.approx(sent.age, abs=0.011)


@pytest.mark.parametrize("demand", [float("nan"), float("inf"), -1.0])
def test_report_with_an_impossible_demand_is_rejected(demand):
    encoded = encode_report(_report(limits=(TargetLimitReport(1, 2.0, 0.0, 1.0),)))
    valid = reports._TARGET_LIMIT.pack(1, 2.0, 0, 1.0)
    message = reports._SCHEMA.LoadReport.from_bytes_packed(encoded).as_builder()
    assert message.limits == valid
    message.limits = reports._TARGET_LIMIT.pack(1, 2.0, 0, demand)
    with pytest.raises(FrameError):
        decode_report(message.to_bytes_packed())
