"""Reads JSON from other writers, where one odd value must not make the rest unreadable."""

from __future__ import annotations

import json
import re
from itertools import islice
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = ["MAX_DEPTH", "read_json"]

#: Greatest depth of nested objects and arrays that is read; deeper values are read as null.
MAX_DEPTH = 64

#: Greatest number of characters of an integer that is read; longer ones are read as null.
_MAX_INTEGER_LENGTH = 400

#: Depth of the elements of a page's list of objects or changes.
_ENTRY_DEPTH = 2

#: Depth, from an element on, to which its readable parts are kept: a changed object's metadata.
_PART_DEPTH = 2

#: Greatest number of parts of a value that are looked at one by one.
_MAX_PARTS = 16

#: Matches what comes before the next run of brackets, or before the end of readable text, and that.
_TOKEN = re.compile(
    r"""(?: [^"\[\]{}]++ | "[^"\\]*+(?:\\.[^"\\]*+)*+" )*+ (?: ([\[{]++) | ([\]}]++) | "|\Z )""",
    re.DOTALL | re.VERBOSE,
)


def read_json(data: bytes | bytearray) -> Any:
    """Parse JSON text; read the values in it that are too deep, too long or malformed as null.

    Takes time linear in the size of the text, and no deeper recursion than ``MAX_DEPTH``.

    >>> read_json(b'{"items": [{"spec": 1}, {"spec": 01}]}')
    {'items': [{'spec': 1}, None]}

    :raises ValueError: if the text as a whole is not JSON
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        value = _read_leniently(data.decode(errors="replace"))
    _limit_depth(value)
    return value


def _read_leniently(text: str) -> Any:
    """Parse JSON text, without the values that are too deep or malformed.

    :raises ValueError: if the text as a whole is not JSON
    """
    text = _replace(text, _spans_below(text, MAX_DEPTH), lambda _: "null")
    try:
        return _decode(text)
    except ValueError:
        readable = _replace(
            text, _spans_below(text, _ENTRY_DEPTH), lambda entry: _readable(entry, _PART_DEPTH)
        )
    return _decode(readable)


def _decode(text: str) -> Any:
    """Parse JSON text of a bounded depth.

    :raises ValueError: if it is not JSON
    """
    try:
        return json.loads(text, strict=False, parse_int=_read_integer)
    except RecursionError as error:
        raise ValueError("brackets are not closed") from error


def _read_integer(text: str) -> int | None:
    return int(text) if len(text) <= _MAX_INTEGER_LENGTH else None


def _readable(text: str, depth: int) -> str:
    """Return the text of a value with its malformed parts replaced by null.

    :param depth: the depth of the smallest parts that are replaced
    """
    if _is_json(text):
        return text
    parts = list(islice(_spans_below(text, 1), _MAX_PARTS + 1)) if depth else []
    if len(parts) > _MAX_PARTS:
        return "null"
    readable = _replace(text, parts, lambda part: _readable(part, depth - 1))
    return readable if parts and _is_json(readable) else "null"


def _is_json(text: str) -> bool:
    try:
        _decode(text)
    except ValueError:
        return False
    return True


def _replace(text: str, spans: Iterable[tuple[int, int]], replacement: Callable[[str], str]) -> str:
    """Return a text with the part in each span replaced by what a function returns for it."""
    pieces = []
    kept_until = 0
    for start, end in spans:
        pieces += (text[kept_until:start], replacement(text[start:end]))
        kept_until = end
    return "".join((*pieces, text[kept_until:]))


def _spans_below(text: str, limit: int) -> Iterator[tuple[int, int]]:
    """Yield start and end of each object or array with a number of others around it."""
    depth = 0
    start = 0
    for token in _TOKEN.finditer(text):
        if token[1]:
            if depth <= limit < depth + len(token[1]):
                start = token.start(1) + limit - depth
            depth += len(token[1])
        elif token[2]:
            if depth - len(token[2]) <= limit < depth:
                yield start, token.start(2) + depth - limit
            depth = max(0, depth - len(token[2]))
        else:
            return


def _limit_depth(value: Any) -> None:
    """Replace the objects and arrays below ``MAX_DEPTH`` in a decoded value by None."""
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(MAX_DEPTH - 1):
        level = [
            child
            for container in level
            for child in (container.values() if type(container) is dict else container)
            if type(child) is dict or type(child) is list
        ]
        if not level:
            return
    for container in level:
        for key, child in container.items() if type(container) is dict else enumerate(container):
            if isinstance(child, dict | list):
                container[key] = None
