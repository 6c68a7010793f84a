"""The directory ``platform`` does not shadow the standard library module of that name."""

from __future__ import annotations

import platform


def test_standard_module_is_found():
    assert platform.python_implementation()
