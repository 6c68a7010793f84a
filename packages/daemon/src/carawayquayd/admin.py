"""The admin HTTP interface of a daemon: its state, metrics and routing explanations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawayquay.errors import RequestError
from carawayquay_wire.http import HttpRequest, HttpResponse, json_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay_wire.metrics import Metrics
    from carawayquayd.routing_explainer import RoutingExplainer

__all__ = ["AdminApi"]

_EXPOSITION_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class AdminApi:
    """Answers operators over HTTP, read-only.

    :param dumps: functions that return the state of a component, by its name in the answer
    """

    def __init__(
        self,
        dumps: dict[str, Callable[[], Any]],
        metrics: Metrics,
        explainer: RoutingExplainer,
    ) -> None:
        self._dumps = dumps
        self._metrics = metrics
        self._explainer = explainer

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        path, _, query = request.target.partition("?")
        if request.method not in ("GET", "HEAD"):
            return json_response(405, {"error": f'method "{request.method}" is not GET or HEAD'})
        match path:
            case "/state":
                return json_response(200, {name: dump() for name, dump in self._dumps.items()})
            case "/metrics":
                headers = ((b"content-type", _EXPOSITION_TYPE),)
                return HttpResponse(200, headers, self._metrics.exposition().encode())
            case "/explain":
                return self._explain(query)
        return json_response(404, {"error": f'unknown path "{path}"'})

    def reject(self, status: int, reason: str) -> HttpResponse:
        """Return the response to a request that violates HTTP or a limit."""
        return json_response(status, {"error": reason})

    def _explain(self, query: str) -> HttpResponse:
        try:
            return json_response(200, self._explainer.answer(query))
        except RequestError as error:
            return json_response(404, {"error": str(error)})
        except ValueError as error:
            return json_response(400, {"error": str(error)})
