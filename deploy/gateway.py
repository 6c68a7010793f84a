"""Starts a gateway from a source checkout, with the settings file named by the platform.

The path of that file is in the environment variable ``CARAWAYQUAY_NODE_FILE``.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_SETTINGS_VARIABLE = "CARAWAYQUAY_NODE_FILE"
_PACKAGES = ("packages/core", "packages/wire", "packages/gateway", "platform")

sys.path[:0] = [str(_ROOT / package / "src") for package in _PACKAGES]

# The settings are not read yet, so that a reload signal needs no action, but it ends a process by
# default.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from carawayquay_gateway.app import run  # noqa: E402

run(os.environ[_SETTINGS_VARIABLE])
