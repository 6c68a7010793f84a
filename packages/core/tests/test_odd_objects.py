"""An odd object of the store is refused as an object, by no other error."""

from __future__ import annotations

import pytest

from carawayquay.catalog import DocumentCatalog
from carawayquay.directory import Directory
from carawayquay.errors import DocumentError, ObjectError
from carawayquay.objects import DOCUMENTS, VM_LISTS, StoredObject

_ODD_VALUES = (
    b"[" * 100_000 + b"]" * 100_000,
    b"9" * 5_000,
    b"\xff",
    b"null",
    b'{"vms":[7]}',
    b'{"vms":[{"name":"a","region":"r","callers":7,"peers":"127.0.0.1:1"}]}',
    b'{"vms":[{"name":"a","region":"r","callers":"127.0.0.1:99999","peers":"127.0.0.1:1"}]}',
    b'{"vms":[{"name":"a","region":"r","callers":"127.0.0.1:1","peers":"127.0.0.1:1","state":[]}]}',
)
odd_values = pytest.mark.parametrize(
    "value", _ODD_VALUES, ids=lambda value: value[:70].decode("latin-1")
)


@odd_values
def test_odd_document_is_refused(value):
    with pytest.raises(DocumentError):
        DocumentCatalog().adopt_object(StoredObject(DOCUMENTS, "sledway", 1, value))


@odd_values
def test_odd_vm_list_is_refused(value):
    with pytest.raises(ObjectError):
        Directory().adopt_object(StoredObject(VM_LISTS, "puget-a", 1, value))
