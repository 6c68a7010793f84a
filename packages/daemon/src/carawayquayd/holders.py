"""Liveness of the holders of claim shards, as one daemon observes it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.claim_maps import Holder
from carawayquay.heartbeats import FAILURE_TIMEOUT
from carawayquay.membership import VMState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayquay.claim_messages import HolderAnswer
    from carawayquay.membership import EntryVM
    from carawayquayd.state import NodeState

__all__ = ["STARTUP_GRACE_PERIOD", "HolderView"]

#: Time for which a holder must have been unreachable before its shards are taken over.
_TAKEOVER_DELAY = timedelta(seconds=1)

#: Time after a start in which a process may not have heard from every live VM yet.
STARTUP_GRACE_PERIOD = FAILURE_TIMEOUT + _TAKEOVER_DELAY


class HolderView:
    """Maps each VM to its current holder, from heartbeats and answers to holder queries.

    :param own_holder: the holder that identifies this process
    """

    def __init__(self, state: NodeState, own_holder: Holder) -> None:
        self._state = state
        self._own_holder = own_holder
        self._answers: dict[str, tuple[HolderAnswer, timedelta]] = {}
        self._missing_since: dict[Holder, timedelta] = {}
        self._started_at = state.clock.now()

    @property
    def startup_grace_over(self) -> bool:
        """Whether this process has run long enough to have heard from every live VM."""
        return self._state.clock.now() - self._started_at >= STARTUP_GRACE_PERIOD

    def current_holder(self, vm: str) -> Holder | None:
        """Return the current holder on a VM, or None if the VM is not alive or not known yet."""
        if vm == self._own_holder.vm:
            return self._own_holder
        peers = self._state.peers
        if not peers.alive(vm, self._state.clock.now()):
            return None
        heartbeat, last_seen = peers.last(vm), peers.last_seen(vm)
        answered = self._answers.get(vm)
        if answered is not None and (last_seen is None or last_seen < answered[1]):
            return Holder(vm, answered[0].incarnation)
        return None if heartbeat is None else Holder(vm, heartbeat.incarnation)

    def leaving(self, vm: EntryVM) -> bool:
        """Return whether a VM has announced a planned stop, or its list marks it as leaving."""
        if vm.name == self._own_holder.vm:
            return self._state.stopping
        heartbeat = self._state.peers.last(vm.name)
        answered = self._answers.get(vm.name)
        return (
            vm.state is VMState.LEAVING
            or (heartbeat is not None and heartbeat.leaving)
            or (answered is not None and answered[0].leaving)
        )

    def live(self, vms: Iterable[EntryVM]) -> tuple[Holder, ...]:
        """Return the current holders on some VMs, without VMs that are leaving."""
        current_holders = (self.current_holder(vm.name) for vm in vms if not self.leaving(vm))
        return tuple(holder for holder in current_holders if holder is not None)

    def lost(self, holder: Holder) -> bool:
        """Return whether a holder was replaced, or has been unreachable for the takeover delay.

        During the start-up grace period, an unreachable holder is not lost.
        """
        current_holder = self.current_holder(holder.vm)
        if current_holder is not None:
            self._missing_since.pop(holder, None)
            return current_holder != holder
        now = self._state.clock.now()
        missing_since = self._missing_since.setdefault(holder, now)
        return self.startup_grace_over and now - missing_since >= _TAKEOVER_DELAY

    def record(self, answer: HolderAnswer, asked_at: timedelta) -> None:
        """Record a VM's answer to a holder query, with the instant at which the query was sent."""
        self._answers[answer.vm] = (answer, asked_at)
        self._state.peers.record_reply(answer.vm, answer.leaving, asked_at)

    def clear_missing(self) -> None:
        """Discard the times since which holders are unreachable, after a pause of this process."""
        self._missing_since.clear()
