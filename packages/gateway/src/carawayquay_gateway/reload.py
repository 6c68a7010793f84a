"""Reads the settings file again when it changed, with and without a signal."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import curio

from carawayquay.errors import SettingsError
from carawayquay_gateway.settings import GatewaySettings, load_gateway_settings
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from pathlib import Path

    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.signals import ReloadSignal

__all__ = ["SettingsReloader", "keep_fixed_settings", "log_problems"]

_log = EventLog("reload")

#: How often the file is looked at without a signal.
_POLL_SECONDS = 2.0

#: Settings that are fixed while a process runs, since its sockets are bound to them.
_FIXED_SETTINGS = ("name", "domain", "region", "callers", "ready", "lookups", "admin", "ports")


def keep_fixed_settings(current: GatewaySettings, loaded: GatewaySettings) -> GatewaySettings:
    """Return loaded settings, with those that are fixed while a process runs as they are."""
    return attrs.evolve(loaded, **{name: getattr(current, name) for name in _FIXED_SETTINGS})


def log_problems(settings: GatewaySettings, path: Path) -> None:
    """Log what was not understood of a settings file."""
    for problem in settings.problems:
        _log.warning(Event.SETTINGS_REFUSED, path=path, reason=problem)


class SettingsReloader:
    """Applies changed settings; broken ones leave the present ones in force."""

    def __init__(self, state: GatewayState, path: Path) -> None:
        self._state = state
        self._path = path
        self._loaded_version = self._file_version()

    async def run(self, signal: ReloadSignal) -> None:
        """Follow the file until cancelled."""
        while True:
            async with curio.ignore_after(_POLL_SECONDS):
                await signal.wait()
                self._loaded_version = None
            file_version = self._file_version()
            if file_version != self._loaded_version:
                self._loaded_version = file_version
                self.reload()

    def reload(self) -> None:
        """Read the file and apply it."""
        try:
            loaded = load_gateway_settings(self._path, self._state.settings)
        except SettingsError as error:
            _log.warning(Event.SETTINGS_REFUSED, path=self._path, reason=error)
            return
        self._state.settings = keep_fixed_settings(self._state.settings, loaded)
        _log.info(Event.SETTINGS_RELOADED, path=self._path)
        log_problems(loaded, self._path)

    def _file_version(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
