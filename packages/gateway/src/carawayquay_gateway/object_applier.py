"""Parses objects of the store and applies them to the gateway's state."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.configuration_drafts import build_configuration
from carawayquay.discovery import TargetState
from carawayquay.errors import ObjectError
from carawayquay_gateway.replicas import ObjectHandler, Replica
from carawayquay_platform.configuration import CONFIGURATION_NAME, parse_configuration
from carawayquay_platform.objects import ObjectKind, StoredObject, parse_target
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget, TargetChange
    from carawayquay.remarks import Remark
    from carawayquay_gateway.state import GatewayState

__all__ = ["ObjectApplier"]

_log = EventLog("adoption")

#: Time after a store failure in which a missing ready target may still be alive: its registration
#: may have expired because it could not be renewed.
_OUTAGE_WINDOW = timedelta(seconds=3.5)

#: Grace period for a live target to register again after its registration expired in an outage.
_REGISTRATION_GRACE = timedelta(seconds=2)

#: Log lines for the remarks on one configuration version; further remarks are only counted.
_MAX_REMARK_LINES = 20

#: Maximum number of remembered refused objects, since any writer may create unreadable ones.
_MAX_REFUSED = 200


class ObjectApplier:
    """Applies object changes to the state; an unreadable object leaves the last state in force."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._removals_due: dict[str, timedelta] = {}
        self._refused: dict[str, str] = {}

    @property
    def refused(self) -> dict[str, str]:
        """The reason why each unreadable object was refused, by name."""
        return dict(self._refused)

    def new_replicas(self) -> dict[ObjectKind, Replica]:
        """Return an empty replica for each kind of object, with this object's change handlers."""
        handlers = {
            ObjectKind.CONFIGURATION: ObjectHandler(self._put_configuration, _ignore_deletion),
            ObjectKind.TARGETS: ObjectHandler(self._put_target, self._delete_target),
            ObjectKind.EVACUATIONS: ObjectHandler(self._put_evacuation, self._delete_evacuation),
        }
        return {kind: Replica(kind, handler) for kind, handler in handlers.items()}

    def remove_expired_targets(self) -> None:
        """Remove targets that did not register again within the grace period."""
        now = self._state.clock.now()
        for name in [name for name, until in self._removals_due.items() if now >= until]:
            del self._removals_due[name]
            self._remove_target(name)

    def _put_configuration(self, stored: StoredObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        current = self._state.configuration
        try:
            draft = parse_configuration(stored.value)
            if (
                current is not None
                and draft.version is not None
                and draft.version < current.version
            ):
                raise ObjectError(
                    f"version {draft.version} is older than version {current.version} in force"
                )
        except ObjectError as error:
            self._refuse_object("configuration", stored.name, str(error))
            return
        self._refused.pop(stored.name, None)
        if current is not None and draft.version == current.version:
            return
        configuration = build_configuration(draft, current)
        self._state.configuration = configuration
        self._state.remarks = draft.remarks
        _log.info(
            Event.OBJECT_ADOPTED,
            kind="configuration",
            version=configuration.version,
            revision=stored.revision,
            routes=len(configuration.routes),
            remarks=len(draft.remarks),
        )
        self._report_remarks(draft.remarks, configuration.version)

    def _report_remarks(self, remarks: tuple[tuple[Remark, int], ...], version: int) -> None:
        """Log and count the remarks on a newly applied version."""
        for remark, times in remarks[:_MAX_REMARK_LINES]:
            _log.warning(
                Event.PART_NOT_UNDERSTOOD,
                version=version,
                effect=remark.effect.value,
                subject=remark.subject,
                reason=remark.detail,
                times=times,
            )
        for remark, _ in remarks:
            self._state.metrics.count("configuration_remarks_total", effect=remark.effect.value)

    def _refuse_object(self, kind: str, name: str, reason: str) -> None:
        """Count and log a refused object, unless it was refused for the same reason before."""
        if self._refused.get(name) == reason:
            return
        if len(self._refused) < _MAX_REFUSED:
            self._refused[name] = reason
        self._state.metrics.count("objects_refused_total", kind=kind)
        _log.warning(Event.OBJECT_REFUSED, kind=kind, name=name, reason=reason)

    def _put_target(self, stored: StoredObject) -> None:
        self._removals_due.pop(stored.name, None)
        try:
            target = parse_target(stored, self._state.settings.regions)
        except ObjectError as error:
            self._refuse_object("target", stored.name, str(error))
            return
        self._refused.pop(stored.name, None)
        change = self._state.targets.register(target, self._state.clock.now())
        if change is not None:
            self._handle_target_change(change, target, stored.revision)

    def _handle_target_change(
        self, change: TargetChange, target: RegisteredTarget, revision: int
    ) -> None:
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

    def _delete_target(self, name: str) -> None:
        """Remove a target, after a grace period if its registration may have expired unrenewed."""
        self._refused.pop(name, None)
        current = self._state.targets.get(name)
        ready = current is not None and current.state is TargetState.READY
        now = self._state.clock.now()
        failed_at = self._state.store_failed_at
        if ready and failed_at is not None and now - failed_at < _OUTAGE_WINDOW:
            self._removals_due.setdefault(name, now + _REGISTRATION_GRACE)
            return
        self._remove_target(name)

    def _remove_target(self, name: str) -> None:
        if self._state.targets.remove(name) is not None:
            _log.info(Event.TARGET_LOST, target=name, reason="removed")
            self._state.forget_target(name)

    def _put_evacuation(self, stored: StoredObject) -> None:
        self._state.evacuated.add(stored.name)
        _log.info(Event.EVACUATION_STARTED, domain=stored.name, revision=stored.revision)

    def _delete_evacuation(self, name: str) -> None:
        self._state.evacuated.discard(name)
        _log.info(Event.EVACUATION_ENDED, domain=name)


def _ignore_deletion(_: str) -> None:
    """Ignore the deletion of an object, whose last value stays in force."""
