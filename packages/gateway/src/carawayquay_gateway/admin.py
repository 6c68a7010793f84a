"""Admin interface: readiness, metrics, state dump, and object lists and changes for peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawayquay_gateway.state_dump import dump_state
from carawayquay_platform.own_endpoints import READY_PATH, parse_listing_kind, parse_watch_revision
from carawayquay_platform.store import list_response_body, watch_response_body
from carawayquay_wire.http import HttpResponse, json_response

if TYPE_CHECKING:
    from carawayquay_gateway.state import GatewayState
    from carawayquay_wire.http import HttpRequest

__all__ = ["AdminApi", "ReadinessApi"]


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

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one admin request."""
        match request.target.partition("?")[0]:
            case "/metrics":
                text = self._state.metrics.exposition().encode()
                return HttpResponse(200, ((b"content-type", b"text/plain"),), text)
            case "/dump":
                return json_response(200, dump_state(self._state))
            case path:
                return self._objects(parse_listing_kind(path), parse_watch_revision(request.target))

    def _objects(self, kind: str | None, since: int | None) -> HttpResponse:
        """Answer a list or a watch in the store's format; a watch returns without waiting.

        :param since: revision after which changes are requested, or None to list all objects
        """
        for replica in self._state.replicas.values():
            if replica.kind.value != kind or replica.revision is None:
                continue
            if since is None:
                return json_response(
                    200, list_response_body(replica.change_revision, replica.objects)
                )
            changes = replica.changes_since(since)
            return (
                HttpResponse(410)
                if changes is None
                else json_response(200, watch_response_body(changes))
            )
        return HttpResponse(404)


def reject(status: int, reason: str) -> HttpResponse:
    """Return the answer to a request that violates the protocol or a limit."""
    return HttpResponse(status, (), reason.encode())
