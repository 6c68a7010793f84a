"""Changed settings apply with and without a signal; invalid ones leave the current in force."""

from __future__ import annotations

import os
import signal

import curio
import pytest
from gateway_builders import SETTINGS_TEXT, new_state, run

from carawayquay.membership import Address
from carawayquay_gateway.reload import SettingsReloader
from carawayquay_gateway.settings_file import SettingsFile
from carawayquay_wire.signals import ReloadSignal

CHANGED = SETTINGS_TEXT.replace("seeds = 127.0.0.1:7004,127.0.0.2:7004", "seeds = 127.0.0.9:7004")
MOVED = CHANGED.replace("callers = 127.0.0.1:7001", "callers = 127.0.0.1:9999")


def read_file(path):
    """Return a settings file that was read."""
    file = SettingsFile(path)
    file.read()
    return file


def _reload(tmp_path, text, signalled):
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS_TEXT)
    state = new_state()

    async def check():
        reloader = SettingsReloader(state, read_file(path))
        await curio.spawn(reloader.run, ReloadSignal(), daemon=True)
        await curio.sleep(0.05)
        path.write_text(text)
        if signalled:
            os.kill(os.getpid(), signal.SIGHUP)
            await curio.sleep(0.3)
        while not signalled and state.settings.seeds[0].host != "127.0.0.9":
            await curio.sleep(0.05)

    run(check)
    return state.settings


@pytest.mark.parametrize("signalled", [True, False])
def test_changed_settings_apply(tmp_path, signalled):
    settings = _reload(tmp_path, CHANGED, signalled)
    assert settings.seeds == (Address("127.0.0.9", 7004),)


def test_bound_addresses_are_not_reloaded(tmp_path):
    assert _reload(tmp_path, MOVED, True).callers == Address("127.0.0.1", 7001)


@pytest.mark.parametrize("signalled", [True, False])
def test_settings_that_are_not_text_leave_the_reloader_running(tmp_path, signalled):
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS_TEXT)
    state = new_state()

    async def check():
        await curio.spawn(SettingsReloader(state, read_file(path)).run, ReloadSignal(), daemon=True)
        for data in (SETTINGS_TEXT.encode()[:-20] + b"\xc3", CHANGED.encode()):
            await curio.sleep(0.05)
            path.write_bytes(data)
            if signalled:
                os.kill(os.getpid(), signal.SIGHUP)
                await curio.sleep(0.3)
            else:
                await curio.sleep(2.3)
        assert state.settings.seeds == (Address("127.0.0.9", 7004),)

    run(check)


def test_invalid_settings_leave_the_current_ones_in_force(tmp_path):
    settings = _reload(tmp_path, "[vm]\nname = x\n", True)
    assert settings.seeds[0] == Address("127.0.0.1", 7004)
