"""Tables of the docs pages: as written there, and as generated from the code."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from carawayquay.documents import CAP_FIELDS, DOCUMENT_FIELDS, REGION_FIELDS, TARGET_FIELDS
from carawayquay.errors import ANSWERS
from carawayquay.settings import SETTINGS

if TYPE_CHECKING:
    from carawayquay.documents import Field

__all__ = ["document_rows", "error_rows", "section_rows", "setting_rows"]

_DOCS = Path(__file__).parents[2] / "docs"


def section_rows(page: str, heading: str) -> list[str]:
    """Return the rows of the table in a section of a page, without the header row."""
    section = (_DOCS / page).read_text().split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    rows = [line for line in section.splitlines() if line.startswith("| ")]
    return rows[1:]


def error_rows() -> list[str]:
    """Return the rows of the table of refusals, without its last column."""
    return [
        f"| `{kind.value}` | {answer.status} | {answer.outcome.value} | "
        f"{'yes' if answer.retryable else 'no'} |"
        for kind, answer in ANSWERS.items()
    ]


def setting_rows() -> list[str]:
    """Return the rows of the table of settings."""
    return [
        f"| `[{s.section}] {s.key}` | {_default(s.default)} | {s.allowed} | {s.help} |"
        for s in SETTINGS
    ]


def document_rows() -> list[str]:
    """Return the rows of the table of document keys."""
    return [
        *_field_rows("", DOCUMENT_FIELDS),
        *_field_rows("regions.NAME.", REGION_FIELDS),
        *_field_rows("targets[].", TARGET_FIELDS),
        *_field_rows("cap.", CAP_FIELDS),
    ]


def _field_rows(prefix: str, fields: tuple[Field, ...]) -> list[str]:
    return [
        f"| `{prefix}{f.key}` | {'required' if f.required else _default(f.default)} | "
        f"{f.allowed} | {f.help} |"
        for f in fields
    ]


def _default(value: object) -> str:
    if value is None:
        return "required"
    return "empty" if value in ("", {}, []) else f"`{value}`"
