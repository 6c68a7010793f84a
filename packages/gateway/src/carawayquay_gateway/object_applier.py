"""Parses objects of the store and applies them to the gateway's state."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from carawayquay.configuration_drafts import build_configuration
from carawayquay.discovery import TargetState
from carawayquay.errors import ObjectError
from carawayquay.removed_targets import RemovedTargets
from carawayquay_gateway.replicas import ObjectHandler, Replica
from carawayquay_platform.configuration import CONFIGURATION_NAME, parse_configuration
from carawayquay_platform.objects import ObjectKind, StoredObject, parse_target
from carawayquay_wire.events import Event, EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from carawayquay.clock import Clock
    from carawayquay.discovery import RegisteredTarget, TargetChange, TargetRegistry
    from carawayquay.evacuations import Evacuations
    from carawayquay.remarks import Remark
    from carawayquay.routes import Configuration
    from carawayquay.store_revision import StoreRevision
    from carawayquay_gateway.store_history import StoreHistory
    from carawayquay_wire.metrics import Metrics

__all__ = ["ObjectApplier"]

_log = EventLog("adoption")

#: Time from the beginning of the last store call that failed in an outage, in which a missing ready
#: target may still be alive: its registration may have expired because it could not be renewed.
#: All live targets register again within about two seconds of the outage's end.
_OUTAGE_WINDOW = timedelta(seconds=2.8)

#: Grace period for a live target to register again after its registration expired in an outage.
_REGISTRATION_GRACE = timedelta(seconds=2)

#: Time after a restore of the store in which objects may be those of the older copy. The store
#: removes a target that is not alive within three heartbeat intervals.
_RETURNED_OBJECT_HOLD = timedelta(seconds=6)

#: Log lines for the remarks on one configuration version; further remarks are only counted.
_MAX_REMARK_LINES = 20

#: Maximum number of remembered refused objects, since any writer may create unreadable ones.
_MAX_REFUSED = 200


class ObjectApplier:
    """Applies object changes; an unreadable object leaves what was in force before.

    :param regions: returns the region of each failure domain
    :param on_restart: called with the name of a target that registered as a new process
    :param on_removal: called with the name of each target that was removed
    :ivar configuration: the configuration in force, None if there is none
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        regions: Callable[[], Mapping[str, str]],
        targets: TargetRegistry,
        evacuated: Evacuations,
        store_history: StoreHistory,
        on_restart: Callable[[str], None],
        on_removal: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._regions = regions
        self._targets = targets
        self._evacuated = evacuated
        self._store_history = store_history
        self._on_restart = on_restart
        self._on_removal = on_removal
        self.configuration: Configuration | None = None
        self._remarks: tuple[tuple[Remark, int], ...] = ()
        self._removals_due: dict[str, timedelta] = {}
        self._removed = RemovedTargets()
        self._withheld_until: dict[str, tuple[StoredObject, timedelta]] = {}
        self._outdated: set[str] = set()
        self._configuration_object: StoredObject | None = None
        self._lost: set[tuple[str, str]] = set()
        self._refused: dict[str, str] = {}

    @property
    def remarks(self) -> tuple[tuple[Remark, int], ...]:
        """Problems in the configuration in force, each with its number of occurrences."""
        return self._remarks

    @property
    def refused(self) -> dict[str, str]:
        """The reason why each unreadable object was refused, by name."""
        return dict(self._refused)

    def new_replicas(self) -> dict[ObjectKind, Replica]:
        """Return an empty replica for each kind of object, with this object's change handlers."""
        handlers = {
            ObjectKind.CONFIGURATION: ObjectHandler(
                self.apply_configuration,
                _ignore_deletion,
                self._note_lost_configuration,
                keeps_deleted=True,
            ),
            ObjectKind.TARGETS: ObjectHandler(
                self._put_target, self._delete_target, self._note_lost_target
            ),
            ObjectKind.EVACUATIONS: ObjectHandler(
                self._put_evacuation, self._delete_evacuation, self._keep_lost_evacuation
            ),
        }
        return {kind: Replica(kind, handler) for kind, handler in handlers.items()}

    def effective_objects(self, replica: Replica) -> list[StoredObject]:
        """Return a replica's objects as this VM uses them, for a VM that has none yet.

        A restored store may hold an older configuration than the one in force, and registrations
        of targets that have left.
        """
        match replica.kind:
            case ObjectKind.CONFIGURATION:
                in_force = self._configuration_object
                if in_force is None:
                    return replica.objects
                others = [stored for stored in replica.objects if stored.name != in_force.name]
                return [*others, in_force.at_revision(replica.change_revision)]
            case ObjectKind.TARGETS:
                unused = self._withheld_until.keys() | self._outdated
                return [stored for stored in replica.objects if stored.name not in unused]
        return replica.objects

    def dump_restore(self) -> dict[str, list[str]]:
        """Return the names of the lost objects that are kept and of the returned ones not used."""
        unused = self._withheld_until.keys() | self._outdated
        return {"kept": sorted(name for _, name in self._lost), "withheld": sorted(unused)}

    def expire_grace_periods(self) -> None:
        """Apply what the store holds where a grace period after an outage or restore is over."""
        now = self._clock.now()
        for name in [name for name, until in self._removals_due.items() if now >= until]:
            del self._removals_due[name]
            self._remove_target(name)
        for name in [n for n, (_, until) in self._withheld_until.items() if now >= until]:
            stored, _ = self._withheld_until.pop(name)
            self._removed.forget(name)
            self._put_target(stored)
        ended, started = self._evacuated.pop_expired(now)
        for domain in ended:
            self._lost.discard(("evacuation", domain))
            _log.info(Event.EVACUATION_ENDED, domain=domain, reason="not written again")
        for domain in started:
            _log.info(Event.EVACUATION_STARTED, domain=domain, reason="still in the store")

    def apply_configuration(self, stored: StoredObject) -> bool:
        """Put a configuration in force, unless it is invalid or older than the one in force.

        :returns: whether it was put in force and needs no former one, from which the parts that are
            not understood are taken
        """
        if stored.name != CONFIGURATION_NAME:
            return False
        current = self.configuration
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
            if current is not None and draft.version is None and self._restored_recently():
                raise ObjectError(
                    "it names no valid version and may be older than the one in force"
                )
        except ObjectError as error:
            self._refuse_object("configuration", stored.name, str(error))
            return False
        self._refused.pop(stored.name, None)
        self._log_rewritten("configuration", stored)
        if current is not None and draft.version == current.version:
            return False
        configuration = build_configuration(draft, current)
        self._configuration_object = stored
        self.configuration = configuration
        self._remarks = draft.remarks
        _log.info(
            Event.OBJECT_ADOPTED,
            kind="configuration",
            version=configuration.version,
            revision=stored.revision,
            routes=len(configuration.routes),
            **_organisation_fields(configuration),
            remarks=len(draft.remarks),
        )
        self._report_remarks(draft.remarks, configuration.version)
        return not draft.remarks

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
            self._metrics.count("configuration_remarks_total", effect=remark.effect.value)

    def _refuse_object(self, kind: str, name: str, reason: str) -> None:
        """Count and log a refused object, unless it was refused for the same reason before."""
        if self._refused.get(name) == reason:
            return
        if len(self._refused) < _MAX_REFUSED:
            self._refused[name] = reason
        self._metrics.count("objects_refused_total", kind=kind)
        _log.warning(Event.OBJECT_REFUSED, kind=kind, name=name, reason=reason)

    def _put_target(self, stored: StoredObject) -> bool:
        """Register a target, and return whether its object is used from now on."""
        self._removals_due.pop(stored.name, None)
        self._withheld_until.pop(stored.name, None)
        self._log_rewritten("target", stored)
        try:
            target = parse_target(stored, self._regions())
        except ObjectError as error:
            self._refuse_object("target", stored.name, str(error))
            return False
        self._refused.pop(stored.name, None)
        now = self._clock.now()
        if self._restored_recently() and self._removed.covers(target, now):
            self._withheld_until[target.name] = (stored, now + _RETURNED_OBJECT_HOLD)
            self._log_withheld("target", stored, "removed before the restore")
            return False
        self._removed.forget(target.name)
        change = self._targets.register(target, now)
        if change is None:
            self._outdated.add(target.name)
            self._log_withheld("target", stored, "older than the known registration")
            return False
        self._outdated.discard(target.name)
        self._handle_target_change(change, target, stored.revision)
        return True

    def _handle_target_change(
        self, change: TargetChange, target: RegisteredTarget, revision: StoreRevision
    ) -> None:
        before = change.before
        if before is not None and before.incarnation != target.incarnation:
            self._on_restart(target.name)
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
        self._withheld_until.pop(name, None)
        self._outdated.discard(name)
        current = self._targets.get(name)
        now = self._clock.now()
        held_until = self._held_until(name, now)
        if current is not None and current.state is TargetState.READY and held_until > now:
            self._removals_due.setdefault(name, held_until)
            return
        self._remove_target(name)

    def _held_until(self, name: str, now: timedelta) -> timedelta:
        """Return until when a missing target may be alive and not have registered again yet."""
        grace_end = now + _REGISTRATION_GRACE
        if ("target", name) in self._lost:
            return grace_end
        failed_at = self._store_history.failed_at
        return now if failed_at is None else min(grace_end, failed_at + _OUTAGE_WINDOW)

    def _restored_recently(self) -> bool:
        """Return whether objects may come from the copy that the store was restored from."""
        restored_at = self._store_history.restored_at
        return restored_at is not None and self._clock.now() - restored_at < _RETURNED_OBJECT_HOLD

    def _remove_target(self, name: str) -> None:
        self._lost.discard(("target", name))
        change = self._targets.remove(name)
        if change is None:
            return
        self._removed.record(change.before, self._clock.now())
        _log.info(Event.TARGET_LOST, target=name, reason="removed")
        self._on_removal(name)

    def _put_evacuation(self, stored: StoredObject) -> bool:
        """Start an evacuation, and return whether its object is used from now on."""
        domain = stored.name
        self._log_rewritten("evacuation", stored)
        is_new = domain not in self._evacuated
        if not self._evacuated.start(domain, stored.revision, self._clock.now()):
            self._log_withheld("evacuation", stored, "ended before the restore")
            return False
        if is_new:
            _log.info(Event.EVACUATION_STARTED, domain=domain, revision=stored.revision)
        return True

    def _delete_evacuation(self, name: str) -> None:
        if ("evacuation", name) in self._lost:
            return
        if self._evacuated.end(name):
            _log.info(Event.EVACUATION_ENDED, domain=name)

    def _note_lost_configuration(self, name: str) -> None:
        self._note_lost("configuration", name)

    def _note_lost_target(self, name: str) -> None:
        self._note_lost("target", name)

    def _keep_lost_evacuation(self, name: str) -> None:
        self._note_lost("evacuation", name)
        self._evacuated.keep_missing(name, self._clock.now())

    def _note_lost(self, kind: str, name: str) -> None:
        """Log and count an object that a restored store lacks, and that may be written again."""
        self._lost.add((kind, name))
        self._metrics.count("objects_lost_total", kind=kind)
        _log.warning(Event.OBJECT_KEPT, kind=kind, name=name, reason="the restored store lacks it")

    def _log_rewritten(self, kind: str, stored: StoredObject) -> None:
        """Log and count a lost object that was written again."""
        if (kind, stored.name) not in self._lost:
            return
        self._lost.discard((kind, stored.name))
        self._metrics.count("objects_rewritten_total", kind=kind)
        _log.info(Event.OBJECT_REWRITTEN, kind=kind, name=stored.name, revision=stored.revision)

    def _log_withheld(self, kind: str, stored: StoredObject, reason: str) -> None:
        """Log and count an object that a restored store brings back and that is not used."""
        self._metrics.count("objects_withheld_total", kind=kind)
        _log.warning(
            Event.OBJECT_WITHHELD,
            kind=kind,
            name=stored.name,
            revision=stored.revision,
            reason=reason,
        )


def _organisation_fields(configuration: Configuration) -> dict[str, int]:
    """Return the log pair with the number of organisations, none if there are none."""
    organisations = configuration.organisations
    return {} if organisations is None else {"organisations": len(organisations)}


def _ignore_deletion(_: str) -> None:
    """Ignore the deletion of an object, whose last value stays in force."""
