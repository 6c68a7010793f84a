"""Reloads the settings file when it changes or a reload signal arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.errors import SettingsError
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from pathlib import Path

    from carawayquay_gateway.settings import GatewaySettings
    from carawayquay_gateway.settings_file import SettingsFile
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.signals import ReloadSignal

__all__ = ["SettingsReloader", "keep_fixed_settings", "log_problems"]

_log = EventLog("reload")

#: Interval at which the file is checked for changes.
_POLL_SECONDS = 2.0

#: Settings that cannot be reloaded: the identity of the VM and the addresses of bound sockets.
_FIXED_SETTINGS = ("name", "domain", "region", "callers", "ready", "lookups", "admin", "ports")


def keep_fixed_settings(current: GatewaySettings, loaded: GatewaySettings) -> GatewaySettings:
    """Return the loaded settings, with the current values of those that cannot be reloaded."""
    return attrs.evolve(loaded, **{name: getattr(current, name) for name in _FIXED_SETTINGS})


def log_problems(settings: GatewaySettings, path: Path) -> None:
    """Log each problem found in a settings file."""
    for problem in settings.problems:
        _log.warning(Event.SETTINGS_REFUSED, path=path, reason=problem)


class SettingsReloader:
    """Applies changed settings; an invalid file leaves the current settings in force."""

    def __init__(self, state: GatewayState, file: SettingsFile) -> None:
        self._state = state
        self._file = file

    async def run(self, signal: ReloadSignal) -> None:
        """Reload the file whenever it changes or a signal arrives, until cancelled."""
        while True:
            signalled = False
            async with curio.ignore_after(_POLL_SECONDS):
                await signal.wait()
                signalled = True
            if signalled or self._file.changed():
                self.reload()

    def reload(self) -> None:
        """Read the file and apply its settings."""
        path = self._file.path
        try:
            loaded = self._file.read(self._state.settings)
        except SettingsError as error:
            _log.warning(Event.SETTINGS_REFUSED, path=path, reason=error)
            return
        self._state.settings = keep_fixed_settings(self._state.settings, loaded)
        _log.info(Event.SETTINGS_RELOADED, path=path)
        log_problems(loaded, path)
