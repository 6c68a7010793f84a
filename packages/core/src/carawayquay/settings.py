"""Parsing and validation of the settings file, by a table of settings."""

from __future__ import annotations

import configparser
import enum
import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.errors import SettingsError
from carawayquay.membership import Address

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "LOG_LEVEL",
    "SETTINGS",
    "STORE_TIMEOUT",
    "VM_SETTINGS",
    "ParsedSettings",
    "Setting",
    "SettingKind",
    "Settings",
    "load_settings",
    "parse_duration",
    "parse_settings",
    "parse_table",
    "parse_table_leniently",
    "read_settings",
]

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
_DURATION = re.compile(r"(-?[0-9]+(?:\.[0-9]+)?)(ms|s)")
_MILLISECONDS = {"ms": 1.0, "s": 1000.0}
#: Upper bound of port numbers, exclusive.
_MAX_PORT = 65536
#: Greatest value of a number without bounds of its own.
_MAX_NUMBER = 1e9
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class SettingKind(enum.Enum):
    """Type of a setting's value; its text describes the allowed values."""

    NAME = "a name of a-z, 0-9 and -"
    ADDRESS = "host:port"
    ADDRESSES = "host:port, separated by commas"
    SECONDS = "a number of seconds"
    BYTES = "a whole number of bytes"
    COUNT = "a whole number"
    MEGABITS = "a number of Mbit/s"
    LEVEL = "one of DEBUG, INFO, WARNING, ERROR"
    DURATION = "a number with ms or s"
    NUMBER = "a number"
    PORTS = "two port numbers, the lower one first, separated by a comma"


@attrs.frozen
class Setting:
    """One key of the INI file.

    :param attribute: name of the attribute of ``Settings`` with the value
    :param help: description for the documentation
    :param default: text of the default value; a setting without one is required
    :param low: minimum value, for numbers with bounds
    :param high: maximum value, for numbers with bounds
    """

    section: str
    key: str
    kind: SettingKind
    attribute: str
    help: str
    default: str | None = None
    low: float | None = None
    high: float | None = None

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for error messages and documentation."""
        if self.low is None:
            return self.kind.value
        return f"{self.kind.value} from {self.low:.10g} to {self.high:.10g}"


#: What names an entry VM, and where it listens for callers, in every program that runs on one.
VM_SETTINGS = (
    Setting("vm", "name", SettingKind.NAME, "name", "name of this entry VM"),
    Setting("vm", "domain", SettingKind.NAME, "domain", "its failure domain"),
    Setting("vm", "region", SettingKind.NAME, "region", "its region"),
    Setting("listen", "callers", SettingKind.ADDRESS, "callers", "address for callers"),
)
STORE_TIMEOUT = Setting(
    "store", "timeout", SettingKind.SECONDS, "store_timeout", "time for a call", "1", 0.05, 30
)
LOG_LEVEL = Setting(
    "log", "level", SettingKind.LEVEL, "log_level", "lowest level that is logged", "INFO"
)

SETTINGS = (
    *VM_SETTINGS,
    Setting("listen", "peers", SettingKind.ADDRESS, "peers", "address for other entry VMs"),
    Setting("listen", "admin", SettingKind.ADDRESS, "admin", "address for operators"),
    Setting("store", "address", SettingKind.ADDRESS, "store", "the platform's object API"),
    STORE_TIMEOUT,
    Setting(
        "peers", "seeds", SettingKind.ADDRESSES, "seeds", "peers to ask while the store is away", ""
    ),
    Setting(
        "limits",
        "body_bytes",
        SettingKind.BYTES,
        "body_bytes",
        "largest body of a caller's request",
        "1048576",
        1024,
        4194304,
    ),
    Setting(
        "limits",
        "connections",
        SettingKind.COUNT,
        "connections",
        "callers' connections that are open at once",
        "1000",
        16,
        100000,
    ),
    Setting(
        "limits",
        "region_link_mbit",
        SettingKind.MEGABITS,
        "region_link_bits",
        "what a link between two regions carries each way",
        "300",
        0.01,
        100000,
    ),
    Setting(
        "limits",
        "stop_seconds",
        SettingKind.SECONDS,
        "stop_grace",
        "longest time that a planned stop may take",
        "30",
        0,
        600,
    ),
    LOG_LEVEL,
)


@attrs.frozen
class Settings:
    """The validated settings of one daemon.

    :param seeds: peers to contact while the store is unreachable
    :param region_link_bits: capacity of a link between two regions in each direction, in bit/s
    :param stop_grace: maximum duration of a planned stop
    """

    name: str
    domain: str
    region: str
    callers: Address
    peers: Address
    admin: Address
    store: Address
    store_timeout: timedelta
    seeds: tuple[Address, ...]
    body_bytes: int
    connections: int
    region_link_bits: float
    stop_grace: timedelta
    log_level: str


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: with all problems, if the file is unreadable or invalid
    """
    return parse_settings(read_settings(path))


def read_settings(path: Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if the file is unreadable or not UTF-8 text
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError((f"settings file {path}: {error.strerror}",)) from error
    except UnicodeDecodeError as error:
        raise SettingsError((f"settings file {path} is not UTF-8 text: {error.reason}",)) from error


def parse_settings(text: str) -> Settings:
    """Parse and validate the text of a settings file.

    :raises SettingsError: with all problems, if the text is invalid
    """
    return Settings(**parse_table(text, SETTINGS).values)


@attrs.frozen
class ParsedSettings:
    """The result of parsing a settings file.

    :param values: validated values by attribute
    :param open_sections: texts by section and key, of the sections without fixed keys
    :param problems: one message for each part that was invalid and ignored
    """

    values: dict[str, Any]
    open_sections: dict[str, dict[str, str]]
    problems: tuple[str, ...] = ()


def parse_table(
    text: str, table: tuple[Setting, ...], open_sections: tuple[str, ...] = ()
) -> ParsedSettings:
    """Parse and validate the text of a settings file by a table of settings.

    :param open_sections: names of sections without fixed keys
    :raises SettingsError: with all problems, if the text is invalid
    """
    parsed = parse_table_leniently(text, table, open_sections)
    if parsed.problems:
        raise SettingsError(parsed.problems)
    return parsed


def parse_table_leniently(
    text: str,
    table: tuple[Setting, ...],
    open_sections: tuple[str, ...] = (),
    present: Any = None,
) -> ParsedSettings:
    """Parse the valid parts of a settings file.

    An invalid setting keeps its present value, or takes its default if there is none. A file
    without a required setting is rejected as a whole.

    :param open_sections: names of sections without fixed keys
    :param present: object with the present values as attributes, or None
    :raises SettingsError: with all problems, if the text is not INI, a required setting is missing,
        or an invalid setting has neither a present value nor a default
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError((f"settings are not INI: {error}".replace("\n", " "),)) from error
    problems = _unknown_keys(parser, table, open_sections)
    missing = False
    values: dict[str, Any] = {}
    for setting in table:
        raw = parser.get(setting.section, setting.key, fallback=setting.default)
        if raw is None:
            problems.append(f"[{setting.section}] {setting.key} is missing: {setting.allowed}")
            missing = True
            continue
        try:
            values[setting.attribute] = _parse(setting, raw.strip())
        except (ValueError, OverflowError):
            problems.append(f"[{setting.section}] {setting.key} = {raw!r} is not {setting.allowed}")
    for setting in table:
        if setting.attribute in values:
            continue
        if present is not None and not missing:
            values[setting.attribute] = getattr(present, setting.attribute)
        elif setting.default is not None and not missing:
            values[setting.attribute] = _parse(setting, setting.default)
        else:
            raise SettingsError(tuple(problems))
    extra = {name: dict(parser[name]) for name in open_sections if parser.has_section(name)}
    return ParsedSettings(values, extra, tuple(problems))


def _unknown_keys(
    parser: configparser.ConfigParser,
    table: tuple[Setting, ...],
    open_sections: tuple[str, ...],
) -> list[str]:
    known = {(setting.section, setting.key) for setting in table}
    sections = {setting.section for setting in table}
    problems = []
    for section in parser.sections():
        if section in open_sections:
            continue
        if section not in sections:
            problems.append(f"[{section}] is not a section")
            continue
        problems.extend(
            f"[{section}] {key} is not a setting"
            for key in parser[section]
            if (section, key) not in known
        )
    return problems


def _parse(setting: Setting, raw: str) -> Any:
    """Return the value of a setting.

    :raises ValueError: if the text is not an allowed value
    """
    match setting.kind:
        case SettingKind.NAME:
            if _NAME.fullmatch(raw) is None:
                raise ValueError(raw)
            return raw
        case SettingKind.ADDRESS:
            return Address.parse(raw)
        case SettingKind.ADDRESSES:
            return tuple(Address.parse(part.strip()) for part in raw.split(",") if part.strip())
        case SettingKind.SECONDS:
            return timedelta(seconds=_bounded(setting, float(raw)))
        case SettingKind.BYTES | SettingKind.COUNT:
            return int(_bounded(setting, int(raw)))
        case SettingKind.MEGABITS:
            return _bounded(setting, float(raw)) * 1_000_000
        case SettingKind.LEVEL:
            if raw not in _LEVELS:
                raise ValueError(raw)
            return raw
        case SettingKind.DURATION:
            duration = parse_duration(raw)
            if duration < timedelta():
                raise ValueError(raw)
            return duration
        case SettingKind.NUMBER:
            value = float(raw)
            if not 0 <= value <= _MAX_NUMBER:
                raise ValueError(raw)
            return value if setting.low is None else _bounded(setting, value)
        case SettingKind.PORTS:
            first, last = (int(part) for part in raw.split(","))
            if not 0 < first < last < _MAX_PORT:
                raise ValueError(raw)
            return range(first, last + 1)


def parse_duration(text: str) -> timedelta:
    """Parse a number with the unit ms or s.

    >>> parse_duration("2.5s")
    datetime.timedelta(seconds=2, microseconds=500000)

    :raises ValueError: if *text* is not a number with the unit ms or s
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f'duration "{text}" is not a number with ms or s')
    return timedelta(milliseconds=float(match[1]) * _MILLISECONDS[match[2]])


def _bounded(setting: Setting, value: float) -> float:
    if not setting.low <= value <= setting.high:
        raise ValueError(value)
    return value
