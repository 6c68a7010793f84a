"""Builders of registered targets."""

from __future__ import annotations

from datetime import timedelta

from carawayquay.discovery import RegisteredTarget, TargetState
from carawayquay.membership import Address


def registered_target(name="i-1", **changes):
    """Return a ready target of four slots."""
    values = {
        "service": "granite",
        "address": Address("10.0.0.1", 80),
        "domain": "puget-a",
        "region": "puget",
        "slots": 4,
        "state": TargetState.READY,
        "cold_for": timedelta(),
        "incarnation": 1,
        **changes,
    }
    return RegisteredTarget(name=name, **values)
