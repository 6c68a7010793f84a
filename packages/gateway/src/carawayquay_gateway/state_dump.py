"""The state dump of a gateway: its state as values for JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawayquay_gateway.service_state import ASSUMED_LATENCY

if TYPE_CHECKING:
    from datetime import timedelta

    from carawayquay.discovery import RegisteredTarget
    from carawayquay.organisations import Organisation
    from carawayquay.quotas import QuotaLedger
    from carawayquay_gateway.service_state import ServiceState
    from carawayquay_gateway.state import GatewayState
    from carawayquay_platform.objects import ObjectKind

__all__ = ["dump_state"]


def dump_state(state: GatewayState) -> dict[str, Any]:
    """Return the state of a gateway as JSON-serializable values."""
    now = state.clock.now()
    return {
        "vm": state.identity.name,
        "stopping": state.stopping,
        **({"cut_off": True} if state.reach.cut_off else {}),
        "configuration": state.configuration.version if state.configuration else None,
        "remarks": {str(remark): times for remark, times in state.object_applier.remarks},
        "refused_objects": state.object_applier.refused,
        "refused_settings": list(state.settings.problems),
        "revisions": {
            kind.name: None if replica.revision is None else replica.revision.number
            for kind, replica in state.replicas.items()
        },
        **_dump_eras(state),
        "knowledge": {kind.name: _dump_knowledge(state, kind) for kind in state.replicas},
        "evacuated": sorted(state.evacuated),
        "peers": {
            peer.identity.name: {"live": peer.live(now), "domain": peer.identity.domain}
            for peer in state.peers
        },
        "domains": {
            domain.name: {"live": domain.live(now), "vms": domain.vms}
            for domain in state.peers.remote_domains
        },
        "targets": {target.name: _dump_target(state, target, now) for target in state.targets},
        "services": {name: _dump_service(service, now) for name, service in state.services.items()},
        **_dump_organisations(state),
    }


def _dump_organisations(state: GatewayState) -> dict[str, Any]:
    """Return the organisations without their API keys, nothing if there are none."""
    configuration = state.configuration
    organisations = configuration.organisations if configuration is not None else None
    if organisations is None:
        return {}
    dumped = {it.name: _dump_organisation(it, state.quotas) for it in organisations}
    return {"organisations": dumped, "organisations_complete": organisations.complete}


def _dump_organisation(organisation: Organisation, quotas: QuotaLedger) -> dict[str, Any]:
    quota, grant = organisation.quota, quotas.grant(organisation.name)
    granted = {} if grant is None else {"fraction": grant.fraction, "share": grant.share}
    return {
        **granted,
        "keys": len(organisation.key_digests),
        "priority": organisation.priority,
        "quota": None if quota is None else {"rate": quota.rate, "burst": quota.burst},
        "allowed_regions": sorted(organisation.allowed_regions),
    }


def _dump_knowledge(state: GatewayState, kind: ObjectKind) -> dict[str, Any]:
    """Return how old this VM's knowledge of a kind of objects is, and may be, in milliseconds."""
    age = state.knowledge.age(kind)
    return {
        "age_ms": None if age is None else int(age.total_seconds() * 1000),
        "max_age_ms": int(state.knowledge.max_age(kind).total_seconds() * 1000),
    }


def _dump_eras(state: GatewayState) -> dict[str, Any]:
    """Return the store's era and that of each replica, nothing if the store names none."""
    if not state.store_history.era:
        return {}
    eras = {
        kind.name: None if replica.revision is None else replica.revision.era
        for kind, replica in state.replicas.items()
    }
    return {
        "store_era": state.store_history.era,
        "eras": eras,
        **state.object_applier.dump_restore(),
    }


def _dump_target(state: GatewayState, target: RegisteredTarget, now: timedelta) -> dict[str, Any]:
    stats = state.stats(target.name)
    found = {
        "service": target.service,
        "domain": target.domain,
        "state": target.state.value,
        "cold": state.targets.cold(target.name, now),
        "running": state.running(target.name),
        "slots": target.slots,
        "slowness": round(stats.slowness, 2),
        "failure_rate": round(stats.failure_rate, 2),
    }
    time_factor = stats.time_factor(now)
    if time_factor != 1.0:
        found["time_factor"] = round(time_factor, 2)
    limit = state.limit(target, now)
    if limit is not None:
        found["limit"] = {
            "rate": limit.rate,
            "age_ms": int(limit.age * 1000),
            "share": round(limit.share, 4),
        }
    return found


def _dump_service(service: ServiceState, now: timedelta) -> dict[str, Any]:
    return {
        "rate": round(service.rate(now), 1),
        "warm_ms": round(service.times.warm(ASSUMED_LATENCY) * 1000, 1),
        "cold_ms": round(service.times.cold(ASSUMED_LATENCY) * 1000, 1),
        "bytes": round(service.times.mean_bytes),
        "kept_share": round(service.local_share.share, 3),
    }
