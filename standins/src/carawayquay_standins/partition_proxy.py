"""TCP proxy between failure domains that simulates network partitions."""

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

#: Wildcard for every place other than the first one of a partition.
ANY_PLACE = "*"

_READ_BYTES = 65536


@attrs.frozen
class Route:
    """Listening address of the proxy and the address it forwards to.

    :param place: failure domain of the forward address, or the store
    :param source: failure domain of the connecting side; empty to find it by the source host
    """

    listen: Address
    forward: Address
    place: str
    source: str = ""


@attrs.frozen
class Partition:
    """Network partition between two places, in both directions."""

    first: str
    second: str

    def separates(self, source: str, place: str) -> bool:
        """Return whether the partition blocks traffic between two places."""
        if source == place:
            return False
        return self._covers(source, place) or self._covers(place, source)

    def _covers(self, first: str, second: str) -> bool:
        return first == self.first and self.second in (second, ANY_PLACE)


class PartitionProxy:
    """Forwards TCP connections; data that a partition delays is sent on after it ends.

    :param hosts: failure domain by source host of connections
    """

    def __init__(self, routes: Sequence[Route], hosts: dict[str, str]) -> None:
        self._routes = routes
        self._hosts = hosts
        self._partitions: list[Partition] = []
        self._changed = curio.Condition()
        self.http = HttpServer(self._control, _error_response)

    @classmethod
    def load(cls, path: Path) -> PartitionProxy:
        """Create the proxy from the JSON file with its routes and hosts."""
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
        """Listen on the address of every route."""
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
        await self._wait_until_reachable(source, route.place)
        with suppress(OSError):
            server = await curio.open_connection(route.forward.host, route.forward.port)
            async with server, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, client, server, source, route.place)
                await group.spawn(self._pump, server, client, source, route.place)

    async def _pump(self, reader: Any, writer: Any, source: str, place: str) -> None:
        with suppress(OSError):
            while data := await reader.recv(_READ_BYTES):
                await self._wait_until_reachable(source, place)
                await writer.sendall(data)

    async def _wait_until_reachable(self, source: str, place: str) -> None:
        """Wait until no partition separates two places."""
        async with self._changed:
            while any(partition.separates(source, place) for partition in self._partitions):
                await self._changed.wait()


def _error_response(status: int, reason: str) -> HttpResponse:
    return json_response(status, {"error": reason})
