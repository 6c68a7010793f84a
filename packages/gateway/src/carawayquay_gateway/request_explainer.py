"""Explains to operators where a request would be sent now, and why, without sending it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from carawayquay.forwarding import CallerRequest
from carawayquay.load_reports import short_hash
from carawayquay.placement import NoCapacity
from carawayquay.routes import Route
from carawayquay_gateway.authentication import AuthenticationFailed, authenticate
from carawayquay_gateway.selection import Selection

if TYPE_CHECKING:
    from carawayquay.discovery import RegisteredTarget
    from carawayquay.organisations import Organisation
    from carawayquay.placement import Placement
    from carawayquay.routes import WeightedService
    from carawayquay_gateway.round_trips import RoundTrips
    from carawayquay_gateway.state import GatewayState

__all__ = ["RequestExplainer"]

_REQUIRED = {"host", "path"}
_OPTIONAL = {"object", "organisation"}


class RequestExplainer:
    """Builds explanations from the state of this VM, which it leaves as it is."""

    def __init__(self, state: GatewayState, round_trips: RoundTrips) -> None:
        self._state = state
        self._round_trips = round_trips

    def answer(self, query: str) -> dict[str, Any]:
        """Return the explanation for ``host=H&path=P``, with ``object`` and ``organisation``.

        :raises ValueError: if the query has another form
        """
        fields = parse_qs(query)
        if not _REQUIRED <= set(fields) <= _REQUIRED | _OPTIONAL:
            raise ValueError(f'query "{query}" is not host=H&path=P[&object=O][&organisation=N]')
        values = {name: found[0] for name, found in fields.items()}
        key, organisation = values.get("object", ""), values.get("organisation", "")
        return self.explain(values["host"], values["path"], key, organisation)

    def explain(self, host: str, path: str, key: str, organisation: str) -> dict[str, Any]:
        """Return what would happen to a request, ready for JSON.

        :param key: affinity key of its object, empty if there is none
        :param organisation: name of the organisation that sends it, empty if there is none
        """
        configuration = self._state.configuration
        if configuration is None:
            return {"vm": self._state.identity.name, "refused": "unconfigured"}
        explained = {"vm": self._state.identity.name, "configuration": configuration.version}
        route = configuration.find(host, path)
        if not isinstance(route, Route):
            return {**explained, "refused": "unknown-route" if route is None else "unread-route"}
        call = CallerRequest("", host, "GET", path, key, None, (), b"")
        caller = authenticate(call, route, configuration, organisation)
        explained["route"] = route.name
        if isinstance(caller, AuthenticationFailed):
            return {**explained, "refused": caller.kind.value, "reason": caller.reason}
        return {
            **explained,
            "priority": caller.route.priority,
            "allowed_regions": sorted(caller.route.allowed_regions),
            **self._quota(caller.organisation),
            "services": [self._service(caller.route, it, key) for it in caller.route.services],
        }

    def _quota(self, organisation: Organisation | None) -> dict[str, Any]:
        """Return how the organisation's quota stands at this VM, nothing without a quota."""
        if organisation is None or organisation.quota is None:
            return {}
        quotas = self._state.quotas
        grant = quotas.grant(organisation.name)
        return {
            "quota": {
                "rate": organisation.quota.rate,
                "burst": organisation.quota.burst,
                "coordinated": quotas.coordinated(self._state.clock.now()),
                "fraction": 1.0 if grant is None else grant.fraction,
                "share": None if grant is None else grant.share,
            }
        }

    def _service(self, route: Route, weighted: WeightedService, key: str) -> dict[str, Any]:
        """Return the choice among the targets of one of the route's services."""
        service = weighted.service
        # The budgets and random choices of the selection that serves callers must not change.
        selection = Selection(self._state, self._round_trips, Random(0))
        preview = selection.preview(route, service, key)
        return {
            "service": service,
            "weight": weighted.weight,
            "kept_share": round(self._state.service(service).local_share.share, 3),
            "home_here": preview.home_here,
            **_choice(preview.chosen),
            "targets": [
                self._target(route, target, key) for target in self._state.targets.ready(service)
            ],
        }

    def _target(self, route: Route, target: RegisteredTarget, key: str) -> dict[str, Any]:
        state = self._state
        now = state.clock.now()
        limit = state.limit(target, now)
        return {
            "target": target.name,
            "domain": target.domain,
            "allowed": not route.allowed_regions or target.region in route.allowed_regions,
            "usable": state.may_use(target, now),
            "warm": bool(key) and state.warm_objects.warm(target.name, short_hash(key)),
            "running": state.running(target.name),
            "slots": target.slots,
            "limit": None if limit is None else limit.rate,
        }


def _choice(chosen: Placement | NoCapacity) -> dict[str, Any]:
    """Return the chosen target with its expected times, or when one may have room."""
    if isinstance(chosen, NoCapacity):
        wait = None if chosen.wait is None else round(chosen.wait * 1000, 1)
        return {"refused": "no-target" if wait is None else "overloaded", "wait_ms": wait}
    return {
        "chosen": chosen.target.name,
        "wait_ms": round(chosen.wait * 1000, 1),
        "work_ms": round(chosen.work * 1000, 1),
        "round_trip_ms": round(chosen.round_trip * 1000, 1),
        "cost_ms": round(chosen.cost * 1000, 1),
    }
