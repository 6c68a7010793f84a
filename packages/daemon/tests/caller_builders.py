"""Builders of a daemon's state and of callers' requests for tests."""

from __future__ import annotations

from datetime import timedelta

from document_builders import document_value, settings_text

from carawayquay.catalog import StoredDocument
from carawayquay.clock import ManualClock
from carawayquay.membership import Address, DomainList, EntryVM, VMState
from carawayquay.requests import Forwarded
from carawayquay.settings import parse_settings
from carawayquay_wire.http import HttpRequest
from carawayquayd.callers import CallerApi
from carawayquayd.lookups import LookupApi
from carawayquayd.state import NodeState

__all__ = ["FakeSteering", "caller_api", "get", "node_state", "post", "vm"]


class FakeSteering:
    """Stands in for ``Steering``: records each request, and returns or raises a preset result."""

    def __init__(self, result=None):
        self.forwards = []
        self.result = result or Forwarded(200, [], b"ok", "sledway-1")

    async def run(self, forward):
        self.forwards.append(forward)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def vm(name, state=VMState.LIVE):
    domain = name.rpartition("-")[0]
    region = domain.partition("-")[0]
    address = Address("127.0.0.1", 8000)
    return EntryVM(name, domain, region, address, address, state)


def node_state(domains=("puget-a", "puget-b", "inland-a"), vms=2):
    clock = ManualClock(timedelta(seconds=1000))
    state = NodeState(parse_settings(settings_text()), clock, 1)
    state.documents.adopt(StoredDocument("sledway", 1, "c", document_value()))
    for domain in domains:
        members = tuple(vm(f"{domain}-{index + 1}") for index in range(vms))
        state.directory.adopt(DomainList(domain, 1, members))
    return state


def caller_api(state=None, steering=None):
    state = state or node_state()
    steering = steering or FakeSteering()
    return CallerApi(state, steering, steering, LookupApi(state))


def get(target, *headers, method="GET", peer="192.0.2.7"):
    return HttpRequest(method, target, tuple(headers), b"", peer)


def post(target, *headers, body=b"x"):
    return HttpRequest("POST", target, tuple(headers), body, "192.0.2.7")
