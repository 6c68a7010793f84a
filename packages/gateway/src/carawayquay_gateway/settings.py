"""Settings of a gateway: a table of names, types, defaults and bounds, and its parser."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from carawayquay.deadlines import Deadlines
from carawayquay.errors import SettingsError
from carawayquay.membership import Address
from carawayquay.quotas import QuotaTolerance
from carawayquay.settings import (
    LOG_LEVEL,
    STORE_TIMEOUT,
    VM_SETTINGS,
    Setting,
    SettingKind,
    parse_table_leniently,
    read_settings,
)
from carawayquay.vm_capacity import request_capacity
from carawayquay_platform.bounds import parse_deadlines, parse_quota_tolerance

if TYPE_CHECKING:
    from datetime import timedelta
    from pathlib import Path

__all__ = ["GATEWAY_SETTINGS", "GatewaySettings", "load_gateway_settings", "parse_gateway_settings"]

_REGIONS = "regions"
_DEADLINES = "deadlines"

GATEWAY_SETTINGS = (
    *VM_SETTINGS,
    Setting("listen", "ready", SettingKind.ADDRESS, "ready", "address for readiness checks"),
    Setting("listen", "lookups", SettingKind.ADDRESS, "lookups", "address for callers' look-ups"),
    Setting("listen", "admin", SettingKind.ADDRESS, "admin", "address for operators and peers"),
    Setting(
        "listen",
        "ports",
        SettingKind.PORTS,
        "ports",
        "ports for reports between VMs, first to last",
    ),
    Setting("peers", "seeds", SettingKind.ADDRESSES, "seeds", "entry VMs to ask at the start", ""),
    Setting("store", "address", SettingKind.ADDRESS, "store", "the platform's store"),
    STORE_TIMEOUT,
    Setting(
        "bounds", "lookup_life", SettingKind.DURATION, "lookup_life", "life of a look-up's answer"
    ),
    Setting("bounds", "stop", SettingKind.DURATION, "stop_grace", "time for a planned stop"),
    Setting("bounds", "retry_ratio", SettingKind.NUMBER, "retry_ratio", "retries a request", "0.2"),
    Setting(
        "bounds", "retry_window", SettingKind.DURATION, "retry_window", "span of the ratio", "10s"
    ),
    Setting(
        "bounds",
        "retry_allowance",
        SettingKind.NUMBER,
        "retry_allowance",
        "retries of all VMs in the span, beyond the ratio",
        "0",
    ),
    Setting(
        "bounds",
        "cold_over",
        SettingKind.NUMBER,
        "cold_over",
        "factor by which a cold target's stated rate may be exceeded",
        "1",
    ),
    Setting(
        "bounds",
        "cold_slack",
        SettingKind.NUMBER,
        "cold_slack",
        "requests/s to a cold target beyond that",
        "0",
    ),
    Setting(
        "limits",
        "memory_mb",
        SettingKind.COUNT,
        "memory_mb",
        "memory that the process may take, in MB",
        "256",
        32,
        1_000_000,
    ),
    Setting(
        "limits",
        "descriptors",
        SettingKind.COUNT,
        "descriptors",
        "file descriptors that the process may have open",
        "1024",
        512,
        1_000_000,
    ),
    Setting(
        "limits",
        "cpu_share",
        SettingKind.NUMBER,
        "cpu_share",
        "share of a core that the process may use",
        "0",
    ),
    Setting(
        "limits",
        "cores",
        SettingKind.NUMBER,
        "cores",
        "speed of the core, 1 for an ordinary one",
        "1",
    ),
    Setting(
        "limits",
        "link_mbps",
        SettingKind.NUMBER,
        "link_mbps",
        "bandwidth of the VM's link, in Mbit/s",
        "0",
    ),
    Setting(
        "limits",
        "client_memory_share",
        SettingKind.NUMBER,
        "client_memory_share",
        "share of the memory for requests read ahead and answers that clients have not taken",
        "0.2",
        0.05,
        0.5,
    ),
    Setting(
        "limits",
        "client_address_share",
        SettingKind.NUMBER,
        "client_address_share",
        "part of that which the connections of one client address may hold",
        "0.5",
        0.05,
        1,
    ),
    Setting(
        "limits",
        "min_read_bytes_per_s",
        SettingKind.NUMBER,
        "min_read_bytes_per_s",
        "rate at which a client has to read an answer, over 5 s; 0 for none",
        "8192",
        0,
        65536,
    ),
    LOG_LEVEL,
)


@attrs.frozen
class GatewaySettings:
    """The validated settings of one gateway.

    :param regions: the region of each failure domain
    :param problems: problems in the settings file that were ignored
    :param deadlines: how soon changes in the store have to be in force
    :param quota_tolerance: by how much quotas may be exceeded
    """

    name: str
    domain: str
    region: str
    callers: Address
    ready: Address
    lookups: Address
    admin: Address
    ports: range
    seeds: tuple[Address, ...]
    store: Address
    store_timeout: timedelta
    lookup_life: timedelta
    stop_grace: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_allowance: float
    cold_over: float
    cold_slack: float
    memory_mb: int
    descriptors: int
    log_level: str
    regions: dict[str, str]
    problems: tuple[str, ...] = attrs.field(default=(), eq=False)
    deadlines: Deadlines = attrs.field(factory=Deadlines)
    quota_tolerance: QuotaTolerance = attrs.field(factory=QuotaTolerance)
    client_memory_share: float = 0.2
    client_address_share: float = 0.5
    min_read_bytes_per_s: float = 8192.0
    cpu_share: float = 0.0
    cores: float = 1.0
    link_mbps: float = 0.0

    @property
    def capacity(self) -> int:
        """Requests/s that processor and link carry, 0 if they are not known."""
        return request_capacity(self.cpu_share * self.cores, self.link_mbps)

    @property
    def reports(self) -> Address:
        """Address that receives load reports of other VMs, over UDP."""
        return Address(self.callers.host, self.ports[0])

    @property
    def quotas(self) -> Address:
        """Address that receives messages about quotas of other VMs, over UDP."""
        return Address(self.callers.host, self.ports[2])

    @property
    def peer_requests(self) -> Address:
        """Address that takes requests which other VMs send through this one, over TCP."""
        return Address(self.callers.host, self.ports[0])

    @property
    def summaries(self) -> Address:
        """Address that receives summaries of other failure domains."""
        return Address(self.callers.host, self.ports[1])


def load_gateway_settings(path: Path, current: GatewaySettings | None = None) -> GatewaySettings:
    """Read and validate a settings file.

    :param current: the settings in force, whose values replace unreadable ones
    :raises SettingsError: with every problem, if a setting that is required has no usable value
    """
    return parse_gateway_settings(read_settings(path), current)


def parse_gateway_settings(text: str, current: GatewaySettings | None = None) -> GatewaySettings:
    """Parse and validate the text of a settings file.

    The platform that writes the file may be newer than this program, so an invalid or unknown
    setting does not invalidate the others.

    :param current: the settings in force, whose values replace unreadable ones
    :raises SettingsError: with every problem, if a setting that is required has no usable value
    """
    parsed = parse_table_leniently(text, GATEWAY_SETTINGS, (_REGIONS, _DEADLINES), current)
    regions = parsed.open_sections.get(_REGIONS, {})
    values, problems = parsed.values, parsed.problems
    if regions.get(values["domain"]) != values["region"]:
        problem = f'[{_REGIONS}] does not assign "{values["domain"]}" to the region of [vm]'
        problems = (*problems, problem)
        if current is None:
            raise SettingsError(problems)
        regions = current.regions
    deadlines, unusable = parse_deadlines(
        parsed.open_sections.get(_DEADLINES, {}),
        Deadlines() if current is None else current.deadlines,
    )
    tolerance, unusable_tolerance = parse_quota_tolerance(
        parsed.open_sections.get(_DEADLINES, {}),
        QuotaTolerance() if current is None else current.quota_tolerance,
    )
    unusable = (*unusable, *unusable_tolerance)
    problems = (*problems, *(f"[{_DEADLINES}] {problem}" for problem in unusable))
    return GatewaySettings(
        **values,
        regions=regions,
        deadlines=deadlines,
        quota_tolerance=tolerance,
        problems=problems,
    )
