"""Builders of stored objects, heartbeats and VM lists for tests."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import Any

from carawayquay.errors import ObjectError
from carawayquay.heartbeats import Heartbeat
from carawayquay.membership import Address, DomainList, EntryVM, VMState
from carawayquay.objects import ObjectTable, Pull, StoredObject

__all__ = [
    "BAD",
    "entry_vm",
    "heartbeat",
    "object_table",
    "pull_all",
    "seconds",
    "stored",
    "vm_list",
]

BAD = b'"bad"'


def seconds(number: float) -> timedelta:
    return timedelta(seconds=number)


def stored(version: int, value: Any = None, name: str = "sledway", kind: str = "documents"):
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredObject(kind, name, version, text)


def object_table(*items: StoredObject) -> ObjectTable:
    """Return a table whose readers reject objects with the value ``BAD``."""
    table = ObjectTable()
    for kind in ("documents", "vms"):
        table.register(kind, _refuse_bad)
    for item in items:
        offer(table, item)
    return table


def offer(table: ObjectTable, item: StoredObject) -> bool:
    try:
        return table.offer(item)
    except ObjectError:
        return False


def pull_all(behind: ObjectTable, ahead: ObjectTable) -> None:
    """Pull all newer objects from one table into another."""
    more = True
    while more:
        pulled = ahead.answer(Pull(behind.digests(), complete=True))
        for item in sorted(pulled.objects, key=lambda item: item.version):
            offer(behind, item)
        more = pulled.more


def heartbeat(vm: str, sequence: int = 1, **changes: Any) -> Heartbeat:
    values = {"domain": "puget-a", "incarnation": 1, "list_version": 1, **changes}
    return Heartbeat(vm=vm, sequence=sequence, **values)


def entry_vm(name: str, domain: str = "puget-a", state: VMState = VMState.LIVE) -> EntryVM:
    address = Address("127.0.0.1", 9000)
    return EntryVM(name, domain, "puget", address, address, state)


def vm_list(*members: EntryVM, version: int = 1) -> DomainList:
    return DomainList(members[0].domain, version, members)


def _refuse_bad(item: StoredObject) -> None:
    if item.value == BAD:
        raise ObjectError("bad")
