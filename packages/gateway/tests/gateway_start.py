"""Builder of a gateway process without a store, whose start and stop are watched."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import curio
from gateway_builders import SETTINGS_TEXT
from gateway_site import START_SECONDS, free_ports, status_of

from carawayquay.membership import Address

_PROGRAM = Path(__file__).parents[3] / "deploy" / "gateway.py"
_HOST = "127.9.29.1"


@contextlib.contextmanager
def ending(process):
    """Kill a process at the end."""
    try:
        yield
    finally:
        process.kill()
        process.wait()


class GatewayStart:
    """One gateway process whose start is watched."""

    def __init__(self, folder):
        self.path = folder / "gateway.ini"
        self.log = folder / "gateway.log"
        ports = free_ports(_HOST, 6)
        self.callers = Address(_HOST, ports[0])
        self.ready = Address(_HOST, ports[1])
        text = SETTINGS_TEXT.replace("127.0.0.1:7000", f"{_HOST}:{ports[5]}")
        for index, port in enumerate(ports[:4], 1):
            text = text.replace(f"127.0.0.1:700{index}", f"{_HOST}:{port}")
        self.text = text.replace("7010,7020", f"{ports[4]},{ports[4] + 1}")

    def launch(self, *libraries):
        """Start the process, with folders that hold libraries."""
        path = os.pathsep.join([*map(str, libraries), os.environ.get("PYTHONPATH", "")])
        changes = {"CARAWAYQUAY_NODE_FILE": str(self.path), "PYTHONPATH": path}
        with self.log.open("ab") as log:
            command = [sys.executable, str(_PROGRAM)]
            return subprocess.Popen(command, stdout=log, stderr=log, env=os.environ | changes)

    async def until_listening(self, process):
        """Wait until the process answers readiness checks; fail if it ends."""
        async with curio.timeout_after(START_SECONDS):
            while await status_of(self.ready, "/ready") == 0:
                assert process.poll() is None, self.log.read_text()
                await curio.sleep(0.05)

    async def until_logged(self, text):
        """Wait until the log contains a text."""
        async with curio.timeout_after(START_SECONDS):
            while text not in self.log.read_text():
                await curio.sleep(0.05)
