"""Values of which an earlier build recorded what it wrote, free of names that may change.

A value is compared by the order in which its type declares its fields, so that a field may get
another name, but neither another place nor another meaning.
"""

from __future__ import annotations

import enum
import itertools
import json
import types
import typing
from collections import Counter
from datetime import timedelta
from pathlib import Path
from typing import Any

import attrs

__all__ = ["filled", "flag_count", "plain", "recorded", "recorded_text"]

_FOLDER = Path(__file__).parent / "recorded"


def recorded(name: str) -> Any:
    """Return what a recorded JSON file holds."""
    return json.loads(recorded_text(f"{name}.json"))


def recorded_text(name: str) -> str:
    """Return the text of a recorded file."""
    return (_FOLDER / name).read_text()


def plain(value: Any) -> Any:
    """Return a value in JSON types, with the fields of each class as a list in their order."""
    if attrs.has(type(value)):
        return [
            plain(getattr(value, field.name)) for field in attrs.fields(type(value)) if field.init
        ]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes | bytearray):
        return value.hex()
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, dict):
        return {str(plain(key)): plain(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(plain(item) for item in value)
    if isinstance(value, list | tuple | range):
        return [plain(item) for item in value]
    return value


def filled(cls: type, true_flag: int = 0) -> Any:
    """Return an instance whose fields all differ, and in which one flag of all is set.

    :param true_flag: which one, counted in the order of the fields
    """
    return _Filler(true_flag).fill(cls)


def flag_count(cls: type) -> int:
    """Return how many flags a filled instance has."""
    filler = _Filler(0)
    filler.fill(cls)
    return filler.flags


class _Filler:
    """Makes up values of types, each with a number of its own."""

    def __init__(self, true_flag: int) -> None:
        self._numbers = itertools.count(1)
        self._members: Counter[type] = Counter()
        self._true_flag = true_flag
        self.flags = 0

    def fill(self, kind: Any) -> Any:
        origin = typing.get_origin(kind)
        if origin in (list, tuple):
            item = typing.get_args(kind)[0]
            return origin(self.fill(item) for _ in range(2))
        if origin in (typing.Union, types.UnionType):
            return self.fill(typing.get_args(kind)[0])
        if attrs.has(kind):
            attrs.resolve_types(kind)
            return kind(*[self.fill(field.type) for field in attrs.fields(kind)])
        if kind is bool:
            self.flags += 1
            return self.flags - 1 == self._true_flag
        if issubclass(kind, enum.Enum):
            self._members[kind] += 1
            return list(kind)[self._members[kind] % len(kind)]
        number = next(self._numbers)
        if kind is float:
            return number + 0.5
        return {int: number, str: f"text-{number}", bytes: bytes([number, 255])}[kind]
