"""Checks that a daemon exits if one of its components fails, instead of running without it."""

from __future__ import annotations

import subprocess
import sys

import pytest
from document_builders import settings_text


@pytest.mark.processes
def test_daemon_that_cannot_listen_reports_it_and_exits(tmp_path):
    settings = tmp_path / "vm.ini"
    settings.write_text(settings_text(callers="192.0.2.1:8000"))
    command = [sys.executable, "-m", "carawayquayd.cli", "run", str(settings)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=20)
    assert done.returncode == 1
    assert "cannot listen at 192.0.2.1:8000" in done.stderr
