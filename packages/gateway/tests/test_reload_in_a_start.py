"""A reload signal does not end a process that is starting, and is not lost once it has settings."""

from __future__ import annotations

import os
import signal

import curio
import pytest
from gateway_site import START_SECONDS
from gateway_start import GatewayStart, ending

pytestmark = pytest.mark.processes

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


def test_reload_signal_while_libraries_are_loaded_does_not_end_the_process(tmp_path):
    start = GatewayStart(tmp_path)
    start.path.write_text(start.text)
    libraries = tmp_path / "libraries"
    libraries.mkdir()
    (libraries / "curio.py").write_text(_SIGNALLING_MODULE)
    process = start.launch(libraries)
    with ending(process):
        curio.run(start.until_listening, process)


def test_reload_signal_while_the_settings_are_read_makes_the_process_read_them_again(tmp_path):
    start = GatewayStart(tmp_path)
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

    with ending(process):
        curio.run(check)


@pytest.mark.parametrize("incomplete", [None, "", "[vm]\nname = x\n"])
def test_settings_that_become_whole_during_a_start_do_not_end_the_process(tmp_path, incomplete):
    start = GatewayStart(tmp_path)
    if incomplete is not None:
        start.path.write_text(incomplete)
    process = start.launch()

    async def check():
        await curio.sleep(_INCOMPLETE_SECONDS)
        start.path.write_text(start.text)
        await start.until_listening(process)

    with ending(process):
        curio.run(check)


def test_settings_that_change_while_they_are_read_are_read_again_without_a_signal(tmp_path):
    start = GatewayStart(tmp_path)
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

    with ending(process):
        curio.run(check)


def test_settings_that_stay_incomplete_end_a_start_with_their_problems(tmp_path):
    start = GatewayStart(tmp_path)
    start.path.write_text("[vm]\nname = x\n")
    process = start.launch()
    assert process.wait(START_SECONDS) == 1
    assert "[bounds] stop is missing" in start.log.read_text()
