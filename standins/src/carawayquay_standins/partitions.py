"""Site with simulated network partitions between failure domains and the store."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from carawayquay.membership import Address
from carawayquay_standins.partition_proxy import ANY_PLACE
from carawayquay_standins.site import Process, Site, free_address, http_request, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from carawayquay_standins.layout import Layout

__all__ = ["STORE", "PartitionedSite"]

#: Name of the store as a side of a partition.
STORE = "store"


class PartitionedSite(Site):
    """Site in which a TCP proxy carries all connections to peer ports and to the store."""

    def __init__(self, layout: Layout, folder: Path) -> None:
        self._hosts: dict[str, str] = {}
        self._routes: list[dict[str, Any]] = []
        self._store_routes: dict[str, Address] = {}
        plan = folder / "relay.json"
        address = free_address()
        command = [sys.executable, "-m", "carawayquay_standins.cli", "relay", "--plan", str(plan)]
        self._plan = plan
        self.proxy = Process("relay", [*command, "--address", str(address)], address, folder)
        super().__init__(layout, folder)

    @property
    def processes(self) -> list[Process]:
        """All processes in starting order."""
        return [self.proxy, *super().processes]

    def up(self) -> None:
        """Start the proxy, then all other processes.

        :raises SiteError: if the site is not ready in time
        """
        plan = {"routes": self._routes, "hosts": {host: d for d, host in self._hosts.items()}}
        self._plan.write_text(json.dumps(plan))
        self.proxy.start()
        wait_until(
            lambda: http_request(self.proxy.address, "GET", "/").status == 200,
            "the partition proxy answers",
        )
        super().up()

    def add_vm(self, name: str, region: str, domain: str) -> Process:
        """Add an entry VM behind the proxy without starting it.

        Each failure domain has its own loopback host, since the proxy finds the domain of a
        connection by the source host.
        """
        process = super().add_vm(name, region, domain)
        host = self._hosts.setdefault(domain, f"127.0.{len(self._hosts) + 1}.1")
        published = self.peers[name]
        peers = Address(host, published.port)
        self.peers[name] = free_address()
        self._add_route(self.peers[name], peers, domain)
        settings = self._folder / f"{name}.ini"
        text = settings.read_text().replace(f"peers = {published}", f"peers = {peers}")
        text = text.replace(
            f"address = {self.store.address}", f"address = {self._store_address(domain)}"
        )
        settings.write_text(text)
        return process

    def partition(self, *pairs: tuple[str, str]) -> None:
        """Replace all partitions by partitions between these pairs of places."""
        http_request(self.proxy.address, "POST", "/", {"cuts": pairs})

    def isolate(self, domain: str) -> None:
        """Partition a failure domain from everything else, in place of all other partitions."""
        self.partition((domain, ANY_PLACE))

    def _store_address(self, domain: str) -> Address:
        """Return the proxied address of the store for the entry VMs of a failure domain."""
        if domain not in self._store_routes:
            self._store_routes[domain] = free_address()
            self._add_route(self._store_routes[domain], self.store.address, STORE, domain)
        return self._store_routes[domain]

    def _add_route(self, listen: Address, forward: Address, place: str, source: str = "") -> None:
        self._routes.append(
            {"listen": str(listen), "forward": str(forward), "place": place, "source": source}
        )
