"""Heartbeats between entry VMs, and the liveness of VMs derived from them and from gossip."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.freshness import UNCONFIRMED_MS
from carawayquay.objects import Digest  # noqa: TC001 - the codec resolves it

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["FAILURE_TIMEOUT", "HEARTBEAT_INTERVAL", "Heartbeat", "Load", "PeerStatus", "PeerTable"]

#: Interval between heartbeats to the same VM.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)

#: Time since the last message of a VM, known directly or through gossip, after which it counts as
#: lost.
FAILURE_TIMEOUT = timedelta(seconds=2)

#: Encoding of a status in one byte of gossip, see ``PeerTable.sightings``.
_AGE_UNIT = timedelta(milliseconds=50)
_UNKNOWN_AGE = 63
_STORE_FAILED_BIT = 0x40
_LEAVING_BIT = 0x80


@attrs.frozen
class Load:
    """Free capacity of a VM's own targets for a service.

    :param free: number of further requests that could start immediately
    :param limit: concurrency limit
    """

    service: str
    free: int
    limit: int


@attrs.frozen
class Heartbeat:
    """Periodic message between entry VMs; the reply is the receiver's own heartbeat.

    :param incarnation: the number that identifies this start of the sender's process
    :param sequence: increases with each heartbeat of the process
    :param list_version: version of its domain's VM list that the sender has adopted
    :param leaving: whether the sender's planned stop has begun
    :param receiver: name of the intended receiver, or empty if the sender knows only its address
    :param summary: hash of the versions of all objects of the sender
    :param newest: highest of these versions
    :param recent: digests of the sender's most recently changed objects
    :param confirmed_age_ms: time in milliseconds since the sender's objects were last confirmed as
        current
    :param store_failed: whether recent calls of the sender to the store have failed
    :param sightings: gossip on the members of the sender's VM list, one byte per member in the
        order of names
    """

    vm: str
    domain: str
    incarnation: int
    sequence: int
    list_version: int
    leaving: bool = False
    loads: list[Load] = attrs.field(factory=list)
    receiver: str = ""
    summary: int = 0
    newest: int = 0
    recent: list[Digest] = attrs.field(factory=list)
    confirmed_age_ms: int = UNCONFIRMED_MS
    store_failed: bool = False
    sightings: bytes = b""


@attrs.frozen
class PeerStatus:
    """The newest known status of a VM, obtained directly or through gossip.

    :param last_seen: time of the VM's last message, on this process's clock
    :param leaving: whether the VM's planned stop has begun
    :param store_failed: whether the VM's recent calls to the store have failed
    """

    last_seen: timedelta
    leaving: bool = False
    store_failed: bool = False


@attrs.frozen
class _ReceivedHeartbeat:
    """The last heartbeat of a VM and its time of receipt, or of the request if it was a reply."""

    heartbeat: Heartbeat
    last_seen: timedelta


class PeerTable:
    """Stores the last heartbeat received from each VM, and the newest status of every VM."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedHeartbeat] = {}
        self._statuses: dict[str, PeerStatus] = {}

    def last(self, vm: str) -> Heartbeat | None:
        """Return the last heartbeat received from a VM, or None."""
        received = self._received.get(vm)
        return received.heartbeat if received else None

    def last_seen(self, vm: str) -> timedelta | None:
        """Return the time of the last heartbeat received from a VM, or None."""
        received = self._received.get(vm)
        return received.last_seen if received else None

    def heard_directly(self, vm: str, now: timedelta) -> bool:
        """Return whether a heartbeat came from a VM itself within the failure timeout."""
        received = self._received.get(vm)
        return received is not None and now - received.last_seen < FAILURE_TIMEOUT

    def alive(self, vm: str, now: timedelta) -> bool:
        """Return whether a VM was seen within the failure timeout, directly or through gossip."""
        status = self._statuses.get(vm)
        return status is not None and now - status.last_seen < FAILURE_TIMEOUT

    def known(self, vm: str) -> bool:
        """Return whether any status of a VM is known."""
        return vm in self._statuses

    def leaving(self, vm: str) -> bool:
        """Return whether a VM is leaving according to its newest known status."""
        status = self._statuses.get(vm)
        return status is not None and status.leaving

    def store_failed(self, vm: str) -> bool:
        """Return whether a VM's recent store calls failed according to its newest known status."""
        status = self._statuses.get(vm)
        return status is not None and status.store_failed

    def load(self, vm: str, service: str, now: timedelta) -> Load | None:
        """Return a VM's load from its last heartbeat, or None if that is missing or too old."""
        if not self.heard_directly(vm, now):
            return None
        loads = self._received[vm].heartbeat.loads
        return next((load for load in loads if load.service == service), None)

    def sightings(self, members: Sequence[str], now: timedelta) -> bytes:
        """Encode the status of each member in one byte, for a heartbeat.

        The low six bits are the time since the VM was last seen in units of 50 ms, rounded up
        and at most 63. The value 63, also used for an unknown VM, is ignored by the receiver. Bit 6
        is set if the VM's store calls failed, bit 7 if it is leaving.
        """
        return bytes(self._encode(member, now) for member in members)

    def record(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Record a heartbeat unless it is out of order; return whether it was recorded.

        :param now: time of receipt, or for a reply the time at which the request was sent
        """
        held = self._received.get(heartbeat.vm)
        same = held is not None and held.heartbeat.incarnation == heartbeat.incarnation
        if same and held.heartbeat.sequence >= heartbeat.sequence:
            return False
        self._received[heartbeat.vm] = _ReceivedHeartbeat(heartbeat, now)
        self._update_status(
            heartbeat.vm, PeerStatus(now, heartbeat.leaving, heartbeat.store_failed)
        )
        return True

    def record_reply(self, vm: str, leaving: bool, last_seen: timedelta) -> None:
        """Record that a VM is alive, from its reply to a request other than a heartbeat.

        :param leaving: whether the VM is leaving according to the reply
        :param last_seen: time at which the request was sent
        """
        self._update_status(vm, PeerStatus(last_seen, leaving, self.store_failed(vm)))

    def merge_sightings(self, members: Sequence[str], sightings: bytes, now: timedelta) -> None:
        """Merge another VM's gossip on the members of a VM list, keeping the newer status of each.

        :param now: time of receipt, or for a reply the time at which the request was sent
        """
        for member, code in zip(members, sightings, strict=False):
            age = code & _UNKNOWN_AGE
            if age < _UNKNOWN_AGE:
                leaving = bool(code & _LEAVING_BIT)
                store_failed = bool(code & _STORE_FAILED_BIT)
                self._update_status(
                    member, PeerStatus(now - age * _AGE_UNIT, leaving, store_failed)
                )

    def retain_listed(self, names: Iterable[str]) -> None:
        """Remove all VMs that are not listed.

        :param names: names of the VMs on all lists
        """
        listed = set(names)
        self._received = {vm: received for vm, received in self._received.items() if vm in listed}
        self._statuses = {vm: seen for vm, seen in self._statuses.items() if vm in listed}

    def _update_status(self, vm: str, status: PeerStatus) -> None:
        held = self._statuses.get(vm)
        if held is None or held.last_seen < status.last_seen:
            self._statuses[vm] = status

    def _encode(self, vm: str, now: timedelta) -> int:
        status = self._statuses.get(vm)
        if status is None:
            return _UNKNOWN_AGE
        age = min(-(-(now - status.last_seen) // _AGE_UNIT), _UNKNOWN_AGE)
        flags = _LEAVING_BIT * status.leaving | _STORE_FAILED_BIT * status.store_failed
        return max(age, 0) | flags
