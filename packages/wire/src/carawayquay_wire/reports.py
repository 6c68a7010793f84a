"""Cap'n Proto encoding of load reports and domain summaries.

Since reports are frequent, their fields are read directly, and not through the converter of
:mod:`carawayquay_wire.codec`.
"""

from __future__ import annotations

import math
import struct
from importlib import resources
from itertools import starmap
from typing import TYPE_CHECKING, Any

import capnp

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
from carawayquay_wire.packed_messages import SEGMENT_WORDS, open_packed

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "decode_report",
    "decode_summary",
    "encode_report",
    "encode_summary",
]

#: Size of the receive buffer; a larger datagram is truncated.
MAX_DATAGRAM_BYTES = 60_000

capnp.remove_import_hook()
with resources.as_file(resources.files("carawayquay_wire") / "schema" / "reports.capnp") as _path:
    _SCHEMA = capnp.load(str(_path))

#: Items of repeated fields, packed into blobs, which decode in a third of the time of lists.
_TARGET_COUNT = struct.Struct("<IH")
_SERVICE_RATE = struct.Struct("<If")
_WARM_OBJECT = struct.Struct("<II")
_TARGET_LIMIT = struct.Struct("<IfHe")
#: Upper bounds of the fields' integer types; larger counts are sent as the bound.
_MAX_RUNNING = 65_535
_MAX_CRASHES = 255
_MAX_AGE_UNITS = 65_535
_MAX_MILLISECONDS = 2**32 - 1
_MAX_DEMAND = 65_000.0

#: Higher rates in requests/s are left out, as no VM reaches them.
_MAX_RATE = 1e9

_MAX_VERSION = 2**64 - 1

#: Unit of a limit's age, and the rate that stands for a limit that has ended.
_AGE_UNIT_SECONDS = 0.01
_ENDED = -1.0


def encode_report(report: LoadReport) -> bytes:
    """Encode a load report."""
    message = _SCHEMA.LoadReport.new_message(
        leaving=report.leaving,
        watching=report.watching,
        asking=report.asking,
        cutOff=report.cut_off,
        confirmedMs=list(report.confirmed_ms),
        capacity=report.capacity,
        num_first_segment_words=SEGMENT_WORDS,
        **_common_fields(report),
    )
    return message.to_bytes_packed()


def decode_report(data: bytes) -> LoadReport:
    """Decode a load report from a datagram.

    :raises FrameError: if it cannot be decoded
    """
    try:
        with open_packed(_SCHEMA.LoadReport, data) as reader:
            return LoadReport(
                leaving=reader.leaving,
                watching=reader.watching,
                asking=reader.asking,
                cut_off=reader.cutOff,
                confirmed_ms=tuple(reader.confirmedMs),
                capacity=reader.capacity,
                **_common_attributes(reader),
            )
    except (capnp.KjException, struct.error, ValueError) as error:
        raise FrameError(f"cannot decode load report: {error}") from error


def encode_summary(summary: DomainSummary) -> bytes:
    """Encode a domain summary."""
    message = _SCHEMA.DomainSummary.new_message(
        vms=summary.vms, num_first_segment_words=SEGMENT_WORDS, **_common_fields(summary)
    )
    return message.to_bytes_packed()


def decode_summary(data: bytes) -> DomainSummary:
    """Decode a domain summary from a datagram.

    :raises FrameError: if it cannot be decoded
    """
    try:
        with open_packed(_SCHEMA.DomainSummary, data) as reader:
            return DomainSummary(vms=reader.vms, **_common_attributes(reader))
    except (capnp.KjException, struct.error, ValueError) as error:
        raise FrameError(f"cannot decode domain summary: {error}") from error


def _common_fields(message: LoadReport | DomainSummary) -> dict[str, Any]:
    """Return the schema fields that load reports and domain summaries share."""
    fields: dict[str, Any] = {
        "sender": _identity_fields(message.sender),
        "sequence": message.sequence,
        "revisions": list(message.revisions),
        "targets": b"".join(
            _TARGET_COUNT.pack(count.target, min(count.running, _MAX_RUNNING))
            for count in message.targets
        ),
        "rates": b"".join(_SERVICE_RATE.pack(rate.service, rate.rate) for rate in message.rates),
        "crashes": [
            {"fingerprint": crash.fingerprint, "crashes": min(crash.crashes, _MAX_CRASHES)}
            for crash in message.crashes
        ],
        "members": [_identity_fields(member) for member in message.members],
        "warmed": b"".join(_WARM_OBJECT.pack(item.target, item.key) for item in message.warmed),
        "limits": b"".join(map(_pack_limit, message.limits or ())),
        "limitsReported": message.limits is not None,
        "era": message.era,
        "version": min(message.version, _MAX_VERSION),
    }
    if message.suspects:
        fields["suspects"] = [_suspect_fields(suspect) for suspect in message.suspects]
    if message.suspect_organisations:
        fields["suspectOrganisations"] = list(message.suspect_organisations)
    return fields


def _common_attributes(reader: Any) -> dict[str, Any]:
    """Return the attributes that load reports and domain summaries share."""
    return {
        "sender": _read_identity(reader.sender),
        "sequence": reader.sequence,
        "revisions": tuple(reader.revisions),
        "targets": _unpack(_TARGET_COUNT, TargetCount, reader.targets),
        "rates": tuple(
            rate
            for rate in _unpack(_SERVICE_RATE, ServiceRate, reader.rates)
            if 0 <= rate.rate <= _MAX_RATE
        ),
        "crashes": tuple(CrashReport(item.fingerprint, item.crashes) for item in reader.crashes),
        "members": tuple(_read_identity(item) for item in reader.members),
        "warmed": _unpack(_WARM_OBJECT, WarmObject, reader.warmed),
        "limits": (
            _unpack(_TARGET_LIMIT, _read_limit, reader.limits) if reader.limitsReported else None
        ),
        "era": reader.era,
        "version": reader.version,
        # Most reports have none, and access to a list takes a tenth of the time of decoding.
        "suspects": (tuple(map(_read_suspect, reader.suspects)) if reader._has("suspects") else ()),
        "suspect_organisations": (
            tuple(reader.suspectOrganisations) if reader._has("suspectOrganisations") else ()
        ),
    }


def _unpack(
    item_struct: struct.Struct, item_type: Callable[..., Any], data: bytes
) -> tuple[Any, ...]:
    """Unpack the items of a blob.

    A blob whose size is not a multiple of the item size comes from another version of this
    program, and yields no items.
    """
    if len(data) % item_struct.size:
        return ()
    return tuple(starmap(item_type, item_struct.iter_unpack(data)))


def _pack_limit(report: TargetLimitReport) -> bytes:
    rate = _ENDED if report.rate is None else report.rate
    age = min(int(report.age / _AGE_UNIT_SECONDS), _MAX_AGE_UNITS)
    return _TARGET_LIMIT.pack(report.target, rate, age, min(report.demand, _MAX_DEMAND))


def _read_limit(target: int, rate: float, age: int, demand: float) -> TargetLimitReport:
    """Return a limit from its packed fields.

    :raises ValueError: if a rate is not a finite number, or the demand is negative
    """
    if not (math.isfinite(rate) and math.isfinite(demand) and demand >= 0):
        raise ValueError(f"limit {rate} with demand {demand} is not valid")
    return TargetLimitReport(target, rate if rate >= 0 else None, age * _AGE_UNIT_SECONDS, demand)


def _suspect_fields(suspect: SuspectReport) -> dict[str, Any]:
    return {
        "fingerprint": suspect.fingerprint,
        "crashes": [
            {
                "target": crash.target,
                "beganMs": min(crash.began_ms, _MAX_MILLISECONDS),
                "endedMs": min(crash.ended_ms, _MAX_MILLISECONDS),
            }
            for crash in suspect.crashes
        ],
        "completed": suspect.completed_ms is not None,
        "completedMs": min(suspect.completed_ms or 0, _MAX_MILLISECONDS),
    }


def _read_suspect(reader: Any) -> SuspectReport:
    return SuspectReport(
        reader.fingerprint,
        tuple(ReportedCrash(it.target, it.beganMs, it.endedMs) for it in reader.crashes),
        reader.completedMs if reader.completed else None,
    )


def _identity_fields(identity: VMIdentity) -> dict[str, Any]:
    return {
        "name": identity.name,
        "host": identity.host,
        "domain": identity.domain,
        "region": identity.region,
        "incarnation": identity.incarnation,
    }


def _read_identity(reader: Any) -> VMIdentity:
    return VMIdentity(reader.name, reader.host, reader.domain, reader.region, reader.incarnation)
