"""Cap'n Proto encoding of the peer messages."""

from __future__ import annotations

import enum
import typing
from importlib import resources
from typing import Any

import attrs
import capnp
import cattrs
import cattrs.gen

from carawayquay import (
    claim_messages,
    grants,
    heartbeats,
    loans,
    objects,
    quarantine,
    requests,
    shift_levels,
)
from carawayquay.errors import FrameError

__all__ = ["code_of", "decode", "encode"]

capnp.remove_import_hook()

_DECODE_ERRORS = (
    capnp.KjException,
    cattrs.BaseValidationError,
    KeyError,
    TypeError,
    ValueError,
)

_converter = cattrs.Converter()
_converter.register_structure_hook(bytes, lambda value, _: bytes(value))


@attrs.frozen
class _Binding:
    """A message's number on the wire, its class and its Cap'n Proto struct."""

    code: int
    message: type
    struct: Any


def _load(name: str) -> Any:
    with resources.as_file(resources.files("carawayquay_wire") / "schema" / name) as path:
        return capnp.load(str(path))


def _bind(schema: str, messages: dict[int, type]) -> list[_Binding]:
    loaded = _load(schema)
    return [
        _Binding(code, message, getattr(loaded, message.__name__))
        for code, message in messages.items()
    ]


_BINDINGS = [
    *_bind(
        "requests.capnp",
        {1: requests.Forward, 2: requests.Forwarded, 3: requests.Refused},
    ),
    *_bind("heartbeats.capnp", {10: heartbeats.Heartbeat}),
    *_bind(
        "claims.capnp",
        {
            20: claim_messages.Replicate,
            21: claim_messages.Replicated,
            22: claim_messages.HolderQuery,
            23: claim_messages.HolderAnswer,
        },
    ),
    *_bind(
        "slots.capnp",
        {
            40: loans.LoanRequest,
            41: loans.LoanReply,
            42: quarantine.SuspectReport,
            43: quarantine.SuspectCleared,
        },
    ),
    *_bind(
        "steering.capnp",
        {
            60: grants.GrantRequest,
            61: grants.GrantOffer,
            62: shift_levels.LevelQuery,
            63: shift_levels.Levels,
        },
    ),
    *_bind("objects.capnp", {80: objects.Pull, 81: objects.Pulled}),
]
_BY_CODE = {binding.code: binding for binding in _BINDINGS}
_BY_CLASS = {binding.message: binding for binding in _BINDINGS}


def code_of(message: Any) -> int:
    """Return the number of a message's type on the wire."""
    return _BY_CLASS[type(message)].code


def encode(message: Any) -> bytes:
    """Return the Cap'n Proto bytes of a message."""
    return _BY_CLASS[type(message)].struct.new_message(**_to_wire(message)).to_bytes()


def decode(code: int, payload: bytes) -> Any:
    """Return the message that a frame carries.

    :raises FrameError: if the code is unknown or the payload is broken
    """
    binding = _BY_CODE.get(code)
    if binding is None:
        raise FrameError(f"message has unknown code {code}")
    try:
        with binding.struct.from_bytes(payload) as reader:
            return _converter.structure(reader.to_dict(), binding.message)
    except _DECODE_ERRORS as error:
        raise FrameError(f"{binding.message.__name__} message is broken: {error}") from error


def _camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


def _to_wire(value: Any) -> Any:
    if attrs.has(type(value)):
        return {_camel(f.name): _to_wire(getattr(value, f.name)) for f in attrs.fields(type(value))}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list | tuple):
        return [_to_wire(item) for item in value]
    return value


def _register(message: type) -> None:
    """Make the converter read a class, and those of its fields, from camel-case names."""
    attrs.resolve_types(message)
    overrides = {}
    for field in attrs.fields(message):
        overrides[field.name] = cattrs.gen.override(rename=_camel(field.name))
        for part in (field.type, *typing.get_args(field.type)):
            if attrs.has(part):
                _register(part)
    hook = cattrs.gen.make_dict_structure_fn(message, _converter, **overrides)
    _converter.register_structure_hook(message, hook)


for _message in _BY_CLASS:
    _register(_message)
