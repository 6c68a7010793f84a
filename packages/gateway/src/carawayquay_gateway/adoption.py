"""Takes objects of the store into the state, and refuses those that can't be read."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.discovery import TargetState
from carawayquay.errors import ObjectError
from carawayquay_gateway.replicas import Adopter, Replica
from carawayquay_platform.configuration import CONFIGURATION_NAME, parse_configuration
from carawayquay_platform.objects import ObjectKind, StoredObject, parse_target
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget, TargetChange
    from carawayquay_gateway.state import GatewayState

__all__ = ["Adoption"]

_log = EventLog("adoption")

#: Time after the store's failure in which a missing target may only have lapsed meanwhile.
_LAPSED_WITHIN = timedelta(seconds=3.5)

#: Time in which a target that lapsed while the store was away is registered again if it lives.
_LAPSED_FOR = timedelta(seconds=2)


class Adoption:
    """Applies the changes of each kind of object."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._lapsed: dict[str, timedelta] = {}

    def replicas(self) -> dict[ObjectKind, Replica]:
        """Return empty copies of all kinds, whose changes are applied."""
        adopters = {
            ObjectKind.CONFIGURATION: Adopter(self._put_configuration, _keep),
            ObjectKind.TARGETS: Adopter(self._put_target, self._drop_target),
            ObjectKind.EVACUATIONS: Adopter(self._put_evacuation, self._drop_evacuation),
        }
        return {kind: Replica(kind, adopter) for kind, adopter in adopters.items()}

    def remove_lapsed(self) -> None:
        """Remove targets that are still missing some time after the store's return."""
        now = self._state.clock.now()
        for name in [name for name, until in self._lapsed.items() if now >= until]:
            del self._lapsed[name]
            self._remove(name)

    def _put_configuration(self, stored: StoredObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            configuration = parse_configuration(stored.value)
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)
            return
        known = self._state.configuration
        if known is not None and configuration.version <= known.version:
            return
        self._state.configuration = configuration
        _log.info(
            Event.OBJECT_ADOPTED,
            kind="configuration",
            version=configuration.version,
            revision=stored.revision,
            routes=len(configuration.routes),
        )

    def _put_target(self, stored: StoredObject) -> None:
        self._lapsed.pop(stored.name, None)
        try:
            target = parse_target(stored, self._state.settings.regions)
        except ObjectError as error:
            _log.warning(Event.OBJECT_REFUSED, name=stored.name, reason=error)
            return
        change = self._state.targets.register(target, self._state.clock.now())
        if change is not None:
            self._note_found(change, target, stored.revision)

    def _note_found(self, change: TargetChange, target: RegisteredTarget, revision: int) -> None:
        before = change.before
        if before is not None and before.incarnation != target.incarnation:
            self._state.stats(target.name).restarted()
            self._state.warm_objects.forget(target.name)
        if before is None or before.state is not target.state or target.cold_for:
            _log.info(
                Event.TARGET_FOUND,
                target=target.name,
                service=target.service,
                state=target.state.value,
                domain=target.domain,
                cold_ms=int(target.cold_for.total_seconds() * 1000),
                revision=revision,
            )

    def _drop_target(self, name: str) -> None:
        """Remove a target, unless it may only have lapsed while the store was away."""
        known = self._state.targets.get(name)
        ready = known is not None and known.state is TargetState.READY
        now = self._state.clock.now()
        failed_at = self._state.store_failed_at
        if ready and failed_at is not None and now - failed_at < _LAPSED_WITHIN:
            self._lapsed.setdefault(name, now + _LAPSED_FOR)
            return
        self._remove(name)

    def _remove(self, name: str) -> None:
        if self._state.targets.remove(name) is not None:
            _log.info(Event.TARGET_LOST, target=name, reason="removed")
            self._state.forget_target(name)

    def _put_evacuation(self, stored: StoredObject) -> None:
        self._state.evacuated.add(stored.name)
        _log.info(Event.EVACUATION_STARTED, domain=stored.name, revision=stored.revision)

    def _drop_evacuation(self, name: str) -> None:
        self._state.evacuated.discard(name)
        _log.info(Event.EVACUATION_ENDED, domain=name)


def _keep(_: str) -> None:
    """Keep an object that is gone in force."""
