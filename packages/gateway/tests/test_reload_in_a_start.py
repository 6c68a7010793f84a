"""A reload signal does not end a process that is starting, and is not lost once it has settings."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import curio
import pytest
from gateway_builders import SETTINGS_TEXT
from gateway_site import free_ports, status_of

from carawayquay.membership import Address

pytestmark = pytest.mark.processes

_PROGRAM = Path(__file__).parents[3] / "deploy" / "gateway.py"
_HOST = "127.9.29.1"
_START_SECONDS = 20.0

#: Time for which the settings are missing or incomplete, most of it after the first read.
_INCOMPLETE_SECONDS = 1.5

#: Stands in for a library; signals its process and then hands over to the library.
_SIGNALLING_MODULE = """
import os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.path.remove(os.path.dirname(__file__))
del sys.modules["curio"]
import curio
"""


class _Start:
    """One gateway process whose start is watched."""

    def __init__(self, folder):
        self.path = folder / "gateway.ini"
        self.log = folder / "gateway.log"
        ports = free_ports(_HOST, 6)
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
        async with curio.timeout_after(_START_SECONDS):
            while await status_of(self.ready, "/ready") == 0:
                assert process.poll() is None, self.log.read_text()
                await curio.sleep(0.05)

    async def until_logged(self, text):
        """Wait until the log contains a text."""
        async with curio.timeout_after(_START_SECONDS):
            while text not in self.log.read_text():
                await curio.sleep(0.05)


def _watch(start, process, check):
    try:
        curio.run(check)
    finally:
        process.kill()
        process.wait()


def test_reload_signal_while_libraries_are_loaded_does_not_end_the_process(tmp_path):
    start = _Start(tmp_path)
    start.path.write_text(start.text)
    libraries = tmp_path / "libraries"
    libraries.mkdir()
    (libraries / "curio.py").write_text(_SIGNALLING_MODULE)
    process = start.launch(libraries)
    _watch(start, process, lambda: start.until_listening(process))


def test_reload_signal_while_the_settings_are_read_makes_the_process_read_them_again(tmp_path):
    start = _Start(tmp_path)
    os.mkfifo(start.path)
    process = start.launch()

    async def check():
        with start.path.open("w") as settings:
            changed = start.path.with_suffix(".new")
            changed.write_text(start.text)
            changed.replace(start.path)
            process.send_signal(signal.SIGHUP)
            settings.write(start.text)
        await start.until_listening(process)
        await start.until_logged("event=settings-reloaded")

    _watch(start, process, check)


@pytest.mark.parametrize("incomplete", [None, "", "[vm]\nname = x\n"])
def test_settings_that_become_whole_during_a_start_do_not_end_the_process(tmp_path, incomplete):
    start = _Start(tmp_path)
    if incomplete is not None:
        start.path.write_text(incomplete)
    process = start.launch()

    async def check():
        await curio.sleep(_INCOMPLETE_SECONDS)
        start.path.write_text(start.text)
        await start.until_listening(process)

    _watch(start, process, check)


def test_settings_that_change_while_they_are_read_are_read_again_without_a_signal(tmp_path):
    start = _Start(tmp_path)
    os.mkfifo(start.path)
    process = start.launch()

    async def check():
        with start.path.open("w") as settings:
            changed = start.path.with_suffix(".new")
            changed.write_text(start.text)
            changed.replace(start.path)
            settings.write(start.text)
        await start.until_listening(process)
        await start.until_logged("event=settings-reloaded")

    _watch(start, process, check)


def test_settings_that_stay_incomplete_end_a_start_with_their_problems(tmp_path):
    start = _Start(tmp_path)
    start.path.write_text("[vm]\nname = x\n")
    process = start.launch()
    assert process.wait(_START_SECONDS) == 1
    assert "[bounds] stop is missing" in start.log.read_text()
