"""Admin interface: readiness, metrics, state dump, and object lists and changes for peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay.bandwidth import TokenBucket
from carawayquay.store_revision import StoreRevision
from carawayquay_gateway.state_dump import dump_state
from carawayquay_platform.object_responses import (
    accepts_deflate,
    deflated,
    list_response,
    watch_response,
)
from carawayquay_platform.own_endpoints import READY_PATH, PullQuery, parse_pull
from carawayquay_wire.http import HttpResponse, json_response

if TYPE_CHECKING:
    from carawayquay_gateway.request_explainer import RequestExplainer
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.http import HttpRequest

__all__ = ["AdminApi", "ReadinessApi"]

_BYTES_PER_MBIT = 125_000

#: Answers up to this size are never put off behind others.
_MAX_SMALL_BYTES = 4096

#: Share of this VM's link for the objects that other VMs pull.
_PULL_SHARE = 0.5


class ReadinessApi:
    """Serves the readiness check."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return 200 if this VM accepts requests, else 503."""
        if request.target.partition("?")[0] != READY_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self._state.ready else 503)


class AdminApi:
    """Serves metrics, the state dump, and the replicated objects to other entry VMs."""

    def __init__(self, state: GatewayState, explainer: RequestExplainer | None = None) -> None:
        self._state = state
        self._explainer = explainer
        self._object_bytes = TokenBucket()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one admin request."""
        match request.target.partition("?")[0]:
            case "/metrics":
                text = self._state.metrics.exposition().encode()
                return HttpResponse(200, ((b"content-type", b"text/plain"),), text)
            case "/dump":
                return json_response(200, dump_state(self._state))
            case "/explain" if self._explainer is not None:
                return _explain(self._explainer, request.target.partition("?")[2])
            case _:
                return self._pulled(request)

    def _pulled(self, request: HttpRequest) -> HttpResponse:
        """Answer a pull of objects, unless it is large and too many were answered lately.

        All VMs of a domain pull a change at once. If all were answered, none would have its answer
        in time where the link is narrow.
        """
        response = self._objects(parse_pull(request.target))
        if accepts_deflate(request):
            response = deflated(response)
        size = len(response.body)
        rate = self._state.settings.link_mbps * _BYTES_PER_MBIT * _PULL_SHARE
        self._object_bytes.fill(rate, self._state.clock.now())
        if rate and size > _MAX_SMALL_BYTES and self._object_bytes.tokens < 0:
            self._state.metrics.count("pulls_deferred_total")
            return HttpResponse(503)
        self._object_bytes.tokens -= size
        return response

    def _objects(self, query: PullQuery) -> HttpResponse:
        """Answer a list or a watch in the store's format; a watch returns without waiting."""
        for replica in self._state.replicas.values():
            if replica.kind.value != query.kind or replica.revision is None:
                continue
            if query.revision is None:
                objects = self._state.object_applier.effective_objects(replica)
                return list_response(replica.change_revision, objects)
            # A VM of a version that names no era knows no restore.
            era = replica.first_era if query.era is None else query.era
            changes = replica.changes_since(StoreRevision(era, query.revision))
            return HttpResponse(410) if changes is None else watch_response(changes)
        return HttpResponse(404)


def _explain(explainer: RequestExplainer, query: str) -> HttpResponse:
    try:
        return json_response(200, explainer.answer(query))
    except ValueError as error:
        return reject(400, str(error))


def reject(status: int, reason: str) -> HttpResponse:
    """Return the answer to a request that violates the protocol or a limit."""
    return HttpResponse(status, (), reason.encode())
