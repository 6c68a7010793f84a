"""Builders of entry VMs connected by direct calls on one manual clock, for tests of steering."""

from __future__ import annotations

from datetime import timedelta

from document_builders import document_value, settings_text, target_value

from carawayquay.catalog import StoredDocument
from carawayquay.clock import ManualClock
from carawayquay.errors import ErrorKind, LinkError, RequestError
from carawayquay.grants import GrantRequest
from carawayquay.membership import Address, DomainList, EntryVM
from carawayquay.requests import Forward, Forwarded
from carawayquay.settings import parse_settings
from carawayquay.shift_levels import LevelQuery
from carawayquayd.admission import AdmissionController
from carawayquayd.state import NodeState
from carawayquayd.steering import Steering

__all__ = ["Fleet", "Node", "forward"]


class FakeRunner:
    """Stands in for ``TargetRunner``: runs each request at once, or raises a preset failure."""

    def __init__(self, target_limits):
        self.limits = target_limits
        self.runs = []
        self.failure = None

    def target_limits(self, document):
        return dict(self.limits)

    def may_own(self, vm):
        return True

    async def wake(self, document):
        pass

    async def run(self, forward, left, admit=lambda: True):
        if not admit():
            raise RequestError(ErrorKind.OVERLOADED, "no slot")
        if self.failure is not None:
            raise self.failure
        self.runs.append(forward)
        return Forwarded(200, [], b"ok", "")


class Node:
    """One entry VM of the fleet, which owns one target and stands in for its own link pool."""

    def __init__(self, fleet, vm, target_limits):
        text = settings_text(name=vm.name).replace("domain = puget-a", f"domain = {vm.domain}")
        text = text.replace("region = puget", f"region = {vm.region}")
        self.fleet = fleet
        self.vm = vm
        self.current = True
        self.sent_messages = []
        self.addresses = []
        self.state = NodeState(parse_settings(text), fleet.clock, vm.peers.port)
        self.runner = FakeRunner(target_limits)
        self.admission = AdmissionController(self.state, self.runner)
        self.steering = Steering(
            self.state, self.admission, self, lambda: self.current, fleet.sleep
        )

    async def call(self, address, message, timeout, **_):
        """Call the node at an address directly, in place of ``LinkPool.call``."""
        node = self.fleet.by_port[address.port]
        self.sent_messages.append(message)
        self.addresses.append(address)
        if node.vm.name in self.fleet.unreachable:
            raise LinkError(f"cannot connect to {address}", sent=False)
        match message:
            case GrantRequest():
                return await node.admission.offer(message)
            case LevelQuery():
                return await node.steering.shifts.answer(message)
            case Forward():
                left = timedelta(milliseconds=message.deadline_ms)
                return await node.admission.run(message, left)


class Fleet:
    """Region puget with two failure domains and inland with one; each VM owns a 4-slot target."""

    DOMAINS = ("puget-a", "puget-b", "inland-a")

    def __init__(self, vms=1, **document):
        self.clock = ManualClock(timedelta(seconds=1000))
        self.unreachable = set()
        self.after_wait = None
        self.by_port = {}
        self.nodes = {}
        lists = [self._list(domain, vms) for domain in self.DOMAINS]
        targets = [
            target_value(f"sledway-{vm.name}", region=vm.region, domain=vm.domain)
            for listed in lists
            for vm in listed.members
        ]
        document = {"targets": targets, "warm_up": 0, **document}
        for listed in lists:
            for vm in listed.members:
                node = Node(self, vm, {f"sledway-{vm.name}": 4})
                self.by_port[vm.peers.port] = self.nodes[vm.name] = node
                for other in lists:
                    node.state.directory.adopt(other)
        self.write(1, **document)
        self.clock.advance(timedelta(seconds=5))

    async def sleep(self, seconds):
        """Advance the clock, then call ``after_wait`` if it is set."""
        self.clock.advance(timedelta(seconds=seconds))
        if self.after_wait is not None:
            self.after_wait()

    def write(self, version, **document):
        self.document = {**getattr(self, "document", {}), **document}
        for node in self.nodes.values():
            value = document_value(**self.document)
            node.state.documents.adopt(StoredDocument("sledway", version, "c", value))

    def _list(self, domain, vms):
        region = domain.partition("-")[0]
        first = 9000 + 100 * self.DOMAINS.index(domain)
        members = [
            EntryVM(
                f"{domain}-{index + 1}",
                domain,
                region,
                Address("127.0.0.1", first + index),
                Address("127.0.0.1", first + 50 + index),
            )
            for index in range(vms)
        ]
        return DomainList(domain, 1, tuple(members))


def forward(path="/stones", **changes):
    values = {"deadline_ms": 2000, "home": "puget", "client": "192.0.2.7", **changes}
    return Forward("sledway", "GET", path, [], b"", **values)
