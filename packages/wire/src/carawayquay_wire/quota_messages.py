"""Cap'n Proto encoding of the messages about quotas between entry VMs."""

from __future__ import annotations

import enum
import math
import struct
from importlib import resources
from itertools import starmap
from typing import TYPE_CHECKING, Any

import capnp

from carawayquay.errors import FrameError
from carawayquay.quotas import (
    QuotaDemand,
    QuotaDemands,
    QuotaGrant,
    QuotaGrants,
    QuotaReport,
    QuotaUse,
)
from carawayquay_wire.packed_messages import SEGMENT_WORDS, open_packed

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["QuotaMessage", "decode_quota_message", "encode_quota_message"]

QuotaMessage = QuotaReport | QuotaGrants | QuotaDemands

capnp.remove_import_hook()
with resources.as_file(resources.files("carawayquay_wire") / "schema" / "quotas.capnp") as _path:
    _SCHEMA = capnp.load(str(_path))

_USE = struct.Struct("<III")
_GRANT = struct.Struct("<IHH")
_DEMAND = struct.Struct("<Iff")

#: Value that stands for a fraction of 1.
_WHOLE = 65_535

#: Higher demands in requests/s are sent as this one, and refused from other VMs.
_MAX_RATE = 1e9


class _Kind(enum.IntEnum):
    """Kinds of messages, by their number on the wire."""

    REPORT = 1
    GRANTS = 2
    DEMANDS = 3


def encode_quota_message(message: QuotaMessage) -> bytes:
    """Encode a message about quotas."""
    match message:
        case QuotaReport():
            items = (_USE.pack(it.organisation, it.arrived, it.admitted) for it in message.uses)
            fields = {"kind": _Kind.REPORT.value, "complete": message.complete}
        case QuotaGrants():
            items = map(_pack_grant, message.grants)
            fields = {"kind": _Kind.GRANTS.value}
        case QuotaDemands():
            items = (
                _DEMAND.pack(it.organisation, min(it.rate, _MAX_RATE), it.share)
                for it in message.demands
            )
            fields = {"kind": _Kind.DEMANDS.value, "domain": message.domain}
    built = _SCHEMA.QuotaMessage.new_message(
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        items=b"".join(items),
        num_first_segment_words=SEGMENT_WORDS,
        **fields,
    )
    return built.to_bytes_packed()


def decode_quota_message(data: bytes) -> QuotaMessage:
    """Decode a message about quotas from a datagram.

    :raises FrameError: if it cannot be decoded
    """
    try:
        with open_packed(_SCHEMA.QuotaMessage, data) as reader:
            return _read(reader)
    except (capnp.KjException, struct.error, ValueError) as error:
        raise FrameError(f"cannot decode quota message: {error}") from error


def _read(reader: Any) -> QuotaMessage:
    """Return a message from its fields.

    :raises ValueError: if its kind is unknown or an item is out of range
    :raises struct.error: if the items are cut off
    """
    head = (reader.sender, reader.incarnation, reader.sequence)
    match _Kind(reader.kind):
        case _Kind.REPORT:
            return QuotaReport(*head, _unpack(_USE, QuotaUse, reader.items), reader.complete)
        case _Kind.GRANTS:
            return QuotaGrants(*head, _unpack(_GRANT, _read_grant, reader.items))
        case _Kind.DEMANDS:
            demands = _unpack(_DEMAND, _read_demand, reader.items)
            return QuotaDemands(*head, reader.domain, demands)


def _unpack(item: struct.Struct, build: Callable[..., Any], data: bytes) -> tuple[Any, ...]:
    return tuple(starmap(build, item.iter_unpack(data)))


def _pack_grant(grant: QuotaGrant) -> bytes:
    """Pack a grant; fractions are rounded down, so that they never add up to more."""
    return _GRANT.pack(grant.organisation, int(grant.fraction * _WHOLE), int(grant.share * _WHOLE))


def _read_grant(organisation: int, fraction: int, share: int) -> QuotaGrant:
    return QuotaGrant(organisation, fraction / _WHOLE, share / _WHOLE)


def _read_demand(organisation: int, rate: float, share: float) -> QuotaDemand:
    """Return a demand from its packed fields.

    :raises ValueError: if a figure is not a number or out of range
    """
    if not (math.isfinite(rate) and 0 <= rate <= _MAX_RATE and 0 <= share <= 1):
        raise ValueError(f"demand {rate} with share {share} is not valid")
    return QuotaDemand(organisation, rate, share)
