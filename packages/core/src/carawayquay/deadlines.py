"""Deadlines by which changes in the store have to be in force at every entry VM."""

from __future__ import annotations

from datetime import timedelta

import attrs

__all__ = ["Deadlines"]


@attrs.frozen
class Deadlines:
    """How soon after its confirmation by the store a change has to be in force.

    :param contact: time without trouble after which a VM has to keep the other deadlines
    :param configuration: for a configuration
    :param departure: for a target that drains or is gone
    :param evacuation: for the evacuation of a failure domain
    """

    contact: timedelta = timedelta(seconds=3)
    configuration: timedelta = timedelta(seconds=2)
    departure: timedelta = timedelta(seconds=2)
    evacuation: timedelta = timedelta(seconds=5)
