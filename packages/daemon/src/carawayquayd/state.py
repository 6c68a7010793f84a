"""State that the components of a daemon share: settings, documents, VM lists and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from carawayquay.blocks import BlockTable
from carawayquay.catalog import DocumentCatalog
from carawayquay.directory import Directory
from carawayquay.domain_view import DomainView
from carawayquay.errors import ErrorKind, RequestError
from carawayquay.freshness import Freshness
from carawayquay.heartbeats import PeerTable
from carawayquay.objects import ObjectTable
from carawayquay_wire.metrics import Metrics

if TYPE_CHECKING:
    from carawayquay.clock import Clock
    from carawayquay.documents import VersionedDocument
    from carawayquay.membership import EntryVM
    from carawayquay.objects import StoredObject
    from carawayquay.settings import Settings

__all__ = ["NodeState"]


@attrs.define
class NodeState:
    """The settings, the clock, and the newest documents, VM lists and heartbeats of one daemon.

    :param incarnation: random number that identifies this start of the process
    :param stopping: whether a planned stop has begun
    """

    settings: Settings
    clock: Clock
    incarnation: int
    documents: DocumentCatalog = attrs.field(factory=DocumentCatalog)
    directory: Directory = attrs.field(factory=Directory)
    peers: PeerTable = attrs.field(factory=PeerTable)
    blocks: BlockTable = attrs.field(factory=BlockTable)
    metrics: Metrics = attrs.field(factory=Metrics)
    objects: ObjectTable = attrs.field(factory=ObjectTable)
    freshness: Freshness = attrs.field(factory=Freshness)
    domain_view: DomainView = attrs.field(init=False)
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.domain_view = DomainView(
            self.settings.name,
            self.settings.domain,
            self.directory,
            self.peers,
            self.clock.now(),
        )

    def dump(self) -> dict[str, Any]:
        """Return the identity of this VM and whether it is stopping, ready for JSON."""
        return {
            "name": self.settings.name,
            "domain": self.settings.domain,
            "region": self.settings.region,
            "incarnation": self.incarnation,
            "stopping": self.stopping,
        }

    def current(self) -> bool:
        """Return whether the documents and VM lists held are known to be current."""
        return self.freshness.current(self.clock.now())

    def usable(self, vm: EntryVM) -> bool:
        """Return whether callers may be directed to a VM.

        Members of the own failure domain have to be alive. VMs of other domains are usable unless
        a recent heartbeat announced that they are leaving.
        """
        if vm.name == self.settings.name:
            return not self.stopping and not self.domain_view.leaving(vm.name)
        if vm.domain == self.settings.domain:
            return self.domain_view.usable(vm.name, self.clock.now())
        return not (
            self.peers.heard_directly(vm.name, self.clock.now()) and self.peers.leaving(vm.name)
        )

    def adopt_vm_list(self, item: StoredObject) -> None:
        """Adopt the VM list of a stored object and drop the peer state of VMs that no list names.

        :raises ObjectError: if the object is not a VM list
        """
        self.directory.adopt_object(item)
        self.peers.retain_listed(name for listed in self.directory for name in listed.names)

    def document(self, service: str) -> VersionedDocument:
        """Return the document in force for a service.

        :raises RequestError: if the service is unknown
        """
        held = self.documents.get(service)
        if held is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'service "{service}" has no document')
        return held
