"""Pulls the configuration from another VM that has a later version in force."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.errors import StoreError
from carawayquay.membership import Address
from carawayquay_platform.object_responses import ACCEPT_DEFLATE
from carawayquay_platform.objects import ObjectKind
from carawayquay_platform.store import PlatformStoreClient
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from random import Random

    from carawayquay_gateway.state import GatewayState

__all__ = ["ConfigurationSync"]

_log = EventLog("configuration-sync")

#: Time in which a change arrives by the store's revisions before it is pulled by its version.
_LAG = timedelta(seconds=0.5)

#: Time between two pulls of a version that the first one did not bring.
_RETRY_INTERVAL = timedelta(seconds=2)

#: Time until the next pull after one that was not answered, or was put off.
_FAILURE_INTERVAL = timedelta(seconds=0.2)

_TIMEOUT = timedelta(milliseconds=500)


class ConfigurationSync:
    """Keeps this VM's configuration version from staying behind that of other VMs.

    The store's revisions tell which VM is ahead, but a restored store may hold an older version
    than the one in force at VMs that ran before the restore.
    """

    def __init__(self, state: GatewayState, random: Random) -> None:
        self._state = state
        self._random = random
        self._pull_at: timedelta | None = None

    async def run(self) -> None:
        """Pull whenever this VM is behind for a while, until cancelled."""
        while True:
            await self._state.ticker.next()
            host = self._due_source()
            if host is not None and not await self._pull(host):
                self._pull_at = self._state.clock.now() + _FAILURE_INTERVAL

    def _due_source(self) -> str | None:
        """Return the host of a VM to pull from now, or None."""
        now = self._state.clock.now()
        newest = self._state.peers.newest_configuration(now)
        if newest is None or newest.version <= self._state.configuration_version:
            self._pull_at = None
            return None
        if self._pull_at is None:
            self._pull_at = now + _LAG
        if now < self._pull_at:
            return None
        self._pull_at = now + _RETRY_INTERVAL
        return self._random.choice(newest.hosts)

    async def _pull(self, host: str) -> bool:
        """Pull from a VM, and return whether it answered."""
        address = Address(host, self._state.settings.admin.port)
        peer = PlatformStoreClient(address, _TIMEOUT, headers=(ACCEPT_DEFLATE,))
        try:
            listing = await peer.list(ObjectKind.CONFIGURATION)
        except StoreError as error:
            kind = ObjectKind.CONFIGURATION.name
            _log.warning(Event.PULL_FAILED, kind=kind, peer=address, reason=error)
            return False
        finally:
            await peer.close()
        for stored in listing.objects:
            self._state.object_applier.apply_configuration(stored)
        return True
