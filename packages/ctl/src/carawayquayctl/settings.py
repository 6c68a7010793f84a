"""Settings of ``carawayquayctl``: addresses of the store and of the entry VMs."""

from __future__ import annotations

import configparser
from datetime import timedelta
from pathlib import Path

import attrs

from carawayquay.errors import SettingsError
from carawayquay.membership import Address

__all__ = ["DEFAULT_FILE", "OperatorSettings", "load_operator_settings"]

DEFAULT_FILE = "carawayquayctl.ini"

_KEYS = {"store": ("address", "timeout")}
_MIN_TIMEOUT_SECONDS = 0.05
_MAX_TIMEOUT_SECONDS = 60.0


@attrs.frozen
class OperatorSettings:
    """Addresses and timeout that the commands use.

    :param store: address of the platform's object API, or None if not set
    :param timeout: time limit of one call to the store or an entry VM
    :param admin_addresses: administration addresses of entry VMs by VM name
    """

    store: Address | None = None
    timeout: timedelta = timedelta(seconds=2)
    admin_addresses: dict[str, Address] = attrs.field(factory=dict)

    def require_store(self) -> Address:
        """Return the address of the store.

        :raises SettingsError: if it is not set
        """
        if self.store is None:
            raise SettingsError(("[store] address is missing: host:port, or flag --store",))
        return self.store


def load_operator_settings(path: str | None, store: str | None) -> OperatorSettings:
    """Read the settings file and override the store's address by the flag, if given.

    :param path: the INI file; None for ``carawayquayctl.ini`` in the working directory, if it
        exists
    :param store: host:port of the platform's object API, or None
    :raises SettingsError: with all problems found
    """
    file = Path(path or DEFAULT_FILE)
    settings = OperatorSettings()
    if path is not None or file.exists():
        settings = _parse_file(file)
    if store is not None:
        problems: list[str] = []
        address = _address("flag --store", store, problems)
        _raise_if_any(problems)
        settings = attrs.evolve(settings, store=address)
    return settings


def _parse_file(file: Path) -> OperatorSettings:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(file.read_text())
    except OSError as error:
        raise SettingsError((f"settings file {file}: {error.strerror}",)) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError((f"{file} is not INI: {error}".replace("\n", " "),)) from error
    problems = _unknown_keys(parser)
    store = parser.get("store", "address", fallback=None)
    address = None if store is None else _address("[store] address", store, problems)
    timeout = _timeout(parser.get("store", "timeout", fallback="2"), problems)
    admin_addresses = {}
    if parser.has_section("admin"):
        for name, text in parser["admin"].items():
            admin_addresses[name] = _address(f"[admin] {name}", text, problems)
    _raise_if_any(problems)
    return OperatorSettings(address, timeout, admin_addresses)


def _unknown_keys(parser: configparser.ConfigParser) -> list[str]:
    problems = []
    for section in parser.sections():
        if section not in ("admin", *_KEYS):
            problems.append(f"unknown section [{section}]")
        elif section in _KEYS:
            unknown = [key for key in parser[section] if key not in _KEYS[section]]
            problems += [f"unknown setting [{section}] {key}" for key in unknown]
    return problems


def _address(setting: str, text: str, problems: list[str]) -> Address | None:
    try:
        return Address.parse(str(text).strip())
    except ValueError:
        problems.append(f"{setting} = {text!r} is not host:port")
        return None


def _timeout(text: str, problems: list[str]) -> timedelta:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not _MIN_TIMEOUT_SECONDS <= seconds <= _MAX_TIMEOUT_SECONDS:
        problems.append(
            f"[store] timeout = {text!r} is not a number of seconds "
            f"from {_MIN_TIMEOUT_SECONDS:g} to {_MAX_TIMEOUT_SECONDS:g}"
        )
    return timedelta(seconds=seconds)


def _raise_if_any(problems: list[str]) -> None:
    if problems:
        raise SettingsError(tuple(problems))
