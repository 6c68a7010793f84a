"""The folder `platform` does not hide the standard library's module of that name."""

from __future__ import annotations

import platform


def test_standard_module_is_found():
    assert platform.python_implementation()
