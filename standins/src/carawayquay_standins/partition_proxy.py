"""A relay between failure domains that goes silent on command, as a network partition does."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import attrs
import curio

from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest, HttpResponse, json_response
from carawayquay_wire.http_server import HttpServer

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

__all__ = ["ANY_PLACE", "Partition", "PartitionProxy", "Route"]

#: Stands for every place but the other one of a cut.
ANY_PLACE = "*"

_READ_BYTES = 65536


@attrs.frozen
class Route:
    """Where the relay listens and what stands behind it.

    :param place: the failure domain behind it, or the store
    :param source: the failure domain whose connections come here, or empty if the host that they
        come from tells it
    """

    listen: Address
    forward: Address
    place: str
    source: str = ""


@attrs.frozen
class Partition:
    """Two places between which nothing passes."""

    first: str
    second: str

    def separates(self, source: str, place: str) -> bool:
        """Return whether nothing passes from one place to another."""
        if source == place:
            return False
        return self._covers(source, place) or self._covers(place, source)

    def _covers(self, first: str, second: str) -> bool:
        return first == self.first and self.second in (second, ANY_PLACE)


class PartitionProxy:
    """Carries TCP connections; what a cut holds back goes on when the cut ends.

    :param hosts: the failure domain of each host that connections come from
    """

    def __init__(self, routes: Sequence[Route], hosts: dict[str, str]) -> None:
        self._routes = routes
        self._hosts = hosts
        self._partitions: list[Partition] = []
        self._changed = curio.Condition()
        self.http = HttpServer(self._control, _error_response)

    @classmethod
    def load(cls, path: Path) -> PartitionProxy:
        """Read the routes and hosts of a plan."""
        plan = json.loads(path.read_text())
        routes = [
            Route(
                Address.parse(item["listen"]),
                Address.parse(item["forward"]),
                item["place"],
                item["source"],
            )
            for item in plan["routes"]
        ]
        return cls(routes, plan["hosts"])

    async def listen(self) -> None:
        """Listen on every route."""
        for route in self._routes:
            address = route.listen

            async def serve(client: Any, peer: tuple[str, int], route: Route = route) -> None:
                await self._serve(route, client, peer[0])

            await curio.spawn(curio.tcp_server, address.host, address.port, serve, daemon=True)

    async def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            self._partitions = [Partition(*places) for places in json.loads(request.body)["cuts"]]
            async with self._changed:
                await self._changed.notify_all()
        return json_response(
            200, {"cuts": [attrs.astuple(partition) for partition in self._partitions]}
        )

    async def _serve(self, route: Route, client: Any, host: str) -> None:
        source = route.source or self._hosts.get(host, "")
        await self._wait_until_connected(source, route.place)
        with suppress(OSError):
            server = await curio.open_connection(route.forward.host, route.forward.port)
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, client, server, source, route.place)
                await group.spawn(self._pump, server, client, source, route.place)

    async def _pump(self, reader: Any, writer: Any, source: str, place: str) -> None:
        with suppress(OSError):
            while data := await reader.recv(_READ_BYTES):
                await self._wait_until_connected(source, place)
                await writer.sendall(data)

    async def _wait_until_connected(self, source: str, place: str) -> None:
        """Wait until no cut parts two places."""
        async with self._changed:
            while any(partition.separates(source, place) for partition in self._partitions):
                await self._changed.wait()


def _error_response(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})
