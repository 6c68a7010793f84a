"""Propagation of documents and progress of drains, from the state dumps of the entry VMs."""

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
    from carawayquay.changes import DocumentVersion
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
    """An entry VM did not answer, answered with an error, or has no known address."""


@attrs.frozen
class ServiceStatus:
    """Propagation of one service's document.

    :param stored: version in the store; None if the store holds no document or did not answer
    :param change: id of the change that wrote the stored version, or empty
    :param held: version in force by entry VM, for those that answered; 0 for none
    :param refused: problems of the version that a VM refuses, by VM
    """

    service: str
    stored: int | None
    change: str
    held: dict[str, int]
    refused: dict[str, list[str]]

    @property
    def newest(self) -> int:
        """Highest version found in the store or on any entry VM."""
        return max([self.stored or 0, *self.held.values()])

    @property
    def behind(self) -> list[str]:
        """Sorted names of the entry VMs whose version in force is older than the newest."""
        return sorted(vm for vm, version in self.held.items() if version < self.newest)


@attrs.frozen
class DrainProgress:
    """Progress of the drain of one place.

    :param place: region, failure domain or target
    :param targets: number of targets in the place
    :param running: in-flight requests on them, summed over the entry VMs that answered
    :param unseen: number of targets that no entry VM reported on
    """

    service: str
    place: str
    targets: int
    running: int
    unseen: int

    @property
    def state(self) -> str:
        """State of the drain.

        ``draining`` while requests are in flight, else ``unknown`` if any target is unseen, else
        ``drained``.
        """
        if self.running:
            return "draining"
        return "unknown" if self.unseen else "drained"


class AdminClient:
    """Client of the administration ports of all entry VMs."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._timeout_seconds = settings.timeout.total_seconds()
        self._admin_addresses = dict(settings.admin_addresses)
        self._http = HttpClient(max_body_bytes=16 * 1024 * 1024)

    @property
    def names(self) -> list[str]:
        """Sorted names of the entry VMs whose administration address is known."""
        return sorted(self._admin_addresses)

    async def add_listed_vms(self, store: StoreClient) -> None:
        """Add the administration addresses from the VM lists in the store.

        Addresses that the settings give take precedence.

        :raises StoreError: if the store does not answer
        """
        listing = await store.list("vms")
        for item in listing.objects:
            members = item.value.get("vms", []) if isinstance(item.value, dict) else []
            for member in members:
                if member.get("admin") and member.get("name"):
                    self._admin_addresses.setdefault(member["name"], Address.parse(member["admin"]))

    async def get(self, vm: str, path: str) -> Any:
        """Return the JSON value that an entry VM answers to a GET request.

        :param vm: name or administration address of the entry VM
        :raises UnreachableError: if the VM is unknown, does not answer, or answers with an error
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
        """Return the state dumps by VM, and the errors of the VMs that did not answer by VM."""
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
        """Return how an entry VM would route a client's requests, and why."""
        query = urlencode({"service": service, "client": client})
        return await self.get(vm, f"/explain?{query}")

    async def close(self) -> None:
        """Close the connections to the entry VMs."""
        await self._http.close()


def service_status(
    service: str, stored_document: DocumentVersion | None, states: dict[str, Any]
) -> ServiceStatus:
    """Return the propagation of a service's document.

    :param stored_document: None if the store holds no document or did not answer
    :param states: state dumps by VM
    """
    held = {}
    refused = {}
    for vm, state in states.items():
        document_state = state["documents"].get(service, {})
        held[vm] = document_state.get("version", 0)
        refusal = document_state.get("refused")
        if refusal:
            refused[vm] = [f"version {refusal['version']}: {text}" for text in refusal["problems"]]
    return ServiceStatus(
        service,
        stored_document.version if stored_document else None,
        stored_document.change if stored_document else "",
        held,
        refused,
    )


def drain_progress(stored_document: DocumentVersion, states: dict[str, Any]) -> list[DrainProgress]:
    """Return the progress of each drain of a stored document; empty if the document is invalid.

    :param states: state dumps by VM
    """
    try:
        document = parse_document(stored_document.document)
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
