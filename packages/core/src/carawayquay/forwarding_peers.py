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

__all__ = ["ForwardingPeers"]

#: Distances of VMs as a number of requests in flight: a nearer VM is used until it has so many
#: requests more.
_DISTANCES = {Distance.DOMAIN: 0, Distance.REGION: 4, Distance.FAR: 16}

#: Distance added for each VM of the same domain that was tried for the request: a cut often hits
#: a whole domain.
_TRIED_DISTANCE = 32

#: Time for which a VM is not used after it could not help.
_UNUSABLE_FOR = timedelta(seconds=1)

#: Time for which a VM is not used after it said that it is cut off too, time from then on for which
#: others are preferred, and by how many requests in flight: most cuts last longer.
_CUT_OFF_FOR = timedelta(seconds=2)
_DOUBTED_FOR = timedelta(seconds=10)
_DOUBTED_DISTANCE = 16

#: Number of VMs that may have been tried for a request before those known to reach targets come
#: first, and the distance that is then added to all others.
_MAX_EXPLORED = 3
_UNPROVEN_DISTANCE = 1000

#: Time for which a VM that got a target's answer is known to reach targets.
_PROVEN_FOR = timedelta(seconds=3)

#: Remembered VMs, which bounds the memory in a large fleet.
_MAX_REMEMBERED = 1024

#: VMs at one distance among which a choice is made, which bounds its cost in a large fleet.
_MAX_AT_DISTANCE = 16


@attrs.frozen
class _Experience:
    """What this VM last saw of an incarnation of another VM.

    :param unusable_until: when it may be used again
    :param doubted_until: until when others are preferred
    :param proven_until: until when it is known to reach targets
    """

    incarnation: int
    unusable_until: timedelta
    doubted_until: timedelta
    proven_until: timedelta


class ForwardingPeers:
    """The other VMs through which this VM may send requests, with the requests in flight there.

    :param own: this VM
    """

    def __init__(self, own: VMIdentity, random: Random) -> None:
        self._own = own
        self._random = random
        self._in_flight: dict[str, int] = {}
        self._experiences: dict[str, _Experience] = {}

    @property
    def in_flight(self) -> int:
        """The number of this VM's requests in flight at other VMs."""
        return sum(self._in_flight.values())

    def sample(self, vms: Iterable[VMIdentity], now: timedelta) -> list[VMIdentity]:
        """Return some VMs of the own domain, of the rest of the own region, and of others.

        Those that are known to reach targets come first.
        """
        groups: dict[Distance, list[VMIdentity]] = {}
        for vm in vms:
            groups.setdefault(distance(self._own, vm), []).append(vm)
        found = []
        for group in groups.values():
            self._random.shuffle(group)
            group.sort(key=lambda vm: not self._is_proven(vm, now))
            found += group[:_MAX_AT_DISTANCE]
        return found

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
        return min(usable, key=lambda vm: (self._cost(vm, tried, now), self._random.random()))

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
        unusable_until = now + (_CUT_OFF_FOR if cut_off else _UNUSABLE_FOR)
        doubted_until = unusable_until + _DOUBTED_FOR if cut_off else unusable_until
        self._remember(vm, _Experience(vm.incarnation, unusable_until, doubted_until, now), now)

    def timed_out(self, vm: VMIdentity, now: timedelta) -> None:
        """Record that a request's time was over before a VM answered, so that others come first.

        The VM may be sound and the request's target slow.
        """
        self._remember(vm, _Experience(vm.incarnation, now, now + _UNUSABLE_FOR, now), now)

    def helped(self, vm: VMIdentity, now: timedelta) -> None:
        """Record that a VM got a target's answer."""
        self._remember(vm, _Experience(vm.incarnation, now, now, now + _PROVEN_FOR), now)

    def _remember(self, vm: VMIdentity, experience: _Experience, now: timedelta) -> None:
        if len(self._experiences) >= _MAX_REMEMBERED:
            self._experiences = {
                name: it
                for name, it in self._experiences.items()
                if now < max(it.doubted_until, it.proven_until)
            }
        if len(self._experiences) >= _MAX_REMEMBERED:
            del self._experiences[next(iter(self._experiences))]
        self._experiences[vm.name] = experience

    def _experience(self, vm: VMIdentity) -> _Experience | None:
        """Return what was seen of this incarnation of a VM, if anything was."""
        found = self._experiences.get(vm.name)
        return found if found is not None and found.incarnation == vm.incarnation else None

    def _is_proven(self, vm: VMIdentity, now: timedelta) -> bool:
        found = self._experience(vm)
        return found is not None and now < found.proven_until

    def _is_unusable(self, vm: VMIdentity, now: timedelta) -> bool:
        found = self._experience(vm)
        return found is not None and now < found.unusable_until

    def _cost(self, vm: VMIdentity, tried: Collection[VMIdentity], now: timedelta) -> int:
        cost = self._in_flight.get(vm.name, 0) + _DISTANCES[distance(self._own, vm)]
        found = self._experience(vm)
        if self._is_proven(vm, now):
            return cost
        if found is not None and now < found.doubted_until:
            cost += _DOUBTED_DISTANCE
        tried_there = sum(other.domain == vm.domain for other in tried)
        if len(tried) >= _MAX_EXPLORED:
            cost += _UNPROVEN_DISTANCE
        return cost + tried_there * _TRIED_DISTANCE
