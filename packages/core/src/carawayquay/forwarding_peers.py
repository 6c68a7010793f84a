"""Chooses the entry VMs through which a VM that is cut off from all targets sends requests."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from carawayquay.report_timing import Distance, distance

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from carawayquay.load_reports import VMIdentity

__all__ = ["ForwardingPeers", "sample_by_distance"]

#: Distances of VMs as a number of requests in flight: a nearer VM is used until it has so many
#: requests more.
_DISTANCES = {Distance.DOMAIN: 0, Distance.REGION: 4, Distance.FAR: 16}

#: Distance added for each VM of the same domain that was tried for the request: a cut often hits
#: a whole domain.
_TRIED_DISTANCE = 32

#: Time for which a VM is not used after it could not help.
_UNUSABLE_FOR = timedelta(seconds=1)

#: Time for which a VM is not used after it said that it is cut off too.
_CUT_OFF_FOR = timedelta(seconds=2)

#: Remembered VMs that could not help, which bounds the memory in a large fleet.
_MAX_UNUSABLE = 1024

#: VMs at one distance among which a choice is made, which bounds its cost in a large fleet.
_MAX_AT_DISTANCE = 16


def sample_by_distance(
    own: VMIdentity, vms: Iterable[VMIdentity], random: Random
) -> list[VMIdentity]:
    """Return some of the VMs of the own domain, of the rest of the own region, and of others.

    :param own: this VM
    """
    groups: dict[Distance, list[VMIdentity]] = {}
    for vm in vms:
        groups.setdefault(distance(own, vm), []).append(vm)
    return [
        vm
        for group in groups.values()
        for vm in random.sample(group, min(len(group), _MAX_AT_DISTANCE))
    ]


@attrs.define
class _Unusable:
    """An incarnation of a VM that could not help."""

    incarnation: int
    until: timedelta


class ForwardingPeers:
    """The other VMs through which this VM may send requests, with the requests in flight there.

    :param own: this VM
    """

    def __init__(self, own: VMIdentity, random: Random) -> None:
        self._own = own
        self._random = random
        self._in_flight: dict[str, int] = {}
        self._unusable: dict[str, _Unusable] = {}

    @property
    def in_flight(self) -> int:
        """The number of this VM's requests in flight at other VMs."""
        return sum(self._in_flight.values())

    def choose(
        self,
        live: Iterable[VMIdentity],
        regions: Collection[str],
        tried: Collection[VMIdentity],
        now: timedelta,
    ) -> VMIdentity | None:
        """Return the VM for a request, the nearest one with few requests of this VM.

        :param live: the other VMs that are live, neither stopping nor known to be cut off
        :param regions: the regions in which the request may be handled, empty for all
        :param tried: the VMs that were tried for the request
        :returns: None if there is no such VM
        """
        usable = [
            vm
            for vm in live
            if vm not in tried
            and (not regions or vm.region in regions)
            and not self._is_unusable(vm, now)
        ]
        if not usable:
            return None
        return min(usable, key=lambda vm: (self._cost(vm, tried), self._random.random()))

    def started(self, vm: VMIdentity) -> None:
        """Count a request that is sent to a VM."""
        self._in_flight[vm.name] = self._in_flight.get(vm.name, 0) + 1

    def ended(self, vm: VMIdentity) -> None:
        """Count the end of a request that was sent to a VM."""
        left = self._in_flight.get(vm.name, 0) - 1
        if left > 0:
            self._in_flight[vm.name] = left
        else:
            self._in_flight.pop(vm.name, None)

    def failed(self, vm: VMIdentity, now: timedelta, *, cut_off: bool = False) -> None:
        """Record that a VM could not help, so that it is not used for a while.

        :param cut_off: whether it said that it is cut off from all targets
        """
        if len(self._unusable) >= _MAX_UNUSABLE:
            self._unusable = {n: it for n, it in self._unusable.items() if now < it.until}
        until = now + (_CUT_OFF_FOR if cut_off else _UNUSABLE_FOR)
        self._unusable[vm.name] = _Unusable(vm.incarnation, until)

    def _is_unusable(self, vm: VMIdentity, now: timedelta) -> bool:
        found = self._unusable.get(vm.name)
        return found is not None and found.incarnation == vm.incarnation and now < found.until

    def _cost(self, vm: VMIdentity, tried: Collection[VMIdentity]) -> int:
        tried_there = sum(other.domain == vm.domain for other in tried)
        cost = self._in_flight.get(vm.name, 0) + tried_there * _TRIED_DISTANCE
        return cost + _DISTANCES[distance(self._own, vm)]
