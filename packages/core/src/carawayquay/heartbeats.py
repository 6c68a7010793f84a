"""Heartbeats between entry VMs, and what they tell of each member of a failure domain."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.freshness import UNCONFIRMED_MS
from carawayquay.objects import Digest  # noqa: TC001 - the codec resolves it

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["FAILURE_TIMEOUT", "HEARTBEAT_INTERVAL", "Heartbeat", "Load", "PeerStatus", "PeerTable"]

#: Time between two heartbeats to the same VM.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)

#: A VM of which no newer sign of life is known counts as lost.
FAILURE_TIMEOUT = timedelta(seconds=2)

_AGE_UNIT = timedelta(milliseconds=50)
_LOST_AGE = 63
_STORE_FAILED_BIT = 0x40
_LEAVING_BIT = 0x80


@attrs.frozen
class Load:
    """How many more requests of a service a VM would take for its own targets.

    :param free: requests that would start at once
    :param limit: requests that may run at once
    """

    service: str
    free: int
    limit: int


@attrs.frozen
class Heartbeat:
    """The periodic call between entry VMs; its reply is the receiver's own heartbeat.

    :param receiver: the VM that it is meant for, or empty if the sender only knows an address
    :param incarnation: a number that each start of a process draws anew
    :param list_version: the version of its domain's VM list that the sender acts on
    :param summary: the hash of the versions of all objects that the sender holds
    :param newest: the highest of those versions
    :param recent: the objects that changed last with the sender
    :param confirmed_age_ms: how long ago the sender's objects were confirmed to be current
    :param store_failed: whether the store failed the sender lately
    :param sightings: one byte for each member of the sender's VM list, in the order of names
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
    """The newest sign of life of a VM, heard from itself or told by another.

    :param at: when the VM was heard, on this process's clock
    """

    at: timedelta
    leaving: bool = False
    store_failed: bool = False


@attrs.frozen
class _Heard:
    heartbeat: Heartbeat
    at: timedelta


class PeerTable:
    """The last heartbeat of each entry VM that sends any here, and sightings of the others."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._sightings: dict[str, PeerStatus] = {}

    def last(self, vm: str) -> Heartbeat | None:
        """Return the last heartbeat of a VM, or None."""
        heard = self._heard.get(vm)
        return heard.heartbeat if heard else None

    def last_seen(self, vm: str) -> timedelta | None:
        """Return when the last heartbeat of a VM came, or None."""
        heard = self._heard.get(vm)
        return heard.at if heard else None

    def heard_directly(self, vm: str, now: timedelta) -> bool:
        """Return whether a VM was heard lately from itself."""
        heard = self._heard.get(vm)
        return heard is not None and now - heard.at < FAILURE_TIMEOUT

    def alive(self, vm: str, now: timedelta) -> bool:
        """Return whether this VM or another one heard a VM lately."""
        sighting = self._sightings.get(vm)
        return sighting is not None and now - sighting.at < FAILURE_TIMEOUT

    def known(self, vm: str) -> bool:
        """Return whether a VM was ever heard."""
        return vm in self._sightings

    def leaving(self, vm: str) -> bool:
        """Return whether a VM said in its newest known heartbeat that it is leaving."""
        sighting = self._sightings.get(vm)
        return sighting is not None and sighting.leaving

    def store_failed(self, vm: str) -> bool:
        """Return whether a VM said in its newest known heartbeat that the store failed it."""
        sighting = self._sightings.get(vm)
        return sighting is not None and sighting.store_failed

    def load(self, vm: str, service: str, now: timedelta) -> Load | None:
        """Return what a live VM last said of a service, or None if it is not known."""
        if not self.heard_directly(vm, now):
            return None
        loads = self._heard[vm].heartbeat.loads
        return next((load for load in loads if load.service == service), None)

    def sightings(self, members: Sequence[str], now: timedelta) -> bytes:
        """Return the sightings of members as heartbeats carry them, one byte each.

        The low six bits are an age in units of 50 ms, 63 for a lost VM; the high ones say whether
        the VM is leaving and whether the store failed it.
        """
        return bytes(self._encode(member, now) for member in members)

    def record(self, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Take a heartbeat unless a newer one of the same process is held; return whether it was.

        :param now: when it was received, or when it was asked for if it is a reply
        """
        held = self._heard.get(heartbeat.vm)
        same = held is not None and held.heartbeat.incarnation == heartbeat.incarnation
        if same and held.heartbeat.sequence >= heartbeat.sequence:
            return False
        self._heard[heartbeat.vm] = _Heard(heartbeat, now)
        self._see(heartbeat.vm, PeerStatus(now, heartbeat.leaving, heartbeat.store_failed))
        return True

    def record_reply(self, vm: str, leaving: bool, at: timedelta) -> None:
        """Take that a VM answered a question other than a heartbeat.

        :param leaving: whether the answer says that it is leaving
        :param at: when it was asked
        """
        self._see(vm, PeerStatus(at, leaving, self.store_failed(vm)))

    def merge_sightings(self, members: Sequence[str], sightings: bytes, now: timedelta) -> None:
        """Take what another VM knows of the members of a VM list.

        :param now: when it was received, or when it was asked for if it came in a reply
        """
        for member, code in zip(members, sightings, strict=False):
            age = code & _LOST_AGE
            if age < _LOST_AGE:
                leaving = bool(code & _LEAVING_BIT)
                store_failed = bool(code & _STORE_FAILED_BIT)
                self._see(member, PeerStatus(now - age * _AGE_UNIT, leaving, store_failed))

    def retain_listed(self, names: Iterable[str]) -> None:
        """Drop what is known of VMs that no list names any more."""
        listed = set(names)
        self._heard = {vm: heard for vm, heard in self._heard.items() if vm in listed}
        self._sightings = {vm: seen for vm, seen in self._sightings.items() if vm in listed}

    def _see(self, vm: str, sighting: PeerStatus) -> None:
        held = self._sightings.get(vm)
        if held is None or held.at < sighting.at:
            self._sightings[vm] = sighting

    def _encode(self, vm: str, now: timedelta) -> int:
        sighting = self._sightings.get(vm)
        if sighting is None:
            return _LOST_AGE
        age = min(-(-(now - sighting.at) // _AGE_UNIT), _LOST_AGE)
        flags = _LEAVING_BIT * sighting.leaving | _STORE_FAILED_BIT * sighting.store_failed
        return max(age, 0) | flags
