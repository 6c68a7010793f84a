"""Versions in force only increase, and an invalid document keeps the last valid one in force."""

from __future__ import annotations

import pytest
from document_builders import document_value
from object_builders import object_table, offer, stored

from carawayquay.catalog import DocumentCatalog
from carawayquay.errors import DocumentError


def wrapped(change="change-1", **changes):
    return {"change": change, "document": document_value(**changes)}


def test_invalid_document_is_refused_and_the_last_valid_one_stays():
    catalog = DocumentCatalog()
    catalog.adopt_object(stored(3, wrapped()))
    with pytest.raises(DocumentError):
        catalog.adopt_object(stored(4, wrapped(regions={})))
    assert catalog.version("sledway") == 3
    assert catalog.dump()["sledway"]["refused"]["version"] == 4


@pytest.mark.parametrize("value", [b"{", b"null", b"[]", b'{"change": 1, "document": {}}'])
def test_value_that_is_no_document_is_refused(value):
    with pytest.raises(DocumentError):
        DocumentCatalog().adopt_object(stored(1, value))


def test_document_of_another_service_is_refused():
    with pytest.raises(DocumentError):
        DocumentCatalog().adopt_object(stored(1, wrapped(), name="pebblecal"))


def test_fresh_catalog_takes_the_last_good_document_after_a_newer_bad_one():
    catalog = DocumentCatalog()
    table = object_table()
    table.register("documents", catalog.adopt_object)
    offer(table, stored(9, b"{}"))
    assert catalog.dump()["sledway"]["version"] == 0
    offer(table, stored(5, wrapped("change-5")))
    assert catalog.get("sledway").change == "change-5"
    assert catalog.refused("sledway")[0] == 9
