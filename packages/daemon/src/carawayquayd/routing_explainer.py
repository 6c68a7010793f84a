"""Explains to operators why a client's requests go where they go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from carawayquay.lookup import client_domains, spread_of
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
    """Composes explanations from what this VM knows.

    :param steering: explains how a client's requests of a service move from a home region, or None
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
        """Return the explanation that a query ``service=S&client=IP`` asks for.

        :raises ValueError: if the query is anything else
        :raises RequestError: if the service has no document
        """
        fields = parse_qs(query)
        if set(fields) != {"service", "client"}:
            raise ValueError(f'query "{query}" is not service=S&client=IP')
        return self.explain(fields["service"][0], fields["client"][0])

    def explain(self, service: str, client: str) -> dict[str, Any]:
        """Return why requests of a client go where they go, as JSON takes it."""
        held = self._state.document(service)
        found = self._state.blocks.find(client)
        home = self._lookups.home(client)
        spread = spread_of(client)
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
                "because": "block map" if found else "no block contains it: place of this VM",
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
        """Return the failure domains by closeness, and for each entry VM why it is used or not."""
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
            return "left out: the platform's list says leaving"
        if vm.name == self._state.settings.name or self._state.peers.leaving(vm.name):
            return "left out: it is stopping"
        return "left out: no heartbeat"

    def _regions(self, document: Document, home: str) -> list[dict[str, Any]]:
        """Return the regions in the order in which traffic of a home region goes."""
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
        """Return each target with the entry VM that owns it, as far as this VM can tell."""
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
