"""Cap'n Proto encoding of the messages between entry VMs."""

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

__all__ = ["decode", "encode", "message_code"]

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
    """Maps a message class to its code and its Cap'n Proto struct.

    :param code: the number of the message type in a frame header
    """

    code: int
    message: type
    struct: Any


def _load_schema(name: str) -> Any:
    with resources.as_file(resources.files("carawayquay_wire") / "schema" / name) as path:
        return capnp.load(str(path))


def _bind_messages(schema: str, messages: dict[int, type]) -> list[_Binding]:
    loaded = _load_schema(schema)
    return [
        _Binding(code, message, getattr(loaded, message.__name__))
        for code, message in messages.items()
    ]


_BINDINGS = [
    *_bind_messages(
        "requests.capnp",
        {1: requests.Forward, 2: requests.Forwarded, 3: requests.Refused},
    ),
    *_bind_messages("heartbeats.capnp", {10: heartbeats.Heartbeat}),
    *_bind_messages(
        "claims.capnp",
        {
            20: claim_messages.Replicate,
            21: claim_messages.Replicated,
            22: claim_messages.HolderQuery,
            23: claim_messages.HolderAnswer,
        },
    ),
    *_bind_messages(
        "slots.capnp",
        {
            40: loans.LoanRequest,
            41: loans.LoanReply,
            42: quarantine.SuspectReport,
            43: quarantine.SuspectCleared,
        },
    ),
    *_bind_messages(
        "steering.capnp",
        {
            60: grants.GrantRequest,
            61: grants.GrantOffer,
            62: shift_levels.LevelQuery,
            63: shift_levels.Levels,
        },
    ),
    *_bind_messages("objects.capnp", {80: objects.Pull, 81: objects.Pulled}),
]
_BINDINGS_BY_CODE = {binding.code: binding for binding in _BINDINGS}
_BINDINGS_BY_CLASS = {binding.message: binding for binding in _BINDINGS}


def message_code(message: Any) -> int:
    """Return the number of a message's type in a frame header."""
    return _BINDINGS_BY_CLASS[type(message)].code


def encode(message: Any) -> bytes:
    """Encode a message as Cap'n Proto bytes."""
    return (
        _BINDINGS_BY_CLASS[type(message)]
        .struct.new_message(**_to_struct_fields(message))
        .to_bytes()
    )


def decode(code: int, payload: bytes) -> Any:
    """Decode the payload of a frame.

    :param code: the number of the message type in the frame header
    :raises FrameError: if the code is unknown or the payload cannot be decoded
    """
    binding = _BINDINGS_BY_CODE.get(code)
    if binding is None:
        raise FrameError(f"frame has unknown message code {code}")
    try:
        with binding.struct.from_bytes(payload) as reader:
            return _converter.structure(reader.to_dict(), binding.message)
    except _DECODE_ERRORS as error:
        raise FrameError(f"cannot decode {binding.message.__name__} message: {error}") from error


def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(word.title() for word in tail)


def _to_struct_fields(value: Any) -> Any:
    if attrs.has(type(value)):
        return {
            _camel_case(f.name): _to_struct_fields(getattr(value, f.name))
            for f in attrs.fields(type(value))
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list | tuple):
        return [_to_struct_fields(item) for item in value]
    return value


def _register_structure_hook(message: type) -> None:
    """Register how to build a class, and those of its fields, from camel-case field names."""
    attrs.resolve_types(message)
    overrides = {}
    for field in attrs.fields(message):
        overrides[field.name] = cattrs.gen.override(rename=_camel_case(field.name))
        for field_type in (field.type, *typing.get_args(field.type)):
            if attrs.has(field_type):
                _register_structure_hook(field_type)
    hook = cattrs.gen.make_dict_structure_fn(message, _converter, **overrides)
    _converter.register_structure_hook(message, hook)


for _message in _BINDINGS_BY_CLASS:
    _register_structure_hook(_message)
