"""Mutations of the platform's documents, one field at a time."""

from __future__ import annotations

import copy
from typing import Any

from hypothesis import strategies as st

__all__ = ["Mutation", "mutated", "mutations"]

#: Values that another version or another writer may have put in place of a valid one.
_WORDS = ("", "unknown", "r999999999999", "a\r\nx: y", "\ud800", "x" * 70_000)
_OUT_OF_RANGE = (
    -1,
    0,
    10**30,
    1e308,
    float("nan"),
    float("inf"),
    "-5s",
    "9" * 400 + "s",
    "999999999s",
    "1.2.3.4:99999",
)
_TYPES = (None, True, False, [], {}, [[]], [None], {"x": {}}, ["unknown"])

_MISSING = object()
_ADDED = object()

#: A path in a document, and the value or change at it.
Mutation = tuple[tuple[Any, ...], Any]


def _paths(value: Any, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, inner in items:
        found.append((*at, key))
        if isinstance(inner, dict | list):
            found += _paths(inner, (*at, key))
    return found


def mutations(document: Any) -> st.SearchStrategy[Mutation]:
    """Return a strategy of mutations of a document."""
    changes = st.sampled_from((_MISSING, _ADDED, *_WORDS, *_OUT_OF_RANGE, *_TYPES))
    return st.tuples(st.sampled_from(_paths(document)), changes)


def mutated(document: Any, mutation: Mutation) -> Any:
    """Return a copy of a document with a mutation applied."""
    path, change = mutation
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    if change is _MISSING:
        del inner[path[-1]]
    elif change is _ADDED and isinstance(inner, dict):
        inner["field_of_a_later_version"] = {"some": ["thing"]}
    elif change is _ADDED:
        inner.append("thing of a later version")
    else:
        inner[path[-1]] = change
    return changed
