"""Cap'n Proto encoding of load reports, read field by field since they come many times a second."""

from __future__ import annotations

import struct
from importlib import resources
from itertools import starmap
from typing import TYPE_CHECKING, Any

import capnp

from carawayquay.errors import FrameError
from carawayquay.load_reports import (
    CrashReport,
    LoadReport,
    ServiceRate,
    TargetCount,
    VMIdentity,
    WarmObject,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["MAX_DATAGRAM_BYTES", "decode_report", "encode_report"]

MAX_DATAGRAM_BYTES = 60_000

capnp.remove_import_hook()
with resources.as_file(resources.files("carawayquay_wire") / "schema" / "reports.capnp") as _path:
    _SCHEMA = capnp.load(str(_path))

#: What reports carry many of stands in blobs, which are read in a third of the time of lists.
_COUNT = struct.Struct("<IH")
_RATE = struct.Struct("<If")
_WARMED = struct.Struct("<II")
_MAX_RUNNING = 65_535
_MAX_CRASHES = 255


def encode_report(report: LoadReport) -> bytes:
    """Return the bytes of a report."""
    message = _SCHEMA.LoadReport.new_message(
        sender=_member(report.sender),
        sequence=report.sequence,
        leaving=report.leaving,
        watching=report.watching,
        revisions=list(report.revisions),
        targets=b"".join(
            _COUNT.pack(count.target, min(count.running, _MAX_RUNNING)) for count in report.targets
        ),
        rates=b"".join(_RATE.pack(rate.service, rate.rate) for rate in report.rates),
        crashes=[
            {"fingerprint": crash.fingerprint, "crashes": min(crash.crashes, _MAX_CRASHES)}
            for crash in report.crashes
        ],
        members=[_member(member) for member in report.members],
        warmed=b"".join(_WARMED.pack(item.target, item.key) for item in report.warmed),
    )
    return message.to_bytes_packed()


def decode_report(data: bytes) -> LoadReport:
    """Return the report that a datagram carries.

    :raises FrameError: if it carries none
    """
    try:
        reader = _SCHEMA.LoadReport.from_bytes_packed(data)
        return LoadReport(
            sender=_identity(reader.sender),
            sequence=reader.sequence,
            leaving=reader.leaving,
            watching=reader.watching,
            revisions=tuple(reader.revisions),
            targets=_unpack(_COUNT, TargetCount, reader.targets),
            rates=_unpack(_RATE, ServiceRate, reader.rates),
            crashes=tuple(CrashReport(item.fingerprint, item.crashes) for item in reader.crashes),
            members=tuple(_identity(item) for item in reader.members),
            warmed=_unpack(_WARMED, WarmObject, reader.warmed),
        )
    except (capnp.KjException, struct.error, ValueError) as error:
        raise FrameError(f"load report is broken: {error}") from error


def _unpack(part: struct.Struct, make: Callable[..., Any], data: bytes) -> tuple[Any, ...]:
    """Return what a blob holds; one of another version of this program holds nothing to this one.

    The blob's size tells: it is empty or a multiple of the part's.
    """
    if len(data) % part.size:
        return ()
    return tuple(starmap(make, part.iter_unpack(data)))


def _member(identity: VMIdentity) -> dict[str, Any]:
    return {
        "name": identity.name,
        "host": identity.host,
        "domain": identity.domain,
        "region": identity.region,
        "incarnation": identity.incarnation,
    }


def _identity(reader: Any) -> VMIdentity:
    return VMIdentity(reader.name, reader.host, reader.domain, reader.region, reader.incarnation)
