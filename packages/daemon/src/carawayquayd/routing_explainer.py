"""Explains to operators how the requests of a client are routed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from carawayquay.lookup import client_bucket, client_domains
from carawayquay.membership import VMState
from carawayquay.slots import owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayquay.blocks import Home
    from carawayquay.documents import Document
    from carawayquay.membership import EntryVM
    from carawayquayd.lookups import LookupApi
    from carawayquayd.state import NodeState

__all__ = ["RoutingExplainer"]


class RoutingExplainer:
    """Builds routing explanations from the state of this VM.

    :param steering: returns shift and decisions for a service, home region and client
    """

    def __init__(
        self,
        state: NodeState,
        lookups: LookupApi,
        steering: Callable[[str, str, str], Any] | None = None,
    ) -> None:
        self._state = state
        self._lookups = lookups
        self._steering = steering

    def answer(self, query: str) -> dict[str, Any]:
        """Return the explanation for a query ``service=S&client=IP``.

        :raises ValueError: if the query has another form
        :raises RequestError: if the service has no document
        """
        fields = parse_qs(query)
        if set(fields) != {"service", "client"}:
            raise ValueError(f'query "{query}" is not service=S&client=IP')
        return self.explain(fields["service"][0], fields["client"][0])

    def explain(self, service: str, client: str) -> dict[str, Any]:
        """Return how the requests of a client for a service are routed and why, ready for JSON.

        :raises RequestError: if the service has no document
        :raises ValueError: if *client* is not an IP address
        """
        held = self._state.document(service)
        found = self._state.blocks.find(client)
        home = self._lookups.home(client)
        spread = client_bucket(client)
        entries = self._lookups.select_entries(service, home, spread).entries
        explanation = {
            "service": service,
            "version": held.version,
            "change": held.change,
            "client": client,
            "site": found.site if found else None,
            "home": {
                "region": home.region,
                "domain": home.domain,
                "because": (
                    "block map" if found else "no block contains the client: home of this VM"
                ),
            },
            "entries": [vm.name for vm in entries],
            "entry_domains": self._entry_domains(held.document, home, spread),
            "regions": self._regions(held.document, home.region),
            "targets": self._targets(held.document),
        }
        if self._steering is not None:
            explanation["steering"] = self._steering(service, home.region, client)
        return explanation

    def _entry_domains(self, document: Document, home: Home, spread: int) -> list[dict[str, Any]]:
        """Return the failure domains by closeness, with the usability of each entry VM."""
        directory = self._state.directory
        others = document.order.get(home.region, ())
        return [
            {
                "domain": name,
                "vms": {vm.name: self._usability(vm) for vm in directory.domain(name).members},
            }
            for name in client_domains(directory, home, others, spread)
        ]

    def _usability(self, vm: EntryVM) -> str:
        if self._lookups.usable(vm):
            return "usable"
        if vm.state is not VMState.LIVE:
            return "excluded: marked as leaving in the platform's list"
        if vm.name == self._state.settings.name or self._state.peers.leaving(vm.name):
            return "excluded: stopping"
        return "excluded: no recent heartbeat"

    def _regions(self, document: Document, home: str) -> list[dict[str, Any]]:
        """Return the regions in the order in which a home region's traffic spills over to them."""
        regions = []
        for name in document.order.get(home, tuple(region.name for region in document.regions)):
            region = document.region(name)
            regions.append(
                {
                    "region": name,
                    "limit": region.limit if region else 0,
                    "draining": document.region_draining(name),
                }
            )
        return regions

    def _targets(self, document: Document) -> list[dict[str, Any]]:
        """Return each target with its owner according to the VM lists alone."""
        targets = []
        for target in document.targets:
            members = [vm.name for vm in self._state.directory.live(target.domain)]
            targets.append(
                {
                    "target": target.name,
                    "domain": target.domain,
                    "owner": owner(target.name, members),
                    "draining": document.draining(target),
                }
            )
        return targets
