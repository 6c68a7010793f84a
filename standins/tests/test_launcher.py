"""Tests of the launcher commands ``up`` and ``down``."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

import pytest

from carawayquay.membership import Address
from carawayquay_standins.pids import running_pids
from carawayquay_standins.site import http_request, wait_until

pytestmark = pytest.mark.processes


def run_launcher(*arguments):
    command = [sys.executable, "-m", "carawayquay_standins.cli", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_site_outlives_its_launcher_and_down_stops_only_its_processes(tmp_path):
    bystander = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        assert run_launcher("up", "--dir", str(tmp_path)).returncode == 0
        assert set(running_pids(tmp_path)) == {file.stem for file in tmp_path.glob("*.pid")}
        assert "holds a running site" in run_launcher("up", "--dir", str(tmp_path)).stderr

        address = Address.parse((tmp_path / "puget-a-1.address").read_text().strip())
        assert http_request(address, "GET", "/state").status == 200
        assert (tmp_path / "puget-a-1.ini").exists()

        os.kill(running_pids(tmp_path)["puget-b-1"], signal.SIGKILL)
        wait_until(lambda: "puget-b-1" not in running_pids(tmp_path), "puget-b-1 has ended")
        (tmp_path / "puget-b-1.pid").write_text(f"{bystander.pid}\n")
    finally:
        run_launcher("down", "--dir", str(tmp_path), "--now")
    assert running_pids(tmp_path) == {}
    assert bystander.poll() is None
    bystander.kill()
    bystander.wait()
