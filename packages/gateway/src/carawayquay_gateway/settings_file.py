"""The settings file of a gateway, which its platform may be replacing while it is read."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from carawayquay.errors import SettingsError
from carawayquay_gateway.settings import GatewaySettings, load_gateway_settings

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SettingsFile"]

#: How long a start waits for a file that is missing or unusable, and the interval of its reads.
_WAIT_SECONDS = 3.0
_READ_INTERVAL_SECONDS = 0.1


class SettingsFile:
    """A settings file, and the version of it that was read last."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._read_version: tuple[int, int] | None = None

    @property
    def path(self) -> Path:
        """The path of the file."""
        return self._path

    def changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        return self._version() != self._read_version

    def read(self, current: GatewaySettings | None = None) -> GatewaySettings:
        """Read and validate the file.

        :param current: the settings in force, whose values replace unreadable ones
        :raises SettingsError: with every problem, if a required setting has no usable value
        """
        # A change during the read then counts as one after it.
        self._read_version = self._version()
        return load_gateway_settings(self._path, current)

    def wait_and_read(self) -> GatewaySettings:
        """Read and validate the file, and wait for a limited time until it is usable.

        :raises SettingsError: with every problem, if it does not become usable
        """
        give_up_at = time.monotonic() + _WAIT_SECONDS
        while True:
            try:
                return self.read()
            except SettingsError:
                if time.monotonic() >= give_up_at:
                    raise
            time.sleep(_READ_INTERVAL_SECONDS)

    def _version(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
