"""Test builders of documents with targets in several failure domains, which can be drained."""

from __future__ import annotations

from typing import Any

from document_builders import document_value, target_value

__all__ = ["drainable_document"]


def drainable_document(**changes: Any) -> dict[str, Any]:
    targets = [
        target_value(f"sledway-{domain}", region=domain.partition("-")[0], domain=domain)
        for domain in ("puget-a", "puget-b", "inland-a")
    ]
    return document_value(**{"targets": targets, **changes})
