"""What the entry VMs say of the documents in force and of drains."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import attrs
import curio

from carawayquay.documents import parse_document
from carawayquay.errors import CarawayquayError, DocumentError
from carawayquay.membership import Address
from carawayquay_wire.http import HttpRequest
from carawayquay_wire.http_client import HttpClient, HttpError

if TYPE_CHECKING:
    from carawayquay.changes import Standing
    from carawayquay_wire.store import StoreClient
    from carawayquayctl.settings import OperatorSettings

__all__ = [
    "AdminClient",
    "DrainProgress",
    "ServiceStatus",
    "UnreachableError",
    "drain_progress",
    "service_status",
]


class UnreachableError(CarawayquayError):
    """An entry VM did not answer or is not known."""


@attrs.frozen
class ServiceStatus:
    """How far a document has come.

    :param stored: the version in the store, or None if the store did not answer
    :param held: the version in force at each entry VM that answered
    :param refused: why VMs refuse a newer version, by VM
    """

    service: str
    stored: int | None
    change: str
    held: dict[str, int]
    refused: dict[str, list[str]]

    @property
    def newest(self) -> int:
        """The highest version that is known."""
        return max([self.stored or 0, *self.held.values()])

    @property
    def behind(self) -> list[str]:
        """The entry VMs that hold an older version."""
        return sorted(vm for vm, version in self.held.items() if version < self.newest)


@attrs.frozen
class DrainProgress:
    """How far the drain of one place has come.

    :param targets: the targets of the place
    :param running: requests that still run on them
    :param unseen: targets of which no entry VM that answered says anything
    """

    service: str
    place: str
    targets: int
    running: int
    unseen: int

    @property
    def state(self) -> str:
        """``drained`` when nothing runs, ``draining`` while something does, else ``unknown``."""
        if self.running:
            return "draining"
        return "unknown" if self.unseen else "drained"


class AdminClient:
    """The administration side of all entry VMs."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._timeout_seconds = settings.timeout.total_seconds()
        self._admin_addresses = dict(settings.admin_addresses)
        self._http = HttpClient(max_body_bytes=16 * 1024 * 1024)

    @property
    def names(self) -> list[str]:
        """The names of the entry VMs whose administration address is known."""
        return sorted(self._admin_addresses)

    async def add_listed_vms(self, store: StoreClient) -> None:
        """Add the administration addresses that the platform's VM lists name.

        :raises StoreError: if the store does not answer
        """
        listing = await store.list("vms")
        for item in listing.objects:
            members = item.value.get("vms", []) if isinstance(item.value, dict) else []
            for member in members:
                if member.get("admin") and member.get("name"):
                    self._admin_addresses.setdefault(member["name"], Address.parse(member["admin"]))

    async def get(self, vm: str, path: str) -> Any:
        """Return what an entry VM answers.

        :param vm: its name, or its administration address
        :raises UnreachableError: if it does not answer
        """
        address = self._admin_addresses.get(vm)
        try:
            if address is None:
                address = Address.parse(vm)
            response = await self._http.exchange(
                address, HttpRequest("GET", path, (), b""), self._timeout_seconds
            )
            value = response.json()
        except HttpError as error:
            raise UnreachableError(f'entry VM "{vm}": {error}') from error
        except ValueError as error:
            raise UnreachableError(f'entry VM "{vm}" is not known: {error}') from error
        if response.status != 200:
            raise UnreachableError(f'entry VM "{vm}" answered {response.status}: {value}')
        return value

    async def states(self) -> tuple[dict[str, Any], dict[str, str]]:
        """Return the state of each entry VM that answers, and why the others do not."""
        states: dict[str, Any] = {}
        unreachable: dict[str, str] = {}

        async def fetch_state(vm: str) -> None:
            try:
                states[vm] = await self.get(vm, "/state")
            except UnreachableError as error:
                unreachable[vm] = str(error)

        async with curio.TaskGroup() as group:
            for vm in self.names:
                await group.spawn(fetch_state, vm)
        return states, unreachable

    async def explain(self, vm: str, service: str, client: str) -> Any:
        """Return why an entry VM steers a client's requests where it does."""
        query = urlencode({"service": service, "client": client})
        return await self.get(vm, f"/explain?{query}")

    async def close(self) -> None:
        """Close the connections to the entry VMs."""
        await self._http.close()


def service_status(
    service: str, standing: Standing | None, states: dict[str, Any]
) -> ServiceStatus:
    """Return how far the document of a service has come.

    :param standing: what the store holds, or None if it did not answer
    :param states: the state dumps by VM
    """
    held = {}
    refused = {}
    for vm, state in states.items():
        found = state["documents"].get(service, {})
        held[vm] = found.get("version", 0)
        refusal = found.get("refused")
        if refusal:
            refused[vm] = [f"version {refusal['version']}: {text}" for text in refusal["problems"]]
    return ServiceStatus(
        service,
        standing.version if standing else None,
        standing.change if standing else "",
        held,
        refused,
    )


def drain_progress(standing: Standing, states: dict[str, Any]) -> list[DrainProgress]:
    """Return how far each drain of a document has come."""
    try:
        document = parse_document(standing.document)
    except DocumentError:
        return []
    running: dict[str, int] = {}
    for state in states.values():
        for name, target_state in state["targets"].items():
            if isinstance(target_state, dict) and isinstance(target_state.get("running"), int):
                running[name] = running.get(name, 0) + target_state["running"]
    progress = []
    for place in sorted(document.drains):
        names = [t.name for t in document.targets if place in (t.name, t.domain, t.region)]
        in_flight = sum(running.get(name, 0) for name in names)
        unseen = sum(name not in running for name in names)
        progress.append(DrainProgress(document.service, place, len(names), in_flight, unseen))
    return progress
